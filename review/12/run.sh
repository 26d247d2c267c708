#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=review/harness-3/build/case-12
if [ ! -x "$program" ] || [ ! -x target/mimosatally ]; then
    echo "build the deploy file's program and run review/build-3.sh first" >&2
    exit 2
fi
timeout -k 2 110 "$program" review/12
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
