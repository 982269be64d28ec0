#!/bin/sh
# Measures the latency that two nodes add to a call, with separate processes on
# loopback.
#
# usage: bench_hop.sh [CALLS [PER_S [DEPTH]]]
set -eu
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
PORT_BASE=${PORT_BASE:-18000}
export PORT_BASE
trap 'sh scripts/stop.sh "$dir"; rm -rf "$dir"' EXIT
WORK_MS=0 sh scripts/deployment.sh "$dir" etiketa small
sleep 5
admin=$(head -n 1 "$dir/nodes" | cut -d ' ' -f 5)
filbertdrift publish examples/etiketa/*.ini --admin "$admin" --wait > "$dir/publish.out"
sleep 6
# the ingress node has no local lab-ledger target, so each call passes both nodes
filbertdrift bench hop --direct "127.0.0.1:$((PORT_BASE + 43))" \
  --via "127.0.0.1:$((PORT_BASE + 11))" --path /nutrients/salt \
  --calls "${1:-3000}" --per_s "${2:-100}" --depth "${3:-1}"
pids=$(cat "$dir"/node*.pid | tr '\n' ' ')
filbertdrift bench rate --via "127.0.0.1:$((PORT_BASE + 11))" \
  --path /nutrients/salt --pids "$pids" --connections 32
