#!/usr/bin/env bash
# Guards against a lost or duplicated write when a primary hangs (SIGSTOP) and
# the platform loses its reply to the first promotion claim. Writes must resume
# on a promoted replica within 5 s. The old primary resumes with its outdated
# role: its writes must be refused, and it must become a replica. Every
# acknowledged reservation must exist exactly once.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.33.1 20
verify_start orders 7000
sleep 1.5
cluster_fault "$CLUSTER_PLATFORM" '{"lose_answers":1}'
kill -STOP "${CLUSTER_BACKEND_PID[orders/walu]}"
sleep 3.5
kill -CONT "${CLUSTER_BACKEND_PID[orders/walu]}"
verify_finish
gap=$(verify_figure 'longest time without an acknowledged write')
[ "$gap" -le 5000 ] || fail "no write was acknowledged for $gap ms"
[ "$(primaries_of orders | wc -l)" -eq 1 ] || fail "not exactly one primary: $(primaries_of orders)"
[ "$(primaries_of orders)" != walu ] || fail "the paused primary is primary again"
refused=$("$bin" ctl call "${CLUSTER_BACKEND[orders/walu]}" execute '{"term":1,"sql":"DELETE FROM reservations"}' || true)
[[ "$refused" == fenced* ]] || fail "the old primary accepted a write in its old term: $refused"
echo "ok: automatic failover; gap $gap ms"
