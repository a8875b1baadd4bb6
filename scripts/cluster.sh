#!/usr/bin/env bash
# Starts, restarts and stops a small cluster on this machine.
#
#   scripts/cluster.sh start DIR          build, start everything and write DIR/cluster.env
#   scripts/cluster.sh restart DIR NAME   restart one process with the same data and ports
#   scripts/cluster.sh stop DIR           drain and end exactly the processes that it started
#
# NAME is control_1, entry_1, agent_1, backend_1, worker_1 and so on.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin="$root/target/release"

# Number of members of the control group, which decides by quorum.
controls=3
entries=2
# AGENTS sets the number of agents, each with a back end and a worker, to measure the cost of one.
agents=${AGENTS:-3}

# Picks free ports once, so that a restarted process gets the same ones.
free_ports() {
    python3 - "$1" <<'PY'
import socket, sys
sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in sockets:
    s.bind(("127.0.0.1", 0))
print(*[s.getsockname()[1] for s in sockets])
PY
}

# Runs the command of one process in the background and writes its process id to NAME.pid.
launch() {
    local dir=$1 name=$2
    nohup bash -c 'exec "$@"' _ $(cat "$dir/$name.cmd") >>"$dir/$name.log" 2>&1 &
    echo $! >"$dir/$name.pid"
}

# Writes the command line of one process to NAME.cmd. It is split at spaces without quoting.
write_command() {
    local dir=$1 name=$2
    shift 2
    echo "$@" >"$dir/$name.cmd"
}

