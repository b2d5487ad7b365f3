#!/usr/bin/env bash
# Runs the operation scenarios in deploy/days, or those named, on a deployment
# with the platform's scenario player, four in parallel, and lists which rules
# each of them violated:
#   PLAYER=PATH bash scripts/days.sh SITE [DAY...]
# Exits with 1 when a rule was violated.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
site=$1
shift
player=${PLAYER:?PLAYER must be the path of the scenario player}
out=${OUT:-$(mktemp -d)}
cd "$top"
days=("$@")
[ "${#days[@]}" -gt 0 ] || mapfile -t days < <(ls deploy/days/*.toml)
printf '%s\n' "${days[@]}" | xargs -P 4 -I{} bash -c \
  '"$1" run "$2" "$3" --why "own day $(basename "$3" .toml)" >"$4/$(basename "$3" .toml).log" 2>&1 || true' \
  _ "$player" "$site" {} "$out"
grep -hE '^[a-z0-9-]+ +[0-9]+/[0-9]+ ' "$out"/*.log | cut -c1-160
echo "logs in $out"
if grep -lE 'rules broken|fault:|is wrong' "$out"/*.log; then
  exit 1
fi
