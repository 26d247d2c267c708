#!/usr/bin/env bash
# Draws docs/figures/*.svg from the JSON that run_all.sh wrote. Argument: its output directory.
set -euo pipefail
cd "$(dirname "$0")/../.."

IN=${1:-build/policy}
DATA=$(mktemp -d)
trap 'rm -r "$DATA"' EXIT
mkdir -p docs/figures

# Prints the value of one key of one strategy in one run.
value() {
    awk -v strategy="\"$2\":" -v key="\"$3\":" '
        $1 == strategy { inside = 1 }
        inside && $1 == key { sub(/,$/, "", $2); print $2; exit }' "$IN/$1-parkland.json"
}

top() {
    awk -v key="\"$2\":" '$1 == key { sub(/,$/, "", $2); print $2; exit }' "$IN/$1-parkland.json"
}

STRATEGIES="policy static-round-robin least-loaded greedy-role-change"
for trace in steady swing shift surge withdrawal stale; do
    {
        echo -n "$trace"
        for strategy in $STRATEGIES; do
            echo -n " $(value $trace $strategy goodput)"
        done
        echo " $(top $trace foresight_bound_goodput)"
    } >>"$DATA/goodput"
    {
        echo -n "$trace"
        for strategy in $STRATEGIES; do
            echo -n " $(value $trace $strategy avoidable_percent)"
        done
        echo
    } >>"$DATA/avoidable"
done

gnuplot <<PLOT
set terminal svg size 900,420 font "sans,12" background "white"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set key outside top horizontal
set grid ytics
set yrange [0:*]
set output "docs/figures/policy-goodput.svg"
set ylabel "answered within contract per second"
plot "$DATA/goodput" using 2:xtic(1) title "policy", "" using 3 title "static round robin", "" using 4 title "least loaded", \
    "" using 5 title "greedy role change", "" using 6 title "bound with foresight"
set output "docs/figures/policy-avoidable.svg"
set ylabel "avoidable refusals, % of requests"
plot "$DATA/avoidable" using 2:xtic(1) title "policy", "" using 3 title "static round robin", "" using 4 title "least loaded", \
    "" using 5 title "greedy role change"
PLOT
