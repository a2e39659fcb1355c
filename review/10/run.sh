#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/orioletally ] && [ -x target/review-2/case_status ] || exit 2
timeout 110 target/review-2/case_status review/10/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
