#!/usr/bin/env bash
# Runs clang-tidy over the sources of the program. Arguments: build directory, then files (default: all sources).
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD=${1:-build}
shift || true
FILES=("$@")
if [ "${#FILES[@]}" -eq 0 ]; then
    mapfile -t FILES < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp')
fi
printf '%s\n' "${FILES[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy-19 -p "$BUILD" --quiet \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE \
    --extra-arg=-includecoroutine --extra-arg=-includeutility --extra-arg=-include"$PWD/cmake/lint_prelude.h" 2> >(grep -vE 'warnings? (generated|treated)|Suppressed|Use -header-filter|^$' >&2)
