# Runs one case: starts the stand-ins and the proxies, waits for the result and ends all of them. Sourced by run.sh with
# the name of the stand-in program, the file for the record, and the number of proxies (7 as on the small deployments).
# Results: 0 the rule held, 1 it was broken, 2 the case could not run.
run_case() {
    local program=$1 record=$2 proxies=${3:-7}
    local prefix code=2
    scratch=$(mktemp -d)
    prefix=127.$((64 + RANDOM % 128)).$((1 + RANDOM % 250))
    pids=()
    if [[ ! -x target/cornellever || ! -x target/review-2/$program ]]; then
        echo "could not run: not built by the build of deploy/system.toml and review/build-2.sh" | tee "$record" >&2
        return 2
    fi
    end_all() {
        local pid
        for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
        wait 2>/dev/null || true
        rm -rf "$scratch"
    }
    trap end_all EXIT
    "target/review-2/$program" "$prefix" "$record" "${TROUBLE:-1}" "$proxies" >"$scratch/up" 2>&1 &
    local driver=$!
    pids+=("$driver")
    for _ in $(seq 100); do
        grep -q '^up$' "$scratch/up" && break
        kill -0 "$driver" 2>/dev/null || break
        sleep 0.05
    done
    local zones=(walu laucala nabua) i ip seeds
    seeds=$prefix.10:8782,$prefix.11:8782,$prefix.12:8782
    for ((i = 0; i < proxies; i++)); do
        ip=$prefix.$((10 + i))
        # deploy/proxy.ini.template, filled in.
        cat >"$scratch/proxy-$i.ini" <<INI
[serve]
name = front-${zones[i % 3]}-$((i / 3 + 1))
data_center = ${zones[i % 3]}
callers = $ip:8784
readiness = $ip:8785
peers = $ip:8782
heartbeats = $ip:7440
seeds = $seeds
first_start = true
store = $prefix.1:8783
orders = $prefix.2:8783
grace_s = 6
limits = $ip:7455
metrics = $ip:9464
INI
        CORNELLEVER_BOOT=$scratch/proxy-$i.ini target/cornellever serve >"$scratch/proxy-$i.log" 2>&1 &
        pids+=("$!")
    done
    wait "$driver" && code=0 || code=$?
    tail -n 1 "$scratch/up"
    if [[ -n ${KEEP_LOGS:-} ]]; then
        mkdir -p "$KEEP_LOGS" && cp "$scratch"/*.log "$KEEP_LOGS"/
    fi
    if ((code > 2)); then code=2; fi
    return "$code"
}
