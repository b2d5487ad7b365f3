#!/usr/bin/env bash
# Guards against lost updates between operators: two fetch the same configuration
# and change different settings. The second apply must be refused with the
# reason, since it would undo the first; after a new fetch both changes must be in
# force on every proxy.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.42.1 0
ctl() { "$bin" ctl "$@" --platform "$CLUSTER_PLATFORM"; }
applied_fields() { "$bin" ctl call "$CLUSTER_PLATFORM" table.get '{"key":"config/current"}' | tr -d ' \n\t'; }
ctl fetch "$work/first"
ctl fetch "$work/second"
diff -r "$work/first" "$work/second" || fail "two fetches of one version differ"
printf '[instance stockbook/orders/walu]\nconnections = 8\n' >"$work/first/50-orders.ini"
printf '[service stockbook]\nmax_staleness_ms = 900\n' >"$work/second/50-pages.ini"
ctl apply "$work/first" "${both_proxies[@]}" | tee "$work/applied.txt"
grep -q '^in force on 2 proxies' "$work/applied.txt" || fail "not in force on both proxies"
ctl apply "$work/second" >"$work/refused.txt" && fail "the second operator overwrote the first one's change"
cat "$work/refused.txt"
grep -q 'version 2 is applied, but this folder was changed from version 1' "$work/refused.txt" || fail "the refusal does not give the reason"
[[ "$(applied_fields)" == *'"connections":8'* ]] || fail "the first operator's change is gone"
cp -r "$work/config" "$work/unknown" && rm "$work/unknown/.applied"
ctl apply "$work/unknown" && fail "a folder of unknown origin was applied over version 2"
ctl fetch "$work/third"
cp "$work/second/50-pages.ini" "$work/third/"
ctl apply "$work/third" "${both_proxies[@]}"
[[ "$(applied_fields)" == *'"connections":8'* && "$(applied_fields)" == *'"max_staleness_ms":900'* ]] || fail "one of the changes is gone"
ctl status "${both_proxies[@]}" || fail "status does not show version 3 everywhere"
echo "ok: the outdated apply was refused, and both changes are in force in the end"
