#!/bin/sh
# Runs a small deployment: publishes a change under load, kills a node and the
# log, and prints the outcomes of the requests.
#
# usage: demo.sh [DEPLOYMENT [SCALE]]
set -eu
cd "$(dirname "$0")/.."
deployment=${1:-etiketa}
scale=${2:-small}
dir=$(mktemp -d)
trap 'sh scripts/stop.sh "$dir"; rm -rf "$dir"' EXIT

note() { echo "$(date +%s.%N) $*" >> "$dir/events"; }
field() { sed -n "s/^$1: //p"; }

echo "starting the $scale $deployment deployment"
sh scripts/deployment.sh "$dir" "$deployment" "$scale"
first_admin=$(head -n 1 "$dir/nodes" | cut -d ' ' -f 5)
nodes=$(wc -l < "$dir/nodes")
tries=0
until filbertdrift status --admin "$first_admin" 2> /dev/null \
  | grep -q "^members: $nodes$"; do
  tries=$((tries + 1))
  [ "$tries" -lt 40 ] || { echo "nodes did not find each other" >&2; exit 1; }
  sleep 0.5
done
echo "$nodes nodes found each other"

echo "publishing examples/$deployment as one change"
filbertdrift publish examples/"$deployment"/*.ini --admin "$first_admin" --wait \
  | grep -E '^(verdict|in_force|nodes|seconds)'
sleep 2

echo "sending 100 requests a second for 12 s"
python3 -m standins traffic "$dir" "$deployment" --seconds=12 --per-s=100 > "$dir/report" &
traffic=$!

sleep 3
echo "publishing a change under load, after 3 s of traffic"
cp examples/"$deployment"/20-policies.ini "$dir/20-policies.ini"
sed -i 's/^timeout_ms = 3000$/timeout_ms = 2500/' "$dir/20-policies.ini"
note publish "$(tail -n 1 "$dir/nodes" | cut -d ' ' -f 3)"
filbertdrift publish "$dir/20-policies.ini" --admin "$first_admin" --wait \
  | grep -E '^(verdict|in_force|nodes|seconds)'

sleep 2
victim=$(tail -n 1 "$dir/nodes" | cut -d ' ' -f 1)
echo "killing node $victim"
note kill-node "$victim"
kill -9 "$(cat "$dir/node$victim.pid")"

sleep 2
echo "killing the log: from here on writes with a key are refused as not-run"
kill -9 "$(cat "$dir/log.pid")"

wait "$traffic"
cat "$dir/report"
echo "state of the first node:"
filbertdrift status --admin "$first_admin" \
  | grep -E '^(offset|members|log_is_reachable|control_bytes|log_reads|log_appends)'
