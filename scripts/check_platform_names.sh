#!/usr/bin/env bash
# Checks that the names of the platform's headers, paths, topics and environment stand in platform/ only.
set -euo pipefail
cd "$(dirname "$0")/.."

NAMES='X-Mimosatally-(Target-Instance|Kv-|Serving-Stage|Prefix-Hash|Response-Seal|Not-Executed|Token-Counts|Request-|Server-Load|Model-Name|Pin-Ms|Tenant-Id|Lease-Holder|Fencing-Token)|/-/[a-z]|keyed\.(op|servers|status|usage)|MIMOSATALLY_BOOT|kvHandle|pathPrefix"|targetLatencyMs|seqNum'
if git grep -nIE "$NAMES" -- src include; then
    echo "names of the platform outside platform/"
    exit 1
fi
