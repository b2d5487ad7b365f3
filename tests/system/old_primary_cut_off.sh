#!/usr/bin/env bash
# Guards against acknowledging writes that only an isolated primary holds: the
# primary is cut off from both replicas while the proxies still reach it. None of
# its writes may be acknowledged. A replica must be promoted within 5 s, the old
# primary's writes must be discarded, and acknowledged writes must remain.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.31.1 0
old=${CLUSTER_BACKEND[orders/walu]}
verify_start orders 6000
sleep 1.5
cluster_fault "$old" '{"cut":true}'
sleep 0.5
before=$(cluster_field "$old" received)
reserve='{"service":"stockbook","database":"orders","sql":"INSERT INTO reservations (unit_id, buyer, deposit_fjd) VALUES (77, '"'lost'"', 1)","deadline_ms":700}'
"$bin" ctl call "$CLUSTER_PROXY_A" execute "$reserve" >"$work/lost.txt" && fail "a write that no replica holds was acknowledged"
grep -q '^outcome_unknown' "$work/lost.txt" || { cat "$work/lost.txt"; fail "expected outcome_unknown"; }
[ "$(cluster_field "$old" received)" -gt "$before" ] || fail "the cut-off primary did not execute the write: nothing was tested"
verify_finish
gap=$(verify_figure 'longest time without an acknowledged write')
[ "$gap" -le 5000 ] || fail "no write was acknowledged for $gap ms"
cluster_fault "$old" '{"cut":false}'
eventually 5 test "$(primaries_of orders | wc -l)" -eq 1 || fail "not exactly one primary: $(primaries_of orders)"
caught_up() { [ "$(cluster_field "$old" role)" = replica ] && [ "$(cluster_field "$old" received)" = "$(cluster_field "${CLUSTER_BACKEND[orders/$(primaries_of orders)]}" received)" ]; }
eventually 5 caught_up || fail "the old primary did not become an up-to-date replica"
rows=$("$bin" ctl call "$old" execute '{"sql":"SELECT count(*) FROM reservations WHERE unit_id = 77"}' | tr -d ' \n\t')
[[ "$rows" == *'"rows":[[0]]'* ]] || fail "the unacknowledged write survived on the old primary: $rows"
echo "ok: a cut-off primary acknowledged nothing; gap $gap ms"
