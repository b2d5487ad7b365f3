#!/usr/bin/env bash
# Guards against acknowledging a write that only the primary holds: both replicas
# are paused (SIGSTOP), and the primary would lose the write if it died. The
# outcome must be reported as unknown; once the replicas run again, a retry with
# the same request id must give the one reservation.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.32.1 0
kill -STOP "${CLUSTER_BACKEND_PID[orders/laucala]}" "${CLUSTER_BACKEND_PID[orders/nabua]}"
reserve='{"service":"stockbook","database":"orders","request_id":"oven-2","sql":"INSERT INTO reservations (unit_id, buyer, deposit_fjd) VALUES (2, '"'Coral Coast'"', 450)","deadline_ms":1500}'
"$bin" ctl call "$CLUSTER_PROXY_A" execute "$reserve" >"$work/first.txt" && fail "acknowledged without a replica"
grep -q '^outcome_unknown' "$work/first.txt" || { cat "$work/first.txt"; fail "expected outcome_unknown"; }
kill -CONT "${CLUSTER_BACKEND_PID[orders/laucala]}" "${CLUSTER_BACKEND_PID[orders/nabua]}"
sleep 1
"$bin" ctl call "$CLUSTER_PROXY_B" execute "$reserve" >"$work/again.txt" || { cat "$work/again.txt"; fail "the repeated request failed"; }
grep -q '"repeated" : true' "$work/again.txt" || fail "the repeated request ran again"
rows=$("$bin" ctl call "$CLUSTER_PROXY_A" execute '{"service":"stockbook","database":"orders","sql":"SELECT count(*) FROM reservations WHERE unit_id = 2"}' | tr -d ' \n\t')
[[ "$rows" == *'"rows":[[1]]'* ]] || fail "expected one reservation: $rows"
echo "ok: reported as unknown, then found once by its request id"
