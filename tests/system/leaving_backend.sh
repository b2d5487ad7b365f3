#!/usr/bin/env bash
# Guards against new work on VMs that the platform lists as leaving, and against
# lost replies when a leaving primary hands over. A replica of one database and
# the primary of another leave under load. After 3 s neither may get statements;
# transactions in progress must finish, and a replica must have become primary.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.37.1 20
statements() { cluster_field "$1" statements; }
leaving=${CLUSTER_BACKEND[catalogue/laucala]}
"$bin" bench call --target "$CLUSTER_PROXY_B" --method execute --sessions 4 --duration-ms 6000 --params \
  '{"service":"stockbook","database":"catalogue","mode":"read","sql":"SELECT count(*) FROM units"}' >"$work/reads.txt" &
reads=$!
verify_start orders 6500
sleep 1
[ "$(statements "$leaving")" -gt 0 ] || fail "the replica served no reads before it left: nothing was tested"
cluster_set_vm_state "$leaving" backend leaving
cluster_set_vm_state "${CLUSTER_BACKEND[orders/walu]}" backend leaving
sleep 3
replica_before=$(statements "$leaving")
primary_before=$(statements "${CLUSTER_BACKEND[orders/walu]}")
[ "$(primaries_of orders)" != walu ] || fail "the leaving primary still has its role"
sleep 1.5
[ "$(statements "$leaving")" -eq "$replica_before" ] || fail "the leaving replica still gets work"
[ "$(statements "${CLUSTER_BACKEND[orders/walu]}")" -eq "$primary_before" ] || fail "the leaving primary still gets work"
wait "$reads" || fail "reads failed"
grep -q ' 0 failed' "$work/reads.txt" || { cat "$work/reads.txt"; fail "reads failed while a replica left"; }
verify_finish
[ "$(verify_figure 'unknown')" -eq 0 ] || fail "the handover lost replies"
echo "ok: leaving machines got no new work; handover gap $(verify_figure 'longest time without an acknowledged write') ms"