write_env() {
    local dir=$1
    {
        cat "$dir/addrs"
        for pid in "$dir"/*.pid; do
            name=$(basename "$pid" .pid)
            echo "PID_${name^^}=$(cat "$pid")"
        done
    } >"$dir/cluster.env.draft"
    mv "$dir/cluster.env.draft" "$dir/cluster.env"
}

# Waits until every entry gets an answer from every service.
await_ready() {
    local dir=$1 limit=$((SECONDS + 60)) n port
    for n in $(seq $entries); do
        port=$(sed -n "s/^ENTRY_$n=//p" "$dir/addrs")
        for path in balcao/quote pew-atelier/match; do
            until [ "$(curl -s -o "$dir/ready.out" -w '%{http_code}' -X POST -d ready "http://$port/v1/$path")" = 200 ]; do
                if [ $SECONDS -ge $limit ]; then
                    echo "cluster.sh: not ready after 60 s, see the logs in $dir" >&2
                    return 1
                fi
                sleep 0.1
            done
        done
    done
}

start() {
    local dir=$1 n members=() ports p=0
    mkdir -p "$dir"
    dir=$(cd "$dir" && pwd)
    (cd "$root" && cargo build --release --locked --quiet)
    read -r -a ports <<<"$(free_ports $((controls * 2 + entries * 2 + agents * 4)))"
    next() { addr="127.0.0.1:${ports[$p]}"; p=$((p + 1)); }
    : >"$dir/addrs"
    local centres=(recife-centro boa-viagem olinda) peers=() operators=()
    for n in $(seq $controls); do
        next && peers[n]=$addr
        next && operators[n]=$addr
        members+=("c$n=${peers[n]}")
        echo "CONTROL_$n=${operators[n]}" >>"$dir/addrs"
    done
    local list
    list=$(IFS=,; echo "${members[*]}")
    for n in $(seq $controls); do
        write_command "$dir" "control_$n" "$bin/toucangraded" --role control --name "c$n" \
            --centre "${centres[n - 1]}" --control "$list" --peer-addr "${peers[n]}" \
            --operator-addr "${operators[n]}" --data "$dir/control_$n"
        launch "$dir" "control_$n"
    done
    for n in $(seq $entries); do
        next && local peer=$addr
        next
        echo "ENTRY_$n=$addr" >>"$dir/addrs"
        write_command "$dir" "entry_$n" "$bin/toucangraded" --role entry --name "e$n" \
            --centre "${centres[n - 1]}" --control "$list" --peer-addr "$peer" \
            --caller-addr "$addr" --caller-dump
        launch "$dir" "entry_$n"
    done
    for n in $(seq $agents); do
        next && local peer=$addr
        next && local announce=$addr
        next && local worker=$addr
        next
        echo "AGENT_$n=$announce" >>"$dir/addrs"
        echo "BACKEND_$n=$addr" >>"$dir/addrs"
        write_command "$dir" "agent_$n" "$bin/toucangraded" --role agent --name "a$n" \
            --centre "${centres[(n - 1) % ${#centres[@]}]}" --control "$list" --peer-addr "$peer" \
            --announce-addr "$announce" --worker "$worker"
        launch "$dir" "agent_$n"
        echo "WORKER_$n=$worker" >>"$dir/addrs"
        write_command "$dir" "worker_$n" "$bin/toucangrade_worker" --addr "$worker" \
            --journal "$dir/worker_$n.journal" ${WORKER_ARGS:-}
        launch "$dir" "worker_$n"
        # The last back end serves the second service.
        local service=balcao kinds=quote,route-plan,stock-order checkpoints=route-plan
        if [ "$n" = "$agents" ]; then
            service=pew-atelier kinds=match,reconstruction,survey checkpoints=reconstruction
        fi
        write_command "$dir" "backend_$n" "$bin/toucangrade_standin" --agent "$announce" \
            --addr "$addr" --service "$service" --kinds "$kinds" \
            --checkpoints "$checkpoints" --journal "$dir/backend_$n.journal" ${BACKEND_ARGS:-}
        launch "$dir" "backend_$n"
    done
    declare_services "$dir" "${operators[1]}"
    await_ready "$dir"
    write_env "$dir"
}

declare_services() {
    local dir=$1 operator=$2 limit=$((SECONDS + 30)) resource
    cat >"$dir/balcao.json" <<'JSON'
{"shop": "albuquerque-neto", "kinds": {
  "quote": {"class": "quick", "timeout_ms": 2000},
  "route-plan": {"class": "batch", "timeout_ms": 60000},
  "stock-order": {"class": "once", "timeout_ms": 5000}}}
JSON
    cat >"$dir/pew-atelier.json" <<'JSON'
{"shop": "klopca", "kinds": {
  "match": {"class": "quick", "timeout_ms": 2000},
  "reconstruction": {"class": "batch", "timeout_ms": 60000},
  "survey": {"class": "once", "timeout_ms": 5000}}}
JSON
    echo '{"objective": "latency"}' >"$dir/albuquerque-neto.json"
    echo '{"objective": "throughput"}' >"$dir/klopca.json"
    for resource in quotas/albuquerque-neto quotas/klopca services/balcao services/pew-atelier; do
        until "$bin/toucangrade" --control "$operator" apply "${resource%/*}" "${resource#*/}" \
            --file "$dir/${resource#*/}.json" >/dev/null 2>"$dir/declare.log"; do
            if [ $SECONDS -ge $limit ]; then
                cat "$dir/declare.log" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

restart() {
    local dir=$1 name=$2 pid
    dir=$(cd "$dir" && pwd)
    pid=$(cat "$dir/$name.pid")
    if kill -0 "$pid" 2>/dev/null; then
        drain_process "$pid"
    fi
    launch "$dir" "$name"
    write_env "$dir"
}

# Sends SIGTERM, which starts a drain, and waits until the process has ended.
drain_process() {
    kill "$1" 2>/dev/null || return 0
    await_end "$1"
}

# Waits until a draining process has ended; kills it after 35 s.
await_end() {
    local pid=$1 limit=$((SECONDS + 35))
    while kill -0 "$pid" 2>/dev/null; do
        if [ $SECONDS -ge $limit ]; then
            kill -9 "$pid" 2>/dev/null || true
        fi
        sleep 0.05
    done
}

stop() {
    local dir=$1 kind pid
    for kind in backend entry agent worker control; do
        # A second signal would end the drain early, so each process gets only one.
        for pid in "$dir/$kind"_*.pid; do
            [ -e "$pid" ] || continue
            kill "$(cat "$pid")" 2>/dev/null || true
        done
        for pid in "$dir/$kind"_*.pid; do
            [ -e "$pid" ] || continue
            await_end "$(cat "$pid")"
            rm -f "$pid"
        done
    done
}

case "${1:-}" in
    start) start "$2" ;;
    restart) restart "$2" "$3" ;;
    stop) stop "$2" ;;
    *)
        echo "usage: cluster.sh start DIR | restart DIR NAME | stop DIR" >&2
        exit 64
        ;;
esac
