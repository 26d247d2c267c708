#!/usr/bin/env bash
# Counts the allocations of an entry or an agent while it relays one stream, with valgrind.
# Usage: bench/allocations/measure.sh entry|agent TOKENS [BUILD_DIRECTORY]
# Two runs with different TOKENS give the allocations and bytes of one token; the figures are a report, not a verdict.
set -euo pipefail

ROLE=$1
TOKENS=$2
BUILD=$(realpath "${3:-build}")
VALGRIND=(valgrind --tool=memcheck --leak-check=no --undef-value-errors=no)
DIR=$(mktemp -d)
cd "$DIR"
PIDS=()

stop_all() {
    kill -TERM "${PIDS[@]}" 2>/dev/null || true
    rm -rf "$DIR"
}
trap stop_all EXIT

# start NAME COMMAND...: starts a program; PID is its process id, and NAME.log its output.
start() {
    local name=$1
    shift
    "$@" >"$name.log" 2>&1 &
    PID=$!
    PIDS+=("$PID")
}

# wait_for NAME PATTERN: waits until the output of a program matches, and prints the match.
wait_for() {
    for _ in $(seq 300); do
        if grep -oE -m 1 "$2" "$1.log"; then
            return
        fi
        sleep 0.2
    done
    echo "$1 did not print $2" >&2
    exit 1
}

# address_of NAME PATTERN: the address at the end of a match.
address_of() {
    wait_for "$1" "$2" | grep -oE '[0-9.]+:[0-9]+$'
}

# settings PROCESS: the settings that entry and agent share.
settings() {
    cat <<SETTINGS
process = "$1"
instance = "$1"
region = "region-1"
data_centre = "dc-1"
log_service = "$LOG"
instance_list = "$INSTANCES"
listen = "127.0.0.1:0"
bootstrap_operators = [{id = "operator-1", public_key = "$PUBLIC_KEY"}]
SETTINGS
}

# prefix ROLE: the command that measures the process of that role, if it is the one to measure.
prefix() {
    if [ "$1" = "$ROLE" ]; then
        printf '%s\n' "${VALGRIND[@]}" "--log-file=$DIR/valgrind.log"
    fi
}

start log "$BUILD/standin_log"
start instances "$BUILD/standin_instances"
start engine "$BUILD/standin_engine" --models model-a --prefill 0 --decode 0
LOG=$(address_of log 'listening on [0-9.:]+')
INSTANCES=$(address_of instances 'listening on [0-9.:]+')
ENGINE=$(address_of engine 'listening on [0-9.:]+')
"$BUILD/mimosatally" key new --out operator.key >/dev/null
PUBLIC_KEY=$(grep -oE '"public_key": *"[0-9a-f]+"' operator.key | grep -oE '[0-9a-f]{64}')
API_KEY_HASH=$(grep -oE '"api_key_hash": *"[0-9a-f]+"' operator.key | grep -oE '[0-9a-f]{64}')

{ settings agent-1; printf 'endpoint = "engine-1"\nendpoint_address = "%s"\n' "$ENGINE"; } >agent.toml
mapfile -t PREFIX < <(prefix agent)
start agent "${PREFIX[@]}" "$BUILD/mimosatally" agent agent.toml
AGENT_PID=$PID
cat >configuration.toml <<CONFIGURATION
models = ["model-a"]
[[data_centres]]
id = "dc-1"
region = "region-1"
[[operators]]
id = "operator-1"
public_key = "$PUBLIC_KEY"
api_key_hash = "$API_KEY_HASH"
[[contracts]]
customer = "customer-1"
share = "100%"
priority = 0
longest_wait = "60s"
api_key_hashes = ["$(printf customer-key | sha256sum | cut -d ' ' -f 1)"]
[[endpoints]]
id = "engine-1"
instance = "agent-1"
kind = "engine"
data_centre = "dc-1"
agent_address = "$(address_of agent 'listen=[0-9.:]+')"
models = ["model-a"]
CONFIGURATION
"$BUILD/mimosatally" publish configuration.toml --log "$LOG" --operator operator-1 --key operator.key >/dev/null

settings entry-1 >entry.toml
mapfile -t PREFIX < <(prefix entry)
start entry "${PREFIX[@]}" "$BUILD/mimosatally" entry entry.toml
ENTRY_PID=$PID
ENTRY=$(address_of entry 'listening on [0-9.:]+')
wait_for entry AgentConnected >/dev/null

curl -sS -N --retry 5 --retry-all-errors -H 'Authorization: Bearer customer-key' -H 'Content-Type: application/json' \
    -d "{\"model\":\"model-a\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":$TOKENS}" "http://$ENTRY/v1/completions" >answer
grep -q 'data: \[DONE\]' answer
for pid in "$ENTRY_PID" "$AGENT_PID"; do
    kill -TERM "$pid"
    wait "$pid"
done
echo "$ROLE, $TOKENS tokens: $(grep -oE '[0-9,]+ allocs.*allocated' valgrind.log)"
