#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-3.sh. Exit codes: 1 the rule was broken, 0 it held, 2 the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jackdawbayd ] && [ -x target/review-3 ] || exit 2
timeout -k 5 115 target/review-3 plain review/15/record.txt
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
