#!/usr/bin/env bash
# Builds the cases and their stand-ins into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread -o "target/review/case$number" "$source"
done
