#!/usr/bin/env bash
# Measures the costs per connection, statement and database on which
# docs/CAPACITY.md is based, on loopback with the emulated platform and
# backends. Takes about a minute, under 30 processes and a few hundred MB.
#   bash scripts/capacity.sh [BUILD_DIR]
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
bin=${1:-$top/build}/cornellever
source "$top/scripts/cluster.sh"
work=$(mktemp -d)
trap 'cluster_stop; rm -rf "$work"' EXIT
ulimit -n 20000 2>/dev/null || true

rss_kb() { awk '/^VmRSS:/{print $2}' "/proc/$1/status"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
tick_us=$((1000000 / $(getconf CLK_TCK)))

cluster_start "$bin" "$top/examples/vatuwaqa" "$work" 127.0.6.1 0
proxy_pid=${CLUSTER_PIDS[10]}
sleep 1

echo "== proxy memory per idle caller connection"
for n in 0 1000 4000; do
  if [ "$n" -gt 0 ]; then
    "$bin" bench hold --target "$CLUSTER_PROXY_A" --method rollback --connections "$n" --duration-ms 3000 >/dev/null &
    holder=$!
    sleep 2
  fi
  echo "connections=$n proxy_rss_kb=$(rss_kb "$proxy_pid")"
  if [ "$n" -gt 0 ]; then wait "$holder"; fi
done

echo "== proxy CPU time per statement routed"
statement='{"service":"stockbook","database":"catalogue","mode":"MODE","sql":"SELECT id, kind, price_fjd FROM units WHERE id = 1"}'
for mode in write read; do
  before=$(cpu_ticks "$proxy_pid")
  out=$("$bin" bench call --target "$CLUSTER_PROXY_A" --method execute --params "${statement/MODE/$mode}" \
    --sessions 8 --duration-ms 3000)
  after=$(cpu_ticks "$proxy_pid")
  done_count=$(awk '/ ok /{print $2; exit}' <<<"$out")
  echo "mode=$mode statements=$done_count proxy_cpu_us_per_statement=$(( (after - before) * tick_us / done_count ))"
done

echo "== proxy CPU time per confirmed write"
before=$(cpu_ticks "$proxy_pid")
out=$("$bin" bench call --target "$CLUSTER_PROXY_A" --method execute --sessions 8 --duration-ms 3000 --params \
  '{"service":"stockbook","database":"workshop","sql":"INSERT INTO notes (unit_id, note) VALUES (4, ?)","params":["load"]}')
after=$(cpu_ticks "$proxy_pid")
done_count=$(awk '/ ok /{print $2; exit}' <<<"$out")
echo "writes=$done_count proxy_cpu_us_per_write=$(( (after - before) * tick_us / done_count ))"
before=$(cpu_ticks "$proxy_pid")
sleep 5
after=$(cpu_ticks "$proxy_pid")
echo "idle proxy, 9 instances monitored: control_cpu_us_per_second=$(( (after - before) * tick_us / 5 ))"

echo "== control messages: client cost and bytes per call"
echo -n "heartbeat (status to a backend): "
"$bin" bench call --target 127.0.6.1:7101 --method status --sessions 1 --duration-ms 2000 | tail -1
echo -n "config poll (table.get of the whole config row): "
"$bin" bench call --target "$CLUSTER_PLATFORM" --method table.get --params '{"key":"config/current"}' \
  --sessions 1 --duration-ms 2000 | tail -1
echo -n "config version check (table.list of the config prefix): "
"$bin" bench call --target "$CLUSTER_PLATFORM" --method table.list --params '{"prefix":"config/"}' \
  --sessions 1 --duration-ms 2000 | tail -1
echo -n "machine list (vms.list): "
"$bin" bench call --target "$CLUSTER_PLATFORM" --method vms.list --sessions 1 --duration-ms 2000 | tail -1
echo -n "confirmation (await_received): "
"$bin" bench call --target 127.0.6.1:7122 --method await_received --params '{"term":1,"position":1}' \
  --sessions 1 --duration-ms 2000 | tail -1
echo -n "platform table.get throughput, one caller: "
"$bin" bench call --target "$CLUSTER_PLATFORM" --method table.get --params '{"key":"config/current"}' \
  --sessions 1 --duration-ms 2000 | head -1
cluster_stop

echo "== proxy memory per configured database (3 instances each, none answering)"
"$bin" platform --listen 127.0.6.2:7000 >"$work/platform2.log" 2>&1 &
CLUSTER_PIDS+=("$!")
"$bin" proxy --name probe --zone walu --listen 127.0.6.2:7201 --platform 127.0.6.2:7000 --log-level error \
  >"$work/proxy2.log" 2>&1 &
probe_pid=$!
CLUSTER_PIDS+=("$probe_pid")
cluster_wait_for "the second platform" 50 "$bin" ctl call 127.0.6.2:7000 dump
applied=0
for dbs in 1 10 100 1000; do
  folder=$work/gen-$dbs
  mkdir -p "$folder"
  printf '[cluster]\nname = capacity\nzones = a, b, c\n[service svc]\nmax_staleness_ms = 1000\n' >"$folder/00.ini"
  for d in $(seq "$dbs"); do
    for z in a b c; do
      port=$(( 10000 + d * 3 + $(printf '%d' "'$z") - 97 ))
      printf '[instance svc/db%d/%s]\nzone = %s\naddress = 127.0.7.1:%d\n' "$d" "$z" "$z" "$port"
    done
  done >"$folder/10.ini"
  "$bin" ctl apply "$folder" --platform 127.0.6.2:7000 --expect-version "$applied" >/dev/null
  applied=$((applied + 1))
  sleep 3
  echo "databases=$dbs instances=$((dbs * 3)) proxy_rss_kb=$(rss_kb "$probe_pid") config_row_bytes=$(
    "$bin" ctl call 127.0.6.2:7000 table.get '{"key":"config/current"}' | wc -c)"
done
