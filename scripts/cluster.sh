# Functions that start and stop an example deployment on loopback, one process
# per platform, backend and proxy. Sourced by the demo, the system tests and the
# measuring scripts.
#
#   cluster_start BIN EXAMPLE WORK IP LAG_MS   platform, backends, 2 proxies; applies the config
#   cluster_stop                               sends SIGTERM to every process and waits for it;
#                                              fails when one has crashed
#
# IP is a loopback address (127.x.y.z); the example's 127.0.0.1 addresses are
# rewritten to it, so that runs on different IPs do not compete for ports.

CLUSTER_PIDS=()
declare -A CLUSTER_BACKEND     # address, keyed by "database/zone"
declare -A CLUSTER_BACKEND_PID # process id, keyed by "database/zone"

cluster_log() { printf '%s\n' "$*" >&2; }

cluster_spawn() {
  local log=$1; shift
  "$@" >"$log" 2>&1 &
  CLUSTER_PIDS+=("$!")
}

cluster_wait_for() {
  local what=$1 tries=$2; shift 2
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  cluster_log "timed out waiting for $what"
  return 1
}

cluster_ready() {
  local bin=$1 proxy=$2 expected=$3 dump
  dump=$("$bin" ctl dump "$proxy" 2>/dev/null) || return 1
  [ "$(grep -c '"healthy" : true' <<<"$dump")" -eq "$expected" ]
}

cluster_start() {
  local bin=$1 example=$2 work=$3 ip=$4 lag=$5
  mkdir -p "$work/config" "$work/logs" "$work/data"
  for file in "$example"/config/*.ini; do
    sed "s/127\.0\.0\.1:/$ip:/g" "$file" >"$work/config/$(basename "$file")"
  done
  CLUSTER_BIN=$bin
  CLUSTER_PLATFORM=$ip:7000
  CLUSTER_PROXY_A=$ip:7201
  CLUSTER_PROXY_B=$ip:7202
  cluster_spawn "$work/logs/platform.log" "$bin" platform --listen "$CLUSTER_PLATFORM" --vm-list-lag-ms 500

  local zones count=0 db zone address role schema
  zones=$(sed -n 's/^zones *= *//p' "$work/config/00-cluster.ini" | tr -d ' ' | tr ',' ' ')
  while read -r db zone address role schema; do
    case "$db" in ''|\#*) continue ;; esac
    address=${address/127.0.0.1/$ip}
    local replicas=()
    if [ "$role" = primary ]; then
      while read -r other_db _ other_address other_role _; do
        if [ "$other_db" = "$db" ] && [ "$other_role" = replica ]; then
          replicas+=(--replica "${other_address/127.0.0.1/$ip}")
        fi
      done <"$example/backends.txt"
    fi
    cluster_spawn "$work/logs/backend-$db-$zone.log" "$bin" backend --name "$db/$zone" --listen "$address" \
      --role "$role" --data "$work/data/$db-$zone" --sql "$example/$schema" --lag-ms "$lag" \
      --connect-delay-ms 12 "${replicas[@]}"
    CLUSTER_BACKEND[$db/$zone]=$address
    CLUSTER_BACKEND_PID[$db/$zone]=${CLUSTER_PIDS[-1]}
    count=$((count + 1))
  done <"$example/backends.txt"

  set -- $zones
  cluster_spawn "$work/logs/proxy-a.log" "$bin" proxy --name proxy-a --zone "$1" --listen "$CLUSTER_PROXY_A" \
    --platform "$CLUSTER_PLATFORM" --peers "$CLUSTER_PROXY_B"
  cluster_spawn "$work/logs/proxy-b.log" "$bin" proxy --name proxy-b --zone "$2" --listen "$CLUSTER_PROXY_B" \
    --platform "$CLUSTER_PLATFORM" --peers "$CLUSTER_PROXY_A"

  cluster_wait_for "the platform" 50 "$bin" ctl call "$CLUSTER_PLATFORM" dump || return 1
  for address in "$CLUSTER_PROXY_A" "$CLUSTER_PROXY_B"; do cluster_set_vm_state "$address" proxy live; done
  "$bin" ctl apply "$work/config" --platform "$CLUSTER_PLATFORM" >"$work/logs/apply.log" || return 1
  cluster_wait_for "proxy A to see $count healthy instances" 100 cluster_ready "$bin" "$CLUSTER_PROXY_A" "$count" || return 1
  cluster_wait_for "proxy B to see $count healthy instances" 100 cluster_ready "$bin" "$CLUSTER_PROXY_B" "$count" || return 1
}

# Sets the state of a VM in the platform's list: cluster_set_vm_state ADDRESS KIND STATE
cluster_set_vm_state() {
  "$CLUSTER_BIN" ctl call "$CLUSTER_PLATFORM" vms.set "{\"address\":\"$1\",\"kind\":\"$2\",\"state\":\"$3\"}" >/dev/null
}

# Sets the fault injection of a process: cluster_fault ADDRESS JSON
cluster_fault() { "$CLUSTER_BIN" ctl call "$1" fault.set "$2" >/dev/null; }

# Prints a field of a process's state dump, at its first match: cluster_field ADDRESS NAME
cluster_field() { "$CLUSTER_BIN" ctl dump "$1" 2>/dev/null | sed -n "s/.*\"$2\" : \"\{0,1\}\([a-z0-9_-]*\).*/\1/p" | head -1; }

# Stops every process; fails when one has crashed, which means that it exited
# neither by itself nor by the SIGTERM or SIGKILL that tests send.
cluster_stop() {
  local pid status crashed=0
  for pid in "${CLUSTER_PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${CLUSTER_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${CLUSTER_PIDS[@]}"; do
    status=0
    wait "$pid" 2>/dev/null || status=$?
    case "$status" in 0|127|137|143) ;; *) cluster_log "process $pid ended with status $status"; crashed=1 ;; esac
  done
  CLUSTER_PIDS=()
  return "$crashed"
}
