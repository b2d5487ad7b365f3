# Shared setup of the system tests, sourced with: source common.sh BIN TOP IP LAG_MS
# Starts the deployment of examples/vatuwaqa and stops it when the test exits.
bin=$1 top=$2
source "$top/scripts/cluster.sh"
work=$(mktemp -d)
trap 'status=$?; cluster_stop || status=1; rm -rf "$work"; exit "$status"' EXIT
cluster_start "$bin" "$top/examples/vatuwaqa" "$work" "$3" "$4"
both_proxies=(--proxy "$CLUSTER_PROXY_A" --proxy "$CLUSTER_PROXY_B")

fail() { echo "FAIL: $*"; exit 1; }

# Starts the verified workload in the background: verify_start DATABASE DURATION_MS [SEED]
verify_start() {
  "$bin" bench verify "${both_proxies[@]}" --database "$1" --duration-ms "$2" --seed "${3:-1}" >"$work/verify.txt" 2>&1 &
  verify_pid=$!
}

# Waits for the workload; fails when it found a consistency violation.
verify_finish() {
  wait "$verify_pid" || { cat "$work/verify.txt"; fail "a consistency guarantee was violated"; }
  cat "$work/verify.txt"
}

# Prints a number of its report: verify_figure 'longest time without an acknowledged write'
verify_figure() { sed -n "s/.*$1 \([0-9]*\).*/\1/p" "$work/verify.txt" | head -1; }

# Prints the zones whose instance of a database reports the primary role: primaries_of DATABASE
primaries_of() {
  local zone
  for zone in walu laucala nabua; do
    [ "$(cluster_field "${CLUSTER_BACKEND[$1/$zone]}" role)" = primary ] && echo "$zone"
  done
  return 0
}

# Polls until the command succeeds; fails after SECONDS: eventually SECONDS COMMAND...
eventually() {
  local until=$((SECONDS + $1)); shift
  until "$@"; do
    [ "$SECONDS" -lt "$until" ] || return 1
    sleep 0.1
  done
}
