#!/usr/bin/env bash
# Runs every trace under both profiles and writes bench_policy's JSON. Arguments: build directory, output directory, seed.
set -euo pipefail
cd "$(dirname "$0")/../.."

BUILD=${1:-build}
OUT=${2:-$BUILD/policy}
SEED=${3:-1}
mkdir -p "$OUT"
for trace in steady swing shift surge withdrawal stale; do
    for profile in parkland mrema; do
        "$BUILD/bench_policy" --profile "$profile" --trace "bench/policy/traces/$trace.trace" --seed "$SEED" --json \
            >"$OUT/$trace-$profile.json"
    done
done
