#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec target/review/case-3
