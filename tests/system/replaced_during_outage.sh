#!/usr/bin/env bash
# Guards against a new proxy that cannot serve while the platform's table is
# down: proxy B is replaced and cannot read the configuration. It must take the
# one in force from proxy A, serve with it, and follow the platform again later.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.43.1 0
cluster_fault "$CLUSTER_PLATFORM" '{"down":true}'
kill -KILL "${CLUSTER_PIDS[11]}"
# On a busy machine the killed process holds its port for a moment.
wait "${CLUSTER_PIDS[11]}" 2>/dev/null || true
cluster_spawn "$work/logs/proxy-b2.log" "$bin" proxy --name proxy-b2 --zone laucala --listen "$CLUSTER_PROXY_B" \
  --platform "$CLUSTER_PLATFORM" --peers "$CLUSTER_PROXY_A"
browse() {
  "$bin" ctl call "$CLUSTER_PROXY_B" execute \
    '{"service":"stockbook","database":"catalogue","mode":"read","sql":"SELECT count(*) FROM units"}' >/dev/null 2>&1
}
eventually 4 browse || fail "the replaced proxy does not serve during the outage"
[ "$(cluster_field "$CLUSTER_PROXY_B" config_version)" = 1 ] || fail "not at version 1"
cluster_fault "$CLUSTER_PLATFORM" '{"down":false}'
printf '[instance stockbook/orders/walu]\nconnections = 8\n' >"$work/config/90-fewer.ini"
"$bin" ctl apply "$work/config" --platform "$CLUSTER_PLATFORM" "${both_proxies[@]}" || fail "version 2 is not in force everywhere"
echo "ok: a proxy started during the outage serves, and reads the configuration after it"
