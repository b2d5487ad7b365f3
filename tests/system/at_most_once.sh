#!/usr/bin/env bash
# Guards against lost, duplicated and torn writes when callers retry by request
# id on either proxy. During the load the primary commits but loses replies,
# replies arrive late, a proxy is killed inside transactions and restarted, and
# the primary is killed. Each reservation must have taken effect exactly once or
# not at all, as its caller was told, and no transaction partially or mixed.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.35.1 20
# A request kind listed as non-repeatable requires a request id.
"$bin" ctl call "$CLUSTER_PROXY_A" execute '{"service":"stockbook","database":"orders","kind":"reserve-unit","sql":"DELETE FROM reservations"}' \
  >"$work/no-id.txt" && fail "a non-repeatable request without an id ran"
grep -q '^bad_request' "$work/no-id.txt" || fail "expected bad_request: $(cat "$work/no-id.txt")"
verify_start orders 9000 "${SEED:-7}"
primary=${CLUSTER_BACKEND[orders/walu]}
sleep 1
for _ in 1 2 3; do cluster_fault "$primary" '{"lose_answers":4}'; sleep 0.3; done
cluster_fault "$primary" '{"delay_answers_ms":150}'
sleep 0.5
cluster_fault "$primary" '{"delay_answers_ms":0}'
kill -KILL "${CLUSTER_PIDS[10]}"
sleep 0.7
cluster_spawn "$work/logs/proxy-a2.log" "$bin" proxy --name proxy-a --zone walu --listen "$CLUSTER_PROXY_A" --platform "$CLUSTER_PLATFORM"
sleep 1
kill -KILL "${CLUSTER_BACKEND_PID[orders/walu]}"
verify_finish
[ "$(verify_figure 'done')" -gt 100 ] || fail "too few requests were served for a meaningful result"
echo "ok: every request took effect once or not at all, as reported"
