#!/usr/bin/env bash
# Guards against a partially applied configuration: an apply of a folder with
# three mistakes in two files must report each with file:line, apply nothing, and
# leave the platform's row at the version that was applied before.
set -euo pipefail
bin=$1 top=$2
work=$(mktemp -d)
"$bin" platform --listen 127.0.4.1:7000 >"$work/platform.log" 2>&1 &
platform=$!
trap 'kill $platform; wait $platform 2>/dev/null; rm -rf "$work"' EXIT
for _ in $(seq 50); do "$bin" ctl call 127.0.4.1:7000 dump >/dev/null 2>&1 && break; sleep 0.1; done
cp -r "$top/examples/vatuwaqa/config" "$work/config"
"$bin" ctl apply "$work/config" --platform 127.0.4.1:7000
set +e
"$bin" ctl apply "$top/tests/fixtures/bad-config" --platform 127.0.4.1:7000 >"$work/out.txt"
status=$?
set -e
cat "$work/out.txt"
[ "$status" -eq 1 ] || { echo "FAIL: exit status $status, expected 1"; exit 1; }
for place in 10-stockbook.ini:3 10-stockbook.ini:8 20-orders.ini:4; do
  grep -q "^$place: " "$work/out.txt" || { echo "FAIL: no finding at $place"; exit 1; }
done
version=$("$bin" ctl call 127.0.4.1:7000 table.get '{"key":"config/current"}' | sed -n 's/.*"version" : \([0-9]*\).*/\1/p')
[ "$version" = 1 ] || { echo "FAIL: the platform's config row is at version '$version', expected 1"; exit 1; }
echo "ok: three findings reported, nothing applied"
