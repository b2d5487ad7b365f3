#!/usr/bin/env bash
# Guards against losing service or configurations while the platform's table is
# unavailable. During the outage the proxies must keep serving with the last
# configuration, and an apply must be refused as unavailable without effect.
# After it, a new version must be in force on both proxies within 4 s. Of two
# applies racing over the same version, one must win and the other be refused.
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
[ "$elapsed_ms" -le 4000 ] || { echo "FAIL: took longer than the required 4 s"; exit 1; }

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
echo "ok: last configuration kept during the outage, new one in force after it, one racing apply refused"
