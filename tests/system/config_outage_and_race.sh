#!/usr/bin/env bash
# Story: the platform's table service goes down while proxies run version 1.
# Callers keep being served on the last good configuration; an operator's
# apply during the outage is refused as unavailable and changes nothing.
# When the platform is back, version 2 is in force on both proxies within
# 4 s. Then two operators apply at once over version 2: one wins, the other
# is refused and told why.
set -euo pipefail
bin=$1 top=$2
source "$top/scripts/cluster.sh"
work=$(mktemp -d)
trap 'cluster_stop; rm -rf "$work"' EXIT
cluster_start "$bin" "$top/examples/vatuwaqa" "$work" 127.0.8.1 0

version_of() { "$bin" ctl dump "$1" | sed -n 's/.*"config_version" : \([0-9]*\).*/\1/p'; }
read_stock() {
  "$bin" ctl call "$1" execute \
    '{"service":"stockbook","database":"catalogue","mode":"read","sql":"SELECT count(*) FROM units"}' >/dev/null
}
cp -r "$work/config" "$work/next"
printf '[instance stockbook/orders/walu]\nconnections = 8\n' >"$work/next/90-fewer.ini"

"$bin" ctl call "$CLUSTER_PLATFORM" fault.set '{"down":true}' >/dev/null
sleep 1.5
read_stock "$CLUSTER_PROXY_A" || { echo "FAIL: proxy A stopped serving while the platform was down"; exit 1; }
read_stock "$CLUSTER_PROXY_B" || { echo "FAIL: proxy B stopped serving while the platform was down"; exit 1; }
set +e
"$bin" ctl apply "$work/next" --platform "$CLUSTER_PLATFORM" >"$work/outage.txt"
status=$?
set -e
cat "$work/outage.txt"
[ "$status" -eq 3 ] || { echo "FAIL: apply during the outage exited $status, expected 3 (unavailable)"; exit 1; }
for proxy in "$CLUSTER_PROXY_A" "$CLUSTER_PROXY_B"; do
  [ "$(version_of "$proxy")" = 1 ] || { echo "FAIL: $proxy left version 1 during the outage"; exit 1; }
done

"$bin" ctl call "$CLUSTER_PLATFORM" fault.set '{"down":false}' >/dev/null
started=$(date +%s%N)
"$bin" ctl apply "$work/next" --platform "$CLUSTER_PLATFORM"
for _ in $(seq 80); do
  if [ "$(version_of "$CLUSTER_PROXY_A")" = 2 ] && [ "$(version_of "$CLUSTER_PROXY_B")" = 2 ]; then break; fi
  sleep 0.05
done
elapsed_ms=$(( ($(date +%s%N) - started) / 1000000 ))
for proxy in "$CLUSTER_PROXY_A" "$CLUSTER_PROXY_B"; do
  [ "$(version_of "$proxy")" = 2 ] || { echo "FAIL: $proxy is not at version 2 after ${elapsed_ms} ms"; exit 1; }
done
echo "version 2 in force on both proxies ${elapsed_ms} ms after apply started"
[ "$elapsed_ms" -le 4000 ] || { echo "FAIL: slower than the 4 s the users ask"; exit 1; }

"$bin" ctl apply "$work/config" --platform "$CLUSTER_PLATFORM" --expect-version 2 >"$work/race-1.txt" &
first=$!
"$bin" ctl apply "$work/next" --platform "$CLUSTER_PLATFORM" --expect-version 2 >"$work/race-2.txt" &
second=$!
wait "$first" || true
wait "$second" || true
cat "$work/race-1.txt" "$work/race-2.txt"
wins=$(cat "$work/race-1.txt" "$work/race-2.txt" | grep -c '^applied: version 3$' || true)
losses=$(cat "$work/race-1.txt" "$work/race-2.txt" | grep -c '^refused (conflict)' || true)
[ "$wins" -eq 1 ] && [ "$losses" -eq 1 ] || { echo "FAIL: $wins won and $losses were refused, expected 1 and 1"; exit 1; }
echo "ok: last good config kept through the outage, caught up after, one racing operator refused"
