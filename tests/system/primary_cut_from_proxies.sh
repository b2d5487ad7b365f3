#!/usr/bin/env bash
# Story: a switch fails between the proxies and the orders primary. Its
# replicas still hear it, so it looks alive to them, but no buyer can reserve.
# The proxies agree that none of them reaches it, and a replica is promoted
# within 5 s; when the switch is back, the old primary follows.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.45.1 20
verify_start orders 7000
sleep 1.5
cluster_fault "${CLUSTER_BACKEND[orders/walu]}" '{"callers_cut":true}'
verify_clean
gap=$(verify_figure 'longest time without an acknowledged write')
[ "$gap" -le 5000 ] || fail "writes stood still for $gap ms"
cluster_fault "${CLUSTER_BACKEND[orders/walu]}" '{"callers_cut":false}'
one_other() { [ "$(primaries_of orders | wc -l)" -eq 1 ] && [ "$(primaries_of orders)" != walu ]; }
eventually 5 one_other || fail "primaries: $(primaries_of orders)"
echo "ok: replaced by agreement of the proxies; gap $gap ms"
