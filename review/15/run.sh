#!/usr/bin/env bash
# Plays the case and writes record.txt here. Exit status: 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0 leaves the disruption out. Build before: the build of the
# deploy file, then review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case ] || { echo "run review/build-3.sh first"; exit 2; }
timeout --kill-after=5 115 target/review-3/case lost-with-leader review/15
status=$?
[ $status -le 1 ] && exit $status
exit 2
