#!/usr/bin/env bash
# Guards against a planned handover that leaves the outcome of its last writes
# unknown: each reply of the old primary arrives after its replicas have promised
# the next term, so they no longer confirm the write.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.44.1 0
verify_start orders 4500
sleep 1
cluster_fault "${CLUSTER_BACKEND[orders/walu]}" '{"delay_answers_ms":150}'
cluster_set_vm_state "${CLUSTER_BACKEND[orders/walu]}" backend leaving
verify_finish
[ "$(primaries_of orders)" != walu ] || fail "the leaving primary still has its role: nothing was tested"
[ "$(verify_figure 'unknown')" -eq 0 ] || fail "the handover lost replies"
echo "ok: every write during the handover had a known outcome"
