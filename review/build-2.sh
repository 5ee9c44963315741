#!/bin/sh
# Builds the scripts of cases 4 to 8 and their stand-ins into target/review-2/.
set -e
cd "$(dirname "$0")/.."
for folder in 4 5 6 7 8; do
  if [ -f "review/$folder/case.ts" ]; then
    node_modules/.bin/esbuild "review/$folder/case.ts" --bundle --platform=node \
      --target=node20 --format=esm --log-level=warning \
      --outfile="target/review-2/case-$folder.mjs"
  fi
done
