#!/bin/sh
# Ends the processes that deployment.sh started in a folder.
#
# usage: stop.sh DIR
set -u
while read -r pid; do
  kill "$pid" 2> /dev/null
done < "$1/pids"
sleep 4
while read -r pid; do
  kill -9 "$pid" 2> /dev/null
done < "$1/pids"
exit 0
