#!/usr/bin/env bash
# The main job on its embedded default: builds, starts the platform stand-in,
# nine backend stand-ins and two proxies on loopback (each its own process),
# applies examples/vatuwaqa, runs a buyer's session that reserves an oven on
# proxy A and reads it back on proxy B, prints what it saw, and stops.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
source "$top/scripts/setup.sh"
source "$top/scripts/cluster.sh"
example=${1:-vatuwaqa}
work=$(mktemp -d)
trap 'cluster_stop; rm -rf "$work"' EXIT
bin=$top/build/cornellever
echo "starting: platform, 9 backends (replicas lag 400 ms), 2 proxies on 127.0.0.1"
cluster_start "$bin" "$top/examples/$example" "$work" 127.0.0.1 400
echo "applied: $(cat "$work/logs/apply.log" | tail -1)"
echo
"$bin" bench session --proxy "$CLUSTER_PROXY_A" --proxy "$CLUSTER_PROXY_B" --script "$top/examples/$example/session.json"
echo
echo "proxy B's view of replica reads:"
"$bin" ctl dump "$CLUSTER_PROXY_B" | grep -E '"(reads|replica_reads|replica_fallbacks)"'
echo "stopping"
