#!/usr/bin/env bash
# Builds the programs of the cases; the deploy file's build goes first.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/*/case.ts; do
  name="$(basename "$(dirname "$case")")"
  npx esbuild "$case" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning --outfile="target/review/$name.mjs"
done
