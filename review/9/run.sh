#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/stoatmount ] && [ -x ../../target/review-9 ] || { echo "build first"; exit 2; }
cd ../.. || exit 2
exec target/review-9 target/stoatmount review/9
