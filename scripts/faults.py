#!/usr/bin/env python3
"""Kills processes of a small cluster under load and compares verdicts with what ran.

usage: scripts/faults.py [--seconds N] [--seed N] [--victims control,entry,agent,backend]

Starts a cluster with scripts/cluster.sh, sends stock orders, quotes and operators' writes while
processes are killed with SIGKILL and started again, then checks:

- no stock order was executed twice, one that was refused as not-run was not executed, and one that
  was reported as ran was executed once;
- no back end had more executions at once than its slots;
- every acknowledged write is there, and the watch stream delivers each change once and in order;
- every caller got the answer to its own request.

Exits with 1 and lists the faults when a check fails.
"""

import argparse
import collections
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

SLOTS = 8
ORDER_THREADS = 8
QUOTE_THREADS = 8
WRITE_THREADS = 2
SETTLE_SECONDS = 100
REQUEST_TIMEOUT_MS = 3000
ROOT = pathlib.Path(__file__).resolve().parent.parent


def request(addr, method, path, body=b"", headers=None, timeout=8):
    """One HTTP exchange; None when no whole response came."""
    host, port = addr.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict((k.lower(), v) for k, v in response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Cluster:
    def __init__(self, folder):
        self.folder = folder
        self.run("start", str(folder))

    def run(self, *args):
        subprocess.run([str(ROOT / "scripts/cluster.sh"), *args], check=True)

    def env(self):
        lines = (self.folder / "cluster.env").read_text().split()
        return dict(line.split("=", 1) for line in lines)

    def all(self, kind):
        return [value for key, value in sorted(self.env().items()) if key.startswith(kind + "_")]

    def kill(self, name):
        pid = int((self.folder / f"{name}.pid").read_text())
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            pass

    def restart(self, name):
        self.run("restart", str(self.folder), name)


class Records:
    """What callers and operators were told."""

    def __init__(self):
        self.lock = threading.Lock()
        self.orders = {}
        self.writes = {}
        self.wrong = []
        self.counts = collections.Counter()

    def count(self, what):
        with self.lock:
            self.counts[what] += 1


def send_order(entries, key, rng, records):
    """Sends an order, again through another entry when no answer came; gives the verdict."""
    body = f"order {key}".encode()
    headers = {"Idempotency-Key": key, "Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS)}
    result = request(rng.choice(entries), "POST", "/v1/balcao/stock-order", body, headers)
    if result is None:
        return "unknown"
    status, head, answer = result
    if status == 200 and answer != b"done " + body:
        records.wrong.append(f"order {key} got {answer!r}")
    return head.get("toucangrade-verdict", f"no verdict, status {status}")


def orders(thread, cluster, stop, seed, records):
    rng = random.Random(f"{seed} order {thread}")
    entries, number = cluster.all("ENTRY"), 0
    while not stop.is_set():
        key = f"order-{thread}-{number}"
        number += 1
        verdicts = []
        for _ in range(3):
            verdict = send_order(entries, key, rng, records)
            verdicts.append(verdict)
            records.count(f"order {verdict}")
            if verdict in ("ran", "not-run"):
                break
        with records.lock:
            records.orders[key] = verdicts


def quotes(thread, cluster, stop, seed, records):
    rng = random.Random(f"{seed} quote {thread}")
    entries, number = cluster.all("ENTRY"), 0
    while not stop.is_set():
        body = f"quote {thread} {number}".encode()
        number += 1
        headers = {"Request-Timeout-Ms": "1000"}
        result = request(rng.choice(entries), "POST", "/v1/balcao/quote", body, headers)
        if result is None:
            records.count("quote no answer")
            time.sleep(0.05)
            continue
        status, head, answer = result
        records.count(f"quote {head.get('toucangrade-verdict')}")
        if status == 200 and answer != b"done " + body:
            records.wrong.append(f"quote {body!r} got {answer!r}")
        if status != 200:
            time.sleep(0.05)


def writes(thread, cluster, stop, seed, records):
    rng = random.Random(f"{seed} write {thread}")
    controls, number = cluster.all("CONTROL"), 0
    while not stop.is_set():
        name = f"team-{thread}-{number}"
        number += 1
        body = json.dumps({"weight": 1 + number % 100}).encode()
        headers = {"Idempotency-Key": f"write-{thread}-{number}", "If-None-Match": "*"}
        for _ in range(5):
            result = request(rng.choice(controls), "PUT", f"/v1/resources/quotas/{name}", body, headers)
            if result and result[0] == 201:
                with records.lock:
                    records.writes[name] = json.loads(result[2])["revision"]
                records.count("write acknowledged")
                break
            if result and result[0] == 412:
                records.wrong.append(f"write {name} lost against itself")
                break
            records.count("write without answer")
            time.sleep(0.1)


def faults(cluster, stop, seed, victims, records):
    """Kills one process at a time and starts it again after a while."""
    rng = random.Random(f"{seed} faults")
    counts = {"control": 3, "entry": 2, "agent": 3, "backend": 3}
    names = [f"{kind}_{n + 1}" for kind in victims for n in range(counts[kind])]
    while not stop.wait(rng.uniform(0.5, 2.0)):
        name = rng.choice(names)
        cluster.kill(name)
        records.count(f"kill {name.split('_')[0]}")
        stop.wait(rng.uniform(0.1, 3.0))
        cluster.restart(name)


def settle(cluster, records):
    """Asks again about every order whose outcome is open."""
    entries, rng = cluster.all("ENTRY"), random.Random(0)
    deadline = time.monotonic() + SETTLE_SECONDS
    # A request that may have run can stay so when its agent was killed, so its last verdict counts.
    open_keys = {k for k, v in records.orders.items() if v[-1] not in ("ran", "not-run")}
    while open_keys and time.monotonic() < deadline:
        for key in sorted(open_keys):
            verdict = send_order(entries, key, rng, records)
            records.orders[key].append(verdict)
            if verdict in ("ran", "not-run"):
                open_keys.discard(key)
        time.sleep(1)
        if all(final(records, k) for k in open_keys):
            break
    return open_keys


def final(records, key):
    """Whether the same final answer came several times."""
    return len(records.orders[key]) >= 8


def journal_checks(cluster, records, wrong):
    starts, ends = collections.Counter(), collections.Counter()
    for path in sorted(cluster.folder.glob("backend_*.journal")):
        running = set()
        for line in path.read_text().split("\n"):
            word, _, key = line.partition(" ")
            if word == "start":
                starts[key] += 1
                running.add(key)
            elif word in ("end", "stop"):
                ends[key] += word == "end"
                running.discard(key)
    for key, verdicts in records.orders.items():
        if starts[key] > 1:
            wrong.append(f"order {key} was executed {starts[key]} times, verdicts {verdicts}")
        if verdicts[-1] == "ran" and ends[key] != 1:
            wrong.append(f"order {key} is reported as ran, ended {ends[key]} times")
        if "ran" in verdicts and verdicts[-1] != "ran":
            wrong.append(f"order {key} changed its verdict: {verdicts}")
        if verdicts[-1] == "not-run" and starts[key]:
            wrong.append(f"order {key} is reported as not run, but was executed: {verdicts}")
    records.counts["orders executed"] = sum(1 for key in records.orders if starts[key])


def room_checks(cluster, wrong):
    """Executions at once per back end, as far as no kill of the back end blurs the count."""
    for path in sorted(cluster.folder.glob("backend_*.journal")):
        running, most = set(), 0
        for line in path.read_text().split("\n"):
            word, _, key = line.partition(" ")
            if word == "start":
                running.add(key)
                most = max(most, len(running))
            else:
                running.discard(key)
        if most > SLOTS:
            wrong.append(f"{path.name}: {most} executions at once in {SLOTS} slots")


def write_checks(cluster, records, wrong):
    control = cluster.all("CONTROL")[0]
    result = request(control, "GET", "/v1/resources/quotas", timeout=30)
    listed = {i["name"]: i["revision"] for i in json.loads(result[2])["items"]} if result else {}
    for name, revision in records.writes.items():
        if listed.get(name) != revision:
            wrong.append(f"write {name} acknowledged at {revision}, found {listed.get(name)}")
    for control in cluster.all("CONTROL"):
        seen, since = watched(control, max([*listed.values(), 0]), wrong)
        wanted = {revision for revision in listed.values() if revision > since}
        if seen != sorted(set(seen)) or not wanted <= set(seen):
            wrong.append(f"watch at {control} delivered {len(seen)} changes with a gap or a repeat")


def watched(control, newest, wrong):
    """Revisions that a watch stream delivers, and the one after which it starts.

    The newest 50,000 changes are kept; a stream from before them is refused with the oldest
    revision that it can start from.
    """
    host, port = control.split(":")
    since = 0
    for _ in range(2):
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("GET", f"/v1/watch?since={since}")
        response = connection.getresponse()
        if response.status != 410:
            break
        since = json.loads(response.read())["oldest"]
    if response.status != 200:
        wrong.append(f"watch at {control} gave {response.status}: {response.read()!r}")
        return [], since
    seen = []
    while not seen or seen[-1] < newest:
        line = response.readline()
        if not line:
            break
        seen.append(json.loads(line)["revision"])
    connection.close()
    return seen, since


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--victims", default="control,entry,agent")
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp())
    os.environ.setdefault("BACKEND_ARGS", "--delay-ms 15")
    victims = args.victims.split(",")
    records, stop = Records(), threading.Event()
    cluster = Cluster(folder)
    wrong = records.wrong
    try:
        threads = []
        for work, count in ((orders, ORDER_THREADS), (quotes, QUOTE_THREADS), (writes, WRITE_THREADS)):
            for n in range(count):
                values = (n, cluster, stop, args.seed, records)
                threads.append(threading.Thread(target=work, args=values))
        killer = threading.Thread(target=faults, args=(cluster, stop, args.seed, victims, records))
        for thread in [*threads, killer]:
            thread.start()
        time.sleep(args.seconds)
        stop.set()
        for thread in [*threads, killer]:
            thread.join()
        time.sleep(3)
        still_open = settle(cluster, records)
        records.counts["orders of unknown outcome"] = len(still_open)
        journal_checks(cluster, records, wrong)
        if "backend" not in victims and "agent" not in victims:
            room_checks(cluster, wrong)
        write_checks(cluster, records, wrong)
    finally:
        cluster.run("stop", str(folder))
        if args.keep or wrong:
            print(f"files are kept in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"seed {args.seed}, {args.seconds} s, {len(records.orders)} orders, {len(records.writes)} writes")
    for what, count in sorted(records.counts.items()):
        print(f"  {what}: {count}")
    for fault in wrong[:50]:
        print(f"FAULT {fault}")
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
