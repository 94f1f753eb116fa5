#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stoatmount ] && [ -x target/review/5 ] || exit 2
exec target/review/5 review/5/record.txt
