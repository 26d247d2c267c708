#!/usr/bin/env bash
# Checks that no module includes a module above it or beside it (docs/design.md, section 3).
set -euo pipefail
cd "$(dirname "$0")/.."

declare -A LEVEL=([core]=0 [config]=1 [serving]=1 [queueing]=2 [routing]=2 [placement]=2 [authority]=2 [claims]=2 [membership]=2 [usage]=2 [usage]=2
    [streams]=3 [audit]=3 [rpc]=3 [http]=3 [logservice]=4 [platform]=4 [supervision]=4 [entry]=5 [agent]=5 [gateway]=5 [cli]=6)

failed=0
while IFS=: read -r file line text; do
    module=$(sed -E 's#^(include/mimosatally/|src/|)([a-z]+)/.*#\2#' <<<"$file")
    target=$(sed -E 's#.*[<"](mimosatally/)?([A-Za-z]+)(/[a-z0-9_./]*)?[>"].*#\2#' <<<"$text" | tr '[:upper:]' '[:lower:]')
    if [ -z "${LEVEL[$module]:-}" ] || [ -z "${LEVEL[$target]:-}" ] || [ "$module" = "$target" ]; then
        continue
    fi
    if [ "${LEVEL[$target]}" -ge "${LEVEL[$module]}" ]; then
        echo "$file:$line: module $module must not include module $target"
        failed=1
    fi
done < <(grep -rnE '^#include ["<](mimosatally/)?[A-Za-z]+[/>"]' include/mimosatally src platform --include='*.h' --include='*.cpp')
exit $failed
