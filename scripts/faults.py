#!/usr/bin/env python3
"""Kills processes of a small cluster under load and compares verdicts with the executions.

usage: scripts/faults.py [--seconds N] [--seed N] [--victims control,entry,agent,backend]

Starts a cluster with scripts/cluster.sh and sends stock orders, quotes and operators' writes while
processes are killed with SIGKILL and restarted. Then checks:

- no stock order was executed twice, an order with the verdict not-run was not executed, and an
  order with the verdict ran was executed once;
- no back end had more concurrent executions than slots;
- every acknowledged write is stored, and the watch stream delivers each change once and in order;
- every caller got the answer to its own request.

Exits with 1 and lists the failed checks if there are any.
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
    """Sends an HTTP request; returns None if no complete response came."""
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
    """Verdicts and revisions that callers and operators received, and failed checks."""

    def __init__(self):
        self.lock = threading.Lock()
        self.orders = {}
        self.writes = {}
        self.failures = []
        self.counts = collections.Counter()

    def count(self, what):
        with self.lock:
            self.counts[what] += 1


def send_order(entries, key, rng, records):
    """Sends an order once, to a random entry, and returns its verdict."""
    body = f"order {key}".encode()
    headers = {"Idempotency-Key": key, "Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS)}
    result = request(rng.choice(entries), "POST", "/v1/balcao/stock-order", body, headers)
    if result is None:
        return "unknown"
    status, head, answer = result
    if status == 200 and answer != b"done " + body:
        records.failures.append(f"order {key} got {answer!r}")
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
            records.failures.append(f"quote {body!r} got {answer!r}")
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
                records.failures.append(f"write {name} lost against itself")
                break
            records.count("write without answer")
            time.sleep(0.1)


def faults(cluster, stop, seed, victims, records):
    """Kills one random process at a time and restarts it 0.1 to 3 s later."""
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
    """Resends every order without a definite verdict; returns those still without one."""
    entries, rng = cluster.all("ENTRY"), random.Random(0)
    deadline = time.monotonic() + SETTLE_SECONDS
    # An order may keep the verdict may-have-run if its agent was killed, so the last one counts.
    unresolved = {k for k, v in records.orders.items() if v[-1] not in ("ran", "not-run")}
    while unresolved and time.monotonic() < deadline:
        for key in sorted(unresolved):
            verdict = send_order(entries, key, rng, records)
            records.orders[key].append(verdict)
            if verdict in ("ran", "not-run"):
                unresolved.discard(key)
        time.sleep(1)
        if all(is_exhausted(records, k) for k in unresolved):
            break
    return unresolved


def is_exhausted(records, key):
    """Whether the order was sent often enough to give up on a definite verdict."""
    return len(records.orders[key]) >= 8


def check_executions(cluster, records, failures):
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
            failures.append(f"order {key} was executed {starts[key]} times, verdicts {verdicts}")
        if verdicts[-1] == "ran" and ends[key] != 1:
            failures.append(f"order {key} is reported as ran, ended {ends[key]} times")
        if "ran" in verdicts and verdicts[-1] != "ran":
            failures.append(f"order {key} changed its verdict: {verdicts}")
        if verdicts[-1] == "not-run" and starts[key]:
            failures.append(f"order {key} is reported as not run, but was executed: {verdicts}")
    records.counts["orders executed"] = sum(1 for key in records.orders if starts[key])


def check_slots(cluster, failures):
    """Checks the concurrent executions of each back end; only exact if no back end was killed."""
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
            failures.append(f"{path.name}: {most} executions at once in {SLOTS} slots")


def check_writes(cluster, records, failures):
    control = cluster.all("CONTROL")[0]
    result = request(control, "GET", "/v1/resources/quotas", timeout=30)
    listed = {i["name"]: i["revision"] for i in json.loads(result[2])["items"]} if result else {}
    for name, revision in records.writes.items():
        if listed.get(name) != revision:
            failures.append(f"write {name} acknowledged at {revision}, found {listed.get(name)}")
    for control in cluster.all("CONTROL"):
        seen, since = read_watch(control, max([*listed.values(), 0]), failures)
        wanted = {revision for revision in listed.values() if revision > since}
        if seen != sorted(set(seen)) or not wanted <= set(seen):
            failures.append(f"watch at {control} delivered {len(seen)} changes with a gap or a repeat")


def read_watch(control, newest, failures):
    """Returns the revisions that a watch stream delivers, and the one after which it starts.

    The newest 50,000 changes are kept; a stream from before them is rejected with status 410 and
    the oldest revision that it can start from.
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
        failures.append(f"watch at {control} gave {response.status}: {response.read()!r}")
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
    failures = records.failures
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
        unresolved = settle(cluster, records)
        records.counts["orders of unknown outcome"] = len(unresolved)
        check_executions(cluster, records, failures)
        if "backend" not in victims and "agent" not in victims:
            check_slots(cluster, failures)
        check_writes(cluster, records, failures)
    finally:
        cluster.run("stop", str(folder))
        if args.keep or failures:
            print(f"files are kept in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"seed {args.seed}, {args.seconds} s, {len(records.orders)} orders, {len(records.writes)} writes")
    for what, count in sorted(records.counts.items()):
        print(f"  {what}: {count}")
    for fault in failures[:50]:
        print(f"FAULT {fault}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
