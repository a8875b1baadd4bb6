#!/usr/bin/env bash
# Demo on a local cluster: a quick request, a request that runs once and a batch job that is
# resumed after its worker was lost, each with its explanation.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
trap 'scripts/cluster.sh stop "$dir"; rm -rf "$dir"' EXIT
scripts/cluster.sh start "$dir"
. "$dir/cluster.env"
tool=(target/release/toucangrade --control "$CONTROL_1")

echo "# A quote is answered whole."
curl -s -S -D "$dir/head" -o "$dir/body" -X POST -d 'cord 2.4 m, cedar' "http://$ENTRY_1/v1/balcao/quote"
cat "$dir/body"
echo
[ "$(cat "$dir/body")" = "done cord 2.4 m, cedar" ]
key=$(tr -d '\r' <"$dir/head" | sed -n 's/^idempotency-key: //Ip')
grep -qi '^toucangrade-verdict: ran' "$dir/head"

echo "# Why it ran where it did."
"${tool[@]}" explain "$key"

echo "# A stock order runs once, however often and wherever it is sent."
for entry in "$ENTRY_1" "$ENTRY_2" "$ENTRY_1"; do
    curl -s -S -X POST -H 'Idempotency-Key: order-7' -d 'cord 30 m' "http://$entry/v1/balcao/stock-order"
    echo
done
starts=$(cat "$dir"/backend_*.journal | grep -c '^start order-7$')
echo "executions of order-7: $starts"
[ "$starts" = 1 ]
"${tool[@]}" explain order-7

echo "# A batch job runs on a worker, loses it, and is resumed once on another."
cat >"$dir/job.json" <<'JSON'
{"shop": "klopca", "team": "nave", "kind": "finish-layer", "millicores": 2000, "memory_mb": 4000, "runtime_s": 5}
JSON
"${tool[@]}" apply jobs oak-17 --file "$dir/job.json"

# Waits until the journal of a worker has a line that matches a pattern.
await_line() {
    local limit=$((SECONDS + 60))
    until grep -qs "$1" "$dir"/worker_*.journal; do
        if [ $SECONDS -ge $limit ]; then
            "${tool[@]}" --json explain oak-17
            exit 1
        fi
        sleep 0.1
    done
}
await_line '^start oak-17 1 '
sleep 2
victim=$(grep -ls '^start oak-17 1 ' "$dir"/worker_*.journal | sed 's/.*worker_\([0-9]*\).*/\1/')
kill -9 "$(cat "$dir/agent_$victim.pid")" "$(cat "$dir/worker_$victim.pid")"
await_line '^end oak-17 '
cat "$dir"/worker_*.journal
[ "$(cat "$dir"/worker_*.journal | grep -c '^start oak-17 ')" = 2 ]
[ "$(cat "$dir"/worker_*.journal | grep -c '^end oak-17 ')" = 1 ]
sleep 1
"${tool[@]}" explain oak-17

echo "# Which processes have the configuration in force."
"${tool[@]}" status
