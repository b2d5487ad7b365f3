#!/usr/bin/env bash
# Story: at night the orders primary hangs (SIGSTOP) while buyers reserve, and
# the platform loses the answer of the first claim. Nobody is awake. A proxy
# promotes a replica; writes go on within 5 s. Then the old primary wakes up,
# still believing it leads: whatever it is asked to write is refused, and it
# follows. Every reservation told as done is there exactly once.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.33.1 20
verify_start orders 7000
sleep 1.5
cluster_fault "$CLUSTER_PLATFORM" '{"lose_answers":1}'
kill -STOP "${CLUSTER_BACKEND_PID[orders/walu]}"
sleep 3.5
kill -CONT "${CLUSTER_BACKEND_PID[orders/walu]}"
verify_clean
gap=$(verify_figure 'longest time without an acknowledged write')
[ "$gap" -le 5000 ] || fail "writes stood still for $gap ms"
[ "$(primaries_of orders | wc -l)" -eq 1 ] || fail "not exactly one primary: $(primaries_of orders)"
[ "$(primaries_of orders)" != walu ] || fail "the paused primary leads again"
refused=$("$bin" ctl call "${CLUSTER_BACKEND[orders/walu]}" execute '{"term":1,"sql":"DELETE FROM reservations"}' || true)
[[ "$refused" == fenced* ]] || fail "the old primary took a write of its old term: $refused"
echo "ok: failover with nobody awake; gap $gap ms"
