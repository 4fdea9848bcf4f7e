#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/bin/briarlead ] && [ -x target/review-2/restart_case ] || exit 2
: >"$case_folder/record.txt"
timeout -k 2 110 target/review-2/restart_case "$folder" "$case_folder/record.txt"
status=$?
[ $status -le 2 ] || status=2
exit $status
