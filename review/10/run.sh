#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held and 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mimosatally ] && [ -x target/review-2/case10 ] || exit 2
exec timeout -k 2 100 target/review-2/case10 review/10/record.txt
