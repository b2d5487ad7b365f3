#!/usr/bin/env bash
# Story: an operator stops proxy A while buyers are in the middle of
# transactions on it. Those commit; new ones are refused as not run and begin
# on proxy B. Nobody is left in doubt, and proxy A is gone within its grace.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.38.1 20
proxy_pid=${CLUSTER_PIDS[10]}
verify_start orders 4000
sleep 1.5
started=$SECONDS
kill -TERM "$proxy_pid"
wait "$proxy_pid" || fail "proxy A ended with an error"
[ $((SECONDS - started)) -le 6 ] || fail "proxy A took longer than 6 s to stop"
verify_clean
[ "$(verify_figure 'unknown')" -eq 0 ] || fail "the stop left callers in doubt"
grep -q 'CL1003 process.stopped role=proxy in_flight=0 transactions=0' "$work/logs/proxy-a.log" || fail "proxy A did not stop drained"
echo "ok: a planned stop cut no transaction"
