#!/usr/bin/env bash
# Guards against two primaries when a primary is killed while the platform's
# table is down. Without a term from the table a promotion would be unsafe, so
# the proxies must wait and refuse writes as "not run". Once the table is back, a
# replica must be promoted within 5 s, with every acknowledged write.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.34.1 0
call() { "$bin" ctl call "$CLUSTER_PROXY_A" execute "$1"; }
call '{"service":"stockbook","database":"orders","sql":"INSERT INTO reservations (unit_id, buyer, deposit_fjd) VALUES (3, '"'Nadi'"', 90)"}' >/dev/null
cluster_fault "$CLUSTER_PLATFORM" '{"down":true}'
kill -KILL "${CLUSTER_BACKEND_PID[orders/walu]}"
sleep 3
[ -z "$(primaries_of orders)" ] || fail "promoted without the platform: $(primaries_of orders)"
call '{"service":"stockbook","database":"orders","sql":"DELETE FROM reservations","deadline_ms":300}' >"$work/refused.txt" && fail "a write succeeded without a primary"
grep -q '^unavailable' "$work/refused.txt" || { cat "$work/refused.txt"; fail "expected a refusal that means not run"; }
cluster_fault "$CLUSTER_PLATFORM" '{"down":false}'
one_primary() { [ "$(primaries_of orders | wc -l)" -eq 1 ]; }
eventually 5 one_primary || fail "no primary 5 s after the platform came back"
rows=$(call '{"service":"stockbook","database":"orders","sql":"SELECT count(*) FROM reservations WHERE unit_id IN (3, 5)"}' | tr -d ' \n\t')
[[ "$rows" == *'"rows":[[2]]'* ]] || fail "an acknowledged reservation is missing: $rows"
echo "ok: no promotion without the platform, one after"
