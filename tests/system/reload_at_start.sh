#!/usr/bin/env bash
# A SIGHUP that arrives before the process handles signals must not end it: the settings are read again instead.
# The settings file is a pipe at first, so that the process waits in its start.
set -euo pipefail
bin=$1
work=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true; rm -rf "$work"' EXIT
fail() { echo "FAIL: $*"; cat "$work/log.txt"; exit 1; }

ip=127.0.95.1
cat >"$work/usual.ini" <<EOF
[serve]
name = starting
data_center = here
callers = $ip:8001
readiness = $ip:8002
peers = $ip:8003
heartbeats = $ip:8004
seeds = $ip:8004
store = $ip:8010
orders = $ip:8010
grace_s = 1
EOF
mkfifo "$work/settings.ini"
"$bin" serve --settings "$work/settings.ini" >"$work/log.txt" 2>&1 &
pid=$!
# Opens once the process reads the pipe.
exec 3>"$work/settings.ini"
kill -HUP "$pid"
sleep 0.2
mv "$work/usual.ini" "$work/next.ini"
cp "$work/next.ini" "$work/copy.ini"
mv "$work/copy.ini" "$work/settings.ini"
cat "$work/next.ini" >&3 || fail "the process ended"
exec 3>&-
for ((i = 0; i < 50; ++i)); do
  grep -q settings.reloaded "$work/log.txt" && break
  kill -0 "$pid" 2>/dev/null || fail "the process ended"
  sleep 0.1
done
grep -q process.started "$work/log.txt" || fail "the process did not start"
grep -q settings.reloaded "$work/log.txt" || fail "the settings were not read again"
kill -TERM "$pid"
wait "$pid" || fail "the process ended with status $?"
pid=
echo "reload at the start: settings read again"
