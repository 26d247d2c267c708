#!/usr/bin/env bash
# Builds everything and runs all checks and tests. The last line is `N passed, N failed`.
# A test listed in KNOWN-RED.txt may fail; it is run, printed and not counted as failed.
set -uo pipefail
cd "$(dirname "$0")"

BUILD=${BUILD:-build}
JOBS=$(nproc)

./scripts/install_packages.sh || exit 1
cmake -S . -B "$BUILD" -G Ninja >"/tmp/mimosatally-cmake.$$" || { cat "/tmp/mimosatally-cmake.$$"; exit 1; }
rm -f "/tmp/mimosatally-cmake.$$"
ninja -C "$BUILD" -j "$JOBS" --quiet || { echo "0 passed, 1 failed"; exit 1; }

# The linter has half of the cores while the tests run, most of which run alone; the test `lint` waits for its result.
TEST_JOBS=$JOBS
# grep reads to the end: with pipefail, a list that is cut off by `grep -q` counts as one without the linter.
if ctest --test-dir "$BUILD" -N "$@" | grep -E '^ *Test +#[0-9]+: lint$' >/dev/null; then
    export LINT_JOBS=$((JOBS > 1 ? JOBS / 2 : 1))
    TEST_JOBS=$((JOBS > 1 ? JOBS - LINT_JOBS : 1))
    rm -f "$BUILD/lint.status"
    # In a session of its own, so that the linter's processes can be stopped together.
    setsid ./scripts/background_lint.sh run "$BUILD" &
    export LINT_PID=$!
    trap 'kill -- "-$LINT_PID" 2>/dev/null' EXIT
fi

run_tests() {
    local results=$1
    shift
    ctest --test-dir "$BUILD" -j "$TEST_JOBS" --output-on-failure --no-tests=error --output-junit "$results" "$@" | tee -a "$BUILD/ctest.log"
}

RESULTS=("$BUILD/results.xml" "$BUILD/results-lint.xml")
rm -f "$BUILD/ctest.log" "${RESULTS[@]}"
if [ "$#" -eq 0 ]; then
    # The test `lint` waits for the linter, so within one run it would hold up the tests that run alone.
    run_tests results.xml -E '^lint$'
    run_tests results-lint.xml -R '^lint$'
else
    RESULTS=("$BUILD/results.xml")
    run_tests results.xml "$@"
fi

for results in "${RESULTS[@]}"; do
    [ -s "$results" ] || { echo "$results is missing"; echo "0 passed, 1 failed"; exit 1; }
done
passed=$(cat "${RESULTS[@]}" | grep -c '<testcase .*status="run"')
mapfile -t failures < <(cat "${RESULTS[@]}" | grep -oE '<testcase name="[^"]*"[^>]*status="fail"' | sed -E 's/<testcase name="([^"]*)".*/\1/; s/&lt;/</g; s/&gt;/>/g; s/&quot;/"/g; s/&amp;/\&/g')
failed=0
known=0
for name in "${failures[@]}"; do
    if grep -qxF "test: $name" KNOWN-RED.txt 2>/dev/null; then
        echo "KNOWN-RED: $name"
        known=$((known + 1))
    else
        echo "FAILED: $name"
        failed=$((failed + 1))
    fi
done
if [ "$known" -gt 0 ]; then
    echo "$known known failures are listed in KNOWN-RED.txt"
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
