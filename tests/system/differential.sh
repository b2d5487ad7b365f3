#!/usr/bin/env bash
# Guards against stale or wrong reads from replicas: random sessions read and
# write, switching between two proxies while replicas lag by 20 ms. The same
# statements run against a single backend without a proxy (naive). All replies
# must be equal, and replicas must have served most of the reads.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.39.1 20
naive=127.0.39.1:7900
cluster_spawn "$work/logs/naive.log" "$bin" backend --name naive --listen "$naive" --role primary --data "$work/data/naive" \
  --sql "$top/examples/vatuwaqa/schema/catalogue.sql"
cluster_wait_for "the naive version" 50 "$bin" ctl call "$naive" status
for seed in 1 2 3; do
  "$bin" bench differential "${both_proxies[@]}" --direct "$naive" --database catalogue --sessions 12 --steps 40 --seed "$seed" \
    >"$work/diff.txt" || { cat "$work/diff.txt"; fail "replies differ from the naive version"; }
  cat "$work/diff.txt"
  share=$(sed -n 's/.*by replicas 0*\.\([0-9]*\).*/\1/p;s/.*by replicas 1\.000.*/999/p' "$work/diff.txt" | head -1)
  [ "$((10#$share))" -ge 500 ] || fail "replicas served only 0.$share of the reads"
done
echo "ok: same replies as the naive version"
