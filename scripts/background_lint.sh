#!/usr/bin/env bash
# Lets the linter run beside the tests. Arguments: `run` or `result`, build directory.
#   run     runs the linter, prints its findings at once, and keeps them with its exit code in the build directory
#   result  waits for the run whose process id is LINT_PID, prints its findings and returns its exit code; without LINT_PID runs the linter itself
set -uo pipefail
cd "$(dirname "$0")/.."

MODE=$1
BUILD=$2
LOG=$BUILD/lint.log
STATUS=$BUILD/lint.status

run() {
    ./scripts/check_lint.sh "$BUILD" 2>&1 | tee "$LOG"
    echo "${PIPESTATUS[0]}" >"$STATUS.new"
    mv "$STATUS.new" "$STATUS"
}

result() {
    while kill -0 "$LINT_PID" 2>/dev/null && [ ! -e "$STATUS" ]; do
        sleep 0.2
    done
    cat "$LOG"
    if [ ! -e "$STATUS" ]; then
        echo "the linter ended without a result"
        return 1
    fi
    return "$(cat "$STATUS")"
}

case $MODE in
run) run ;;
result)
    if [ -z "${LINT_PID:-}" ]; then
        exec ./scripts/check_lint.sh "$BUILD"
    fi
    result
    ;;
*)
    echo "unknown mode $MODE"
    exit 2
    ;;
esac
