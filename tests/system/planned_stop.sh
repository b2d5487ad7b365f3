#!/usr/bin/env bash
# Guards against requests interrupted by a planned stop: proxy A receives SIGTERM
# while 16 callers send statements through it. Every request it accepted must get
# its complete reply; later ones are refused as not run. A request that was sent
# and lost its reply (outcome unknown) fails the test.
set -euo pipefail
bin=$1 top=$2
source "$top/scripts/cluster.sh"
work=$(mktemp -d)
trap 'cluster_stop; rm -rf "$work"' EXIT
cluster_start "$bin" "$top/examples/vatuwaqa" "$work" 127.0.9.1 0
proxy_pid=${CLUSTER_PIDS[10]}
"$bin" bench call --target "$CLUSTER_PROXY_A" --method execute --sessions 16 --duration-ms 3000 \
  --params '{"service":"stockbook","database":"workshop","sql":"INSERT INTO notes (unit_id, note) VALUES (4, ?)","params":["load"]}' \
  >"$work/load.txt" &
load=$!
sleep 1
kill -TERM "$proxy_pid"
wait "$load" || true
wait "$proxy_pid" || { echo "FAIL: proxy A ended with an error"; exit 1; }
cat "$work/load.txt"
cut=$(awk '/ cut /{for (i = 1; i < NF; i++) if ($(i + 1) == "cut") print $i; exit}' "$work/load.txt")
ok=$(awk '/ ok /{print $2; exit}' "$work/load.txt")
[ -n "$cut" ] && [ "$ok" -gt 0 ] || { echo "FAIL: the load did not run"; exit 1; }
[ "$cut" -eq 0 ] || { echo "FAIL: the planned stop interrupted $cut requests"; exit 1; }
grep -q 'CL1003 process.stopped role=proxy in_flight=0 transactions=0' "$work/logs/proxy-a.log" ||
  { echo "FAIL: proxy A stopped with work in progress"; cat "$work/logs/proxy-a.log" | tail -3; exit 1; }
echo "ok: SIGTERM under load interrupted no request"
