#!/usr/bin/env bash
# Story: the platform lists the machine of a catalogue replica as leaving, and
# then that of the orders primary, both under load. The replica gets no new
# work after 3 s. The primary hands over: transactions under way finish, a
# replica leads, no answer is lost, and the old primary gets no new work.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.37.1 20
statements() { cluster_field "$1" statements; }
leaving=${CLUSTER_BACKEND[catalogue/laucala]}
"$bin" bench call --target "$CLUSTER_PROXY_B" --method execute --sessions 4 --duration-ms 6000 --params \
  '{"service":"stockbook","database":"catalogue","mode":"read","sql":"SELECT count(*) FROM units"}' >"$work/reads.txt" &
reads=$!
verify_start orders 6500
sleep 1
[ "$(statements "$leaving")" -gt 0 ] || fail "the replica served nothing before: nothing was tested"
cluster_machine "$leaving" backend leaving
cluster_machine "${CLUSTER_BACKEND[orders/walu]}" backend leaving
sleep 3
replica_before=$(statements "$leaving")
primary_before=$(statements "${CLUSTER_BACKEND[orders/walu]}")
[ "$(primaries_of orders)" != walu ] || fail "the leaving primary still leads"
sleep 1.5
[ "$(statements "$leaving")" -eq "$replica_before" ] || fail "the leaving replica still gets work"
[ "$(statements "${CLUSTER_BACKEND[orders/walu]}")" -eq "$primary_before" ] || fail "the leaving primary still gets work"
wait "$reads" || fail "reads failed"
grep -q ' 0 failed' "$work/reads.txt" || { cat "$work/reads.txt"; fail "reads failed while a replica left"; }
verify_clean
[ "$(verify_figure 'unknown')" -eq 0 ] || fail "the handover lost answers"
echo "ok: leaving machines got no new work; handover gap $(verify_figure 'longest time without an acknowledged write') ms"
