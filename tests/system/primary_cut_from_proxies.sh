#!/usr/bin/env bash
# Guards against an outage when the network between the proxies and a primary
# fails while its replicas still receive heartbeats from it. The proxies must
# agree that none of them reaches it and promote a replica within 5 s; when the
# network is back, the old primary must become a replica.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.45.1 20
verify_start orders 7000
sleep 1.5
cluster_fault "${CLUSTER_BACKEND[orders/walu]}" '{"callers_cut":true}'
verify_finish
gap=$(verify_figure 'longest time without an acknowledged write')
[ "$gap" -le 5000 ] || fail "no write was acknowledged for $gap ms"
cluster_fault "${CLUSTER_BACKEND[orders/walu]}" '{"callers_cut":false}'
one_other() { [ "$(primaries_of orders | wc -l)" -eq 1 ] && [ "$(primaries_of orders)" != walu ]; }
eventually 5 one_other || fail "primaries: $(primaries_of orders)"
echo "ok: the proxies agreed and promoted a replica; gap $gap ms"
