#!/usr/bin/env bash
# Demonstrates session consistency: builds, starts an emulated platform, nine
# emulated backends and two proxies on loopback (a process each), applies the
# configuration of an example, runs a session that writes through proxy A and
# reads it back through proxy B, prints the replies, and stops everything.
#   bash scripts/demo.sh [EXAMPLE]     a folder in examples/; default: vatuwaqa
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
echo "reads at proxy B, and how many of them replicas served:"
"$bin" ctl dump "$CLUSTER_PROXY_B" | grep -E '"(reads|replica_reads|replica_fallbacks)"'
echo "stopping"
