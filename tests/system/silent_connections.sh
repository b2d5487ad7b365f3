#!/usr/bin/env bash
# Story: a box between proxies and the orders primary forgets every open
# connection: they stay open and silent for good, while new ones work. Buyers
# whose answer was lost are told so or helped by their request id; everybody
# else is served on fresh connections within the deadline of one call.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.36.1 20
verify_start orders 7000
sleep 1.5
cluster_fault "${CLUSTER_BACKEND[orders/walu]}" '{"silence_open_connections":true}'
verify_clean
gap=$(verify_figure 'longest time without an acknowledged write')
[ "$gap" -le 3000 ] || fail "writes stood still for $gap ms"
[ "$(primaries_of orders)" = walu ] || fail "the primary was replaced though new connections worked"
echo "ok: silent connections were given up; gap $gap ms"
