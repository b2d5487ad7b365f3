#!/usr/bin/env bash
# Story: a buyer browses on proxy A, reserves an oven in a transaction there,
# then the next page is answered by proxy B while every replica still lags
# 1.5 s. The buyer must see the reservation at once (read-your-writes across
# proxies), and the whole session must match the golden transcript.
set -euo pipefail
bin=$1 top=$2
source "$top/scripts/cluster.sh"
work=$(mktemp -d)
trap 'cluster_stop; rm -rf "$work"' EXIT
cluster_start "$bin" "$top/examples/vatuwaqa" "$work" 127.0.3.1 1500
"$bin" bench session --proxy "$CLUSTER_PROXY_A" --proxy "$CLUSTER_PROXY_B" \
  --script "$top/examples/vatuwaqa/session.json" --transcript "$work/transcript.jsonl"
if ! diff -u "$top/tests/golden/vatuwaqa-session.jsonl" "$work/transcript.jsonl"; then
  echo "FAIL: the session differs from the golden transcript"
  exit 1
fi
echo "ok: the session matches the golden transcript"
