#!/usr/bin/env bash
# Runs the fault soak: proxies as real processes, emulated servers and metadata
# store, injected faults. Each seed gives another fault sequence; a run takes 45 s.
#   bash scripts/soak.sh FIRST [LAST]     the seeds from FIRST to LAST
#   bash scripts/soak.sh kept             the regression seeds in tests/soak/seeds.txt
#   bash scripts/soak.sh fresh COUNT      COUNT random seeds
#   bash scripts/soak.sh replay [FILE]    the fault file FILE, or all of tests/soak/faults
# SOAK_JOBS is the number of parallel runs (default 6); SOAK_ARGS is passed to
# the program; BINARY is the proxy under test. The logs of a failed seed stay in
# the work folder, which is printed at the end and can be set with WORK.
# Each run writes the faults that it injects to faults.txt in its folder, which
# can be replayed. PLAYS is the number of runs of each file (default 1); they
# differ in their addresses and in what the callers do.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
case ${1:-} in
kept) seeds=$(grep -oE '^[0-9]+' "$top/tests/soak/seeds.txt") ;;
fresh) seeds=$(for ((i = 0; i < ${2:-6}; ++i)); do echo $((RANDOM % 24000 + 1000)); done) ;;
replay)
  files=("${@:2}")
  [ "${#files[@]}" -gt 0 ] || files=("$top"/tests/soak/faults/*.txt)
  first_seed=${FIRST_SEED:-201}
  seeds=$(for file in "${files[@]}"; do
    for ((i = 0; i < ${PLAYS:-1}; ++i)); do echo "$((first_seed++)) $file"; done
  done)
  ;;
*) seeds=$(seq "${1:-1}" "${2:-${1:-1}}") ;;
esac
work=${WORK:-$(mktemp -d)}
mkdir -p "$work"
# Copies, so that a build during the run does not change what restarted proxies run.
cp "${BINARY:-$top/build/cornellever}" "$work/cornellever"
cp "$top/build/cornellever_soak" "$work"
run_seed() {
  local work=$1 seed=$2 file=${3:-} folder=$1/$2
  local replay=${file:+--replay $file}
  mkdir -p "$folder"
  # shellcheck disable=SC2086
  if "$work/cornellever_soak" --binary "$work/cornellever" --folder "$folder" --seed "$seed" ${SOAK_ARGS:-} $replay >"$folder/played.txt" 2>&1; then
    tail -1 "$folder/played.txt"
    if [ -n "$file" ] && ! diff <(grep -v '^#' "$file" | cut -f2-) <(cut -f2- "$folder/faults.txt"); then
      echo "seed $seed violated a guarantee: it injected other faults than $file"
    fi
    rm -f "$folder"/*.log
  else
    grep '^violation' "$folder/played.txt" | head -5 || tail -3 "$folder/played.txt"
    echo "seed $seed violated a guarantee"
  fi
}
export -f run_seed
xargs -P "${SOAK_JOBS:-6}" -L 1 bash -c 'run_seed "$@"' _ "$work" <<<"$seeds" | tee "$work/summary.txt"
echo "folder $work"
! grep -q 'violated a guarantee' "$work/summary.txt"
