#!/usr/bin/env bash
# Checks one model: `check.sh NAME [LARGE]`. The correct model must have no error, and each mutated one (MUTATIONS lines) must have one.
# A line UNPROVED names variants outside the proof; the checker must find an error there too, so that the limit stays documented.
set -euo pipefail

SOURCE=$(cd "$(dirname "$0")" && pwd)/$1.pml
BOUND=${2:-}
DIRECTORY=$(mktemp -d)
trap 'rm -rf "$DIRECTORY"' EXIT
cd "$DIRECTORY"

# Limits of one run of the verifier: megabytes of memory and search depth.
MEMORY=3000
DEPTH=2000000

# Prints the verifier's output for the model with the given macros.
verify() {
    spin ${BOUND:+-D$BOUND} "${@/#/-D}" -a "$SOURCE" >spin.log || { cat spin.log; exit 1; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$MEMORY -o pan pan.c
    # -E: a process that waits for a lost message is no error.
    ./pan -E -m$DEPTH >pan.log 2>&1 || true
    cat pan.log
}

# The model without a macro, then its correct variants.
for variant in '' $(sed -nE 's/^ \* VARIANTS: //p' "$SOURCE"); do
    verify ${variant//+/ } >correct.log
    if ! grep -q 'errors: 0' correct.log; then
        echo "$1: the correct model ${variant:+with $variant }has an error"
        tail -30 correct.log
        exit 1
    fi
    if grep -qE 'max search depth too small|out of memory|Search not completed' correct.log; then
        echo "$1: the search is not complete"
        exit 1
    fi
    echo "$1${variant:+ $variant}: no error, $(grep -oE '[0-9]+ states, stored' correct.log), $(grep -oE 'elapsed time .*' correct.log)"
done

for mutation in $(sed -nE 's/^ \* (MUTATIONS|UNPROVED): //p' "$SOURCE"); do
    # Macros of one variant are joined by a plus sign.
    verify ${mutation//+/ } >mutated.log
    if ! grep -qE 'errors: [1-9]' mutated.log; then
        echo "$1: no error is found with $mutation"
        tail -20 mutated.log
        exit 1
    fi
    echo "$1: $mutation is refuted: $(grep -m1 -oE 'assertion violated.*|invalid end state.*|acceptance cycle.*' mutated.log)"
done
