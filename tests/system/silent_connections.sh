#!/usr/bin/env bash
# Guards against requests stuck on dead connections: a middlebox forgets all open
# connections between the proxies and a primary, which stay open but receive
# nothing, while new ones work. Callers whose reply was lost are told that the
# outcome is unknown or retry by request id; all others must be served on new
# connections within the deadline of one call. The primary must not be replaced.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.36.1 20
verify_start orders 7000
sleep 1.5
cluster_fault "${CLUSTER_BACKEND[orders/walu]}" '{"silence_open_connections":true}'
verify_finish
gap=$(verify_figure 'longest time without an acknowledged write')
[ "$gap" -le 3000 ] || fail "no write was acknowledged for $gap ms"
[ "$(primaries_of orders)" = walu ] || fail "the primary was replaced though new connections worked"
echo "ok: silent connections were abandoned; gap $gap ms"
