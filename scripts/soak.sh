#!/usr/bin/env bash
# Plays the fault soak: real proxies as processes, emulated servers and store,
# faults from outside. Each seed is another order of faults, 45 s long.
#   bash scripts/soak.sh FIRST [LAST]     these seeds
#   bash scripts/soak.sh kept             those that once broke a promise
#   bash scripts/soak.sh fresh COUNT      as many that were never played
# Six at a time (SOAK_JOBS); SOAK_ARGS go to the program. Logs of a seed that
# broke a promise stay in the folder that is printed (WORK).
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
case ${1:-} in
kept) seeds=$(grep -oE '^[0-9]+' "$top/tests/soak/seeds.txt") ;;
fresh) seeds=$(for ((i = 0; i < ${2:-6}; ++i)); do echo $((RANDOM % 24000 + 1000)); done) ;;
*) seeds=$(seq "${1:-1}" "${2:-${1:-1}}") ;;
esac
work=${WORK:-$(mktemp -d)}
mkdir -p "$work"
# A build meanwhile must not replace what restarts run.
cp "$top/build/cornellever" "$top/build/cornellever_soak" "$work"
play() {
  local work=$1 seed=$2 folder=$1/$2
  mkdir -p "$folder"
  # shellcheck disable=SC2086
  if "$work/cornellever_soak" --binary "$work/cornellever" --folder "$folder" --seed "$seed" ${SOAK_ARGS:-} >"$folder/played.txt" 2>&1; then
    tail -1 "$folder/played.txt"
    rm -f "$folder"/*.log
  else
    grep '^broken' "$folder/played.txt" | head -5 || tail -3 "$folder/played.txt"
    echo "seed $seed broke a promise"
  fi
}
export -f play
xargs -P "${SOAK_JOBS:-6}" -I{} bash -c 'play "$@"' _ "$work" {} <<<"$seeds" | tee "$work/summary.txt"
echo "folder $work"
! grep -q 'broke a promise' "$work/summary.txt"
