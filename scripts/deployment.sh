#!/bin/sh
# Starts the log, nodes and targets of a deployment as separate processes on
# loopback.
#
# usage: deployment.sh DIR DEPLOYMENT SCALE
#   DIR         folder for settings, logs and process ids
#   DEPLOYMENT  etiketa or roadbook
#   SCALE       small (2 or 3 targets per service) or full
set -eu

dir=$1
deployment=$2
scale=${3:-small}
port_base=${PORT_BASE:-17000}
profile=${PROFILE:-convergence}
mkdir -p "$dir"
: > "$dir/pids"
: > "$dir/nodes"

log_port=$port_base
python -m standins log --port="$log_port" > "$dir/log.out" 2>&1 &
echo $! > "$dir/log.pid"
echo $! >> "$dir/pids"

seeds=""
index=0

start_pair() {
  domain=$1 region=$2 service=$3 slots=$4 connections=$5
  index=$((index + 1))
  peer=$((port_base + index * 10))
  seeds="$seeds 127.0.0.1:$peer"
  {
    echo "[node]"
    echo "peer_address = 127.0.0.1:$peer"
    echo "caller_address = 127.0.0.1:$((peer + 1))"
    echo "admin_address = 127.0.0.1:$((peer + 2))"
    echo "domain = $domain"
    echo "region = $region"
    echo "[peers]"
    echo "seeds =$seeds"
    echo "[log]"
    echo "url = http://127.0.0.1:$log_port"
    echo "[control]"
    echo "profile = $profile"
  } > "$dir/node$index.ini"
  filbertdrift node "$dir/node$index.ini" > "$dir/node$index.out" 2>&1 &
  echo $! > "$dir/node$index.pid"
  echo $! >> "$dir/pids"
  python -m standins target --service="$service" \
    --address="127.0.0.1:$((peer + 3))" --node="127.0.0.1:$((peer + 2))" \
    --slots="$slots" --connections="$connections" \
    --work-ms="${WORK_MS:-2}" --record="$dir/executions" \
    > "$dir/target$index.out" 2>&1 &
  echo $! > "$dir/target$index.pid"
  echo $! >> "$dir/pids"
  echo "$index $domain $service 127.0.0.1:$((peer + 1)) 127.0.0.1:$((peer + 2))" >> "$dir/nodes"
}

# start_many SERVICE COUNT SLOTS CONNECTIONS REGION DOMAIN...
start_many() {
  service=$1 count=$2 slots=$3 connections=$4 region=$5
  shift 5
  made=0
  while [ "$made" -lt "$count" ]; do
    for domain in "$@"; do
      [ "$made" -lt "$count" ] || break
      start_pair "$domain" "$region" "$service" "$slots" "$connections"
      made=$((made + 1))
    done
  done
}

case "$deployment-$scale" in
  etiketa-small)
    start_many recipe-desk 3 20 120 bratislava petrzalka ruzinov devin
    start_many lab-ledger 2 20 120 bratislava ruzinov devin ;;
  etiketa-full)
    start_many recipe-desk 8 20 120 bratislava petrzalka ruzinov devin
    start_many lab-ledger 3 20 120 bratislava petrzalka ruzinov devin ;;
  roadbook-small)
    start_many logbook 3 10 130 jm-south kgn-a kgn-b spanish-town
    start_many evidence 2 10 130 jm-south kgn-b spanish-town ;;
  roadbook-full)
    start_many logbook 9 10 130 jm-south kgn-a kgn-b spanish-town
    start_many evidence 3 10 130 jm-south kgn-a kgn-b spanish-town ;;
  *) echo "unknown deployment $deployment or scale $scale" >&2; exit 2 ;;
esac
