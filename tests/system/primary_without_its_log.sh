#!/usr/bin/env bash
# Guards against reads of an empty database and writes that are acknowledged and
# lost: the primary is killed and restarted at once with an empty log, before its
# failure is noticed. It must be replaced by a replica that holds the commits.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.38.1 20
verify_start orders 7000
sleep 1.5
mapfile -d '' -t restart </proc/"${CLUSTER_BACKEND_PID[orders/walu]}"/cmdline
kill -KILL "${CLUSTER_BACKEND_PID[orders/walu]}"
cluster_spawn "$work/logs/backend-orders-walu-2.log" "${restart[@]}"
verify_finish
[ "$(primaries_of orders | wc -l)" -eq 1 ] || fail "not exactly one primary: $(primaries_of orders)"
[ "$(primaries_of orders)" != walu ] || fail "the restarted primary without its log is still the primary"
echo "ok: the primary without its log was replaced by $(primaries_of orders)"
