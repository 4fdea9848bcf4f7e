#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review/case-6
[ -x "$program" ] && [ -x ../../target/bin/briarlead ] || exit 2
rm -f record.txt
timeout -k 5 110 "$program"
status=$?
[ $status -le 1 ] && exit $status
exit 2
