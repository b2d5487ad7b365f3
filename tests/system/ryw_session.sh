#!/usr/bin/env bash
# Guards against a session that does not read its own writes on another proxy: a
# transaction commits through proxy A, and the next read goes to proxy B while
# every replica lags by 1.5 s. The session must see its write at once, and all
# its replies must match the golden transcript.
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
