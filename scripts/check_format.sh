#!/usr/bin/env bash
# Checks that every C++ file is formatted; `--fix` formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."

MODE=(--dry-run --Werror)
if [ "${1:-}" = --fix ]; then
    MODE=(-i)
fi
git ls-files --cached --others --exclude-standard 'include/*' 'src/*' 'tests/*' 'bench/*' 'platform/*' \
    | grep -E '\.(h|cpp)$' | grep -v '^src/rpc/generated/' | xargs -r clang-format-19 "${MODE[@]}"
