#!/usr/bin/env bash
# Wipes the disk of a control instance, replaces the instance, kills a second one right after, and
# checks that every acknowledged write is still there and that new writes are accepted.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
trap 'scripts/cluster.sh stop "$dir"; rm -rf "$dir"' EXIT
scripts/cluster.sh start "$dir"
. "$dir/cluster.env"
tool=(target/release/toucangrade --control "$CONTROL_1,$CONTROL_2,$CONTROL_3")

# Runs a command until it succeeds, for 60 s at most.
retry() {
    local limit=$((SECONDS + 60))
    until "$@" >"$dir/await.log" 2>&1; do
        if [ $SECONDS -ge $limit ]; then
            cat "$dir/await.log" >&2
            return 1
        fi
        sleep 0.2
    done
}

echo '{"weight": 3}' >"$dir/quota.json"
retry "${tool[@]}" apply quotas before-loss --file "$dir/quota.json"
kill -9 "$PID_CONTROL_3"
rm -rf "$dir/control_3"
scripts/cluster.sh restart "$dir" control_3
retry "${tool[@]}" members remove c3
retry "${tool[@]}" members add "$(grep -o 'c3=[0-9.:]*' "$dir/control_3.cmd" | head -1)"
retry "${tool[@]}" apply quotas after-repair --file "$dir/quota.json"

kill -9 "$PID_CONTROL_1"
retry "${tool[@]}" get quotas before-loss
retry "${tool[@]}" get quotas after-repair
retry "${tool[@]}" apply quotas after-second-loss --file "$dir/quota.json"
echo "nothing acknowledged was lost, and writes go on"
