#!/usr/bin/env bash
# Measures the figures of docs/MEASURES.md for both examples: the share of reads
# served by replicas and the write outage during a failover, each compared with
# a single backend without a proxy (naive), and the time until an applied
# configuration is in force on all proxies. Loopback only; takes about 4 min.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
source "$top/scripts/setup.sh" >/dev/null
source "$top/scripts/cluster.sh"
bin=$top/build/cornellever
trap 'cluster_stop || true' EXIT

measure() {
  local example=$1 service=$2 database=$3 seed_script=$4 ip=$5 work replica_wait
  work=$(mktemp -d)
  cluster_start "$bin" "$top/examples/$example" "$work" "$ip" 20
  cluster_spawn "$work/logs/naive.log" "$bin" backend --name naive --listen "$ip:7900" --role primary \
    --data "$work/data/naive" --sql "$top/examples/$example/schema/$seed_script.sql"
  cluster_wait_for "the naive version" 50 "$bin" ctl call "$ip:7900" status
  local proxies=(--proxy "$CLUSTER_PROXY_A" --proxy "$CLUSTER_PROXY_B") on=(--service "$service" --database "$database")
  echo "== $example: replica reads (replicas lag 20 ms; naive: 0)"
  for replica_wait in 30 0; do
    printf '[service %s]\nreplica_wait_ms = %s\n' "$service" "$replica_wait" >"$work/config/95-wait.ini"
    "$bin" ctl apply "$work/config" --platform "$CLUSTER_PLATFORM" "${proxies[@]}" | tail -1
    echo "replica_wait_ms = $replica_wait"
    "$bin" bench differential "${proxies[@]}" --direct "$ip:7900" "${on[@]}" --sessions 25 --steps 40 --seed "$((replica_wait + 7))"
    "$bin" bench verify "${proxies[@]}" "${on[@]}" --duration-ms 4000 --seed "$((replica_wait + 1))" | head -8
  done
  echo "== $example: failover gap (naive: the whole downtime of the primary)"
  "$bin" bench gap "${proxies[@]}" "${on[@]}" --rounds 10 --direct "$ip:7900"
  echo "== $example: a configuration in force on 2 proxies, 20 applies"
  for replica_wait in $(seq 20); do
    printf '[service %s]\nreplica_wait_ms = %s\n' "$service" "$replica_wait" >"$work/config/95-wait.ini"
    "$bin" ctl apply "$work/config" --platform "$CLUSTER_PLATFORM" "${proxies[@]}" | sed -n 's/^in force.* \([0-9]*\) ms$/\1/p'
    sleep "0.$((RANDOM % 5))"
  done | sort -n | awk '{v[NR] = $1} END {print "median " v[int((NR + 1) / 2)] " ms, max " v[NR] " ms of " NR}'
  cluster_stop
  rm -rf "$work"
}

measure vatuwaqa stockbook orders orders 127.0.51.1
measure kashafa badge-ledger awards awards 127.0.52.1
