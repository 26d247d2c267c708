#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into review/harness-3/build.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/harness-3/build
for source in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wshadow -pthread "$source" -o "review/harness-3/build/case-$number" -lcrypto
done
