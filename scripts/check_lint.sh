#!/usr/bin/env bash
# Runs clang-tidy over the sources of the program. Arguments: build directory, then files (default: all sources, those changed last first).
# LINT_JOBS is the number of files that are checked at a time (default: the number of cores).
set -euo pipefail
cd "$(dirname "$0")/.."

# Lists all sources in the order of their last change, or of that of the header with the same name: first what no commit has yet, then the newest commits.
sources_by_change() {
    local folders=(include src platform)
    awk -F/ '
        { name = $NF; sub(/\.[^.]*$/, "", name) }
        FILENAME == "-" { if (!(name in rank)) rank[name] = ++changes; next }
        { print (name in rank ? rank[name] : changes + 1) "\t" $0 }
    ' - <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp') < <(
        git diff --name-only HEAD -- "${folders[@]}"
        git ls-files --others --exclude-standard -- "${folders[@]}"
        git log --format= --name-only -- "${folders[@]}"
    ) | sort -s -n -k 1,1 | cut -f 2
}

BUILD=${1:-build}
shift || true
FILES=("$@")
if [ "${#FILES[@]}" -eq 0 ]; then
    mapfile -t FILES < <(sources_by_change)
fi
if [ "${#FILES[@]}" -eq 0 ]; then
    echo "no source files found"
    exit 1
fi
printf '%s\n' "${FILES[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 clang-tidy-19 -p "$BUILD" --quiet \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE \
    --extra-arg=-includecoroutine --extra-arg=-includeutility --extra-arg=-include"$PWD/cmake/lint_prelude.h" 2> >(grep -vE 'warnings? (generated|treated)|Suppressed|Use -header-filter|^$' >&2)
