#!/usr/bin/env bash
# Guards against transactions interrupted by a planned stop: proxy A receives
# SIGTERM while transactions are open on it. These must commit, new ones are
# refused as not run and begin on proxy B, no outcome may stay unknown, and
# proxy A must exit within its grace period.
set -euo pipefail
source "$(dirname "$0")/common.sh" "$1" "$2" 127.0.38.1 20
proxy_pid=${CLUSTER_PIDS[10]}
verify_start orders 4000
sleep 1.5
started=$SECONDS
kill -TERM "$proxy_pid"
wait "$proxy_pid" || fail "proxy A ended with an error"
[ $((SECONDS - started)) -le 6 ] || fail "proxy A took longer than 6 s to stop"
verify_finish
[ "$(verify_figure 'unknown')" -eq 0 ] || fail "the stop left outcomes unknown"
grep -q 'CL1003 process.stopped role=proxy in_flight=0 transactions=0' "$work/logs/proxy-a.log" || fail "proxy A stopped with work in progress"
echo "ok: a planned stop interrupted no transaction"
