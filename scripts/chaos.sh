#!/bin/sh
# Kills, pauses and restarts processes of a deployment while callers send and
# retry writes. Counts the executions of each write; exits 1 if one ran twice.
#
# usage: chaos.sh [DEPLOYMENT [SECONDS]]
#   RECORD=FILE  environment: write the run to FILE as a trace for replay
set -eu
cd "$(dirname "$0")/.."
deployment=${1:-etiketa}
seconds=${2:-24}
dir=$(mktemp -d)
PORT_BASE=${PORT_BASE:-19000}
export PORT_BASE
trap 'sh scripts/stop.sh "$dir"; rm -rf "$dir"' EXIT

pid_of() { cat "$dir/$1.pid"; }
note() { echo "$(date +%s.%N) $*" >> "$dir/events"; echo "$*"; }
restart_target() {
  set -- "$1" "$(sed -n "$1p" "$dir/nodes" | cut -d ' ' -f 3)" "$((PORT_BASE + $1 * 10))"
  python3 -m standins target --service="$2" --address="127.0.0.1:$(($3 + 3))" \
    --node="127.0.0.1:$(($3 + 2))" --record="$dir/executions" > "$dir/target$1.out" 2>&1 &
  echo $! > "$dir/target$1.pid"
  echo $! >> "$dir/pids"
}
restart_node() {
  filbertdrift node "$dir/node$1.ini" > "$dir/node$1.out" 2>&1 &
  echo $! > "$dir/node$1.pid"
  echo $! >> "$dir/pids"
}

sh scripts/deployment.sh "$dir" "$deployment" small
sleep 8
admin=$(head -n 1 "$dir/nodes" | cut -d ' ' -f 5)
filbertdrift publish examples/"$deployment"/*.ini --admin "$admin" --wait | grep -E '^(verdict|in_force)'
sleep 2
python3 -m standins traffic "$dir" "$deployment" --seconds="$seconds" --per-s=100 > "$dir/report" &
traffic=$!
sleep 1; note publish "$(head -n 1 "$dir/nodes" | cut -d ' ' -f 3)"
filbertdrift publish examples/"$deployment"/20-policies.ini --admin "$admin" | grep '^verdict'
sleep 2; note kill-target 1; kill -9 "$(pid_of target1)"
sleep 3; note restart-target 1; restart_target 1
sleep 1; note pause-node 2; kill -STOP "$(pid_of node2)"
sleep 5; note resume-node 2; kill -CONT "$(pid_of node2)"
sleep 1; note kill-node 3; kill -9 "$(pid_of node3)"
sleep 2; note restart-node 3; restart_node 3
sleep 1; note end-node 4; kill -TERM "$(pid_of node4)"
sleep 1; note kill-log; kill -9 "$(pid_of log)"
wait "$traffic"
cat "$dir/report"
[ -z "${RECORD:-}" ] || python3 -m standins record "$dir" > "$RECORD"
grep -q 'more than once: 0$' "$dir/report"
