#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, else with 2.
# With TROUBLE=0 it plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
exec node target/review-2/case-6.mjs review/6
