#!/usr/bin/env python3
"""Drains each process of a small cluster under load and checks that no request in flight is cut off.

usage: scripts/drain.py [--seconds N] [--seed N] [--rounds N] [--keep]

Starts a cluster with scripts/cluster.sh and sends quotes and orders continuously through both
entries. Sends SIGTERM to each entry, agent, back end and control instance in turn, waits until it
has ended and restarts it, for at least the given time and number of rounds. Checks:

- every accepted connection that sent a request got a complete response to its own request;
- a draining back end, and the back end of a draining agent, got no new work after LEAVE_SECONDS;
- every process ended with status 0 after SIGTERM;
- no order was executed twice, an order with the verdict not-run was not executed, and an order with
  the verdict ran was executed once.

Exits with 1 and lists the failed checks if there are any.
"""

import argparse
import collections
import ctypes
import http.client
import os
import pathlib
import random
import select
import shutil
import signal
import sys
import tempfile
import threading
import time

import faults

QUOTE_THREADS = 8
ORDER_THREADS = 8
# An announcement expires 3 s after the last one, and a view is at most 500 ms old.
LEAVE_SECONDS = 4.0
# Maximum time until a process has ended; its drain timeout is 30 s.
END_SECONDS = 40
# Time in which a restarted process regains its leases and its share of the load.
READY_SECONDS = 4.0
PR_SET_CHILD_SUBREAPER = 36
KINDS = {"quote": ("balcao/quote", "pew-atelier/match"), "order": ("balcao/stock-order", "pew-atelier/survey")}


class Processes:
    """Exit statuses of the processes of the cluster.

    The script that starts them exits, so this program becomes a subreaper to adopt them.
    """

    def __init__(self):
        ctypes.CDLL(None, use_errno=True).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)
        self.lock = threading.Lock()
        self.statuses = {}
        self.pids = set()
        self.over = threading.Event()

    def add_pids(self, folder):
        with self.lock:
            self.pids |= {int(path.read_text()) for path in folder.glob("*.pid")}

    def reap(self):
        while not self.over.wait(0.02):
            with self.lock:
                pids = sorted(self.pids)
            for pid in pids:
                try:
                    ended, status = os.waitpid(pid, os.WNOHANG)
                except ChildProcessError:
                    continue
                if ended:
                    with self.lock:
                        self.statuses[pid] = os.waitstatus_to_exitcode(status)
                        self.pids.discard(pid)

    def status(self, pid):
        with self.lock:
            return self.statuses.get(pid)


class Caller:
    """Sends requests to the entries; every other caller keeps its connections open."""

    def __init__(self, thread, kind, entries, seed, records):
        self.name, self.kind, self.entries = f"{kind}-{thread}", kind, entries
        self.keep = thread % 2 == 0
        self.rng = random.Random(f"{seed} {self.name}")
        self.records = records
        self.connections = {}

    def send(self, entry, path, body, headers):
        """Returns status, headers and body; None if the connection was refused or broken off."""
        kept = self.connections.pop(entry, None)
        if kept and select.select([kept.sock], [], [], 0)[0]:
            # The entry closed the idle connection, as HTTP allows; no request was in flight.
            self.records.count("kept connection closed while idle")
            kept.close()
            kept = None
        host, port = entry.split(":")
        connection = kept or http.client.HTTPConnection(host, int(port), timeout=15)
        try:
            if kept is None:
                connection.connect()
        except OSError:
            self.records.count("connection refused")
            return None
        try:
            connection.request("POST", path, body=body, headers=headers)
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            reused = "a kept" if kept else "a new"
            fault = f"{time.monotonic():.2f} {self.name} was cut off on {reused} connection: {error!r}"
            self.records.fault(fault)
            self.records.count(f"cut off on {reused} connection")
            return None
        head = dict((k.lower(), v) for k, v in response.getheaders())
        if self.keep and head.get("connection") != "close":
            self.connections[entry] = connection
        else:
            connection.close()
        return response.status, head, answer

    def send_until_ran(self, number):
        """Sends one request, to the entries in turn, until its verdict is ran, 4 times at most."""
        key = f"{self.name}-{number}"
        path = "/v1/" + self.rng.choice(KINDS[self.kind])
        body = f"body of {key}".encode()
        headers = {"Idempotency-Key": key, "Request-Timeout-Ms": "4000"}
        first, verdicts = self.rng.randrange(2), []
        for turn in range(4):
            result = self.send(self.entries[(first + turn) % 2], path, body, headers)
            if result is None:
                continue
            status, head, answer = result
            verdict = head.get("toucangrade-verdict", "none")
            verdicts.append(verdict)
            self.records.count(f"{self.kind} {status} {verdict}")
            if status == 200 and answer != b"done " + body:
                self.records.fault(f"{key} got {answer!r}")
            if verdict == "ran":
                break
            time.sleep(0.02)
        return key, verdicts

    def run(self, stop):
        number = 0
        while not stop.is_set():
            key, verdicts = self.send_until_ran(number)
            number += 1
            if self.kind == "order" and verdicts:
                with self.records.lock:
                    self.records.orders[key] = verdicts


class Records(faults.Records):
    """Verdicts that callers received, and failed checks."""

    def fault(self, text):
        with self.lock:
            self.failures.append(text)


class Journal:
    """Times at which executions started at a back end, from polling its journal."""

    def __init__(self, path):
        self.path, self.at, self.starts = path, path.stat().st_size, []

    def read(self):
        with self.path.open("rb") as file:
            file.seek(self.at)
            text = file.read()
        whole = text[: text.rfind(b"\n") + 1]
        self.at += len(whole)
        now = time.monotonic()
        self.starts += [now for line in whole.split(b"\n") if line.startswith(b"start ")]


def drain(cluster, processes, name, records):
    """Drains and restarts one process.

    Returns the seconds from SIGTERM to its end, and to the newest start at its back end.
    """
    kind, number = name.split("_")
    watched = kind in ("agent", "backend")
    journal = Journal(cluster.folder / f"backend_{number}.journal") if watched else None
    pid = int((cluster.folder / f"{name}.pid").read_text())
    began = time.monotonic()
    os.kill(pid, signal.SIGTERM)
    # The journal is read for longer than LEAVE_SECONDS, even if the process has ended before.
    while True:
        spent = time.monotonic() - began
        status = processes.status(pid)
        if journal:
            journal.read()
        if status is not None and (not journal or spent > LEAVE_SECONDS + 1):
            break
        if spent > END_SECONDS:
            records.fault(f"{name} did not end within {END_SECONDS} s")
            break
        time.sleep(0.02)
        if status is None:
            ended = time.monotonic() - began
    if status not in (0, None):
        records.fault(f"{name} ended with status {status} {ended:.1f} s after SIGTERM")
    last = max(journal.starts, default=began) - began if journal else 0.0
    if last > LEAVE_SECONDS:
        records.fault(f"{name} got new work {last:.1f} s after SIGTERM")
    cluster.restart(name)
    processes.add_pids(cluster.folder)
    time.sleep(READY_SECONDS)
    return ended, last


def drain_all(cluster, processes, args, records):
    """Drains every process in each round, in a random order that follows from the seed."""
    rng = random.Random(f"{args.seed} drains")
    counts = {"entry": 2, "agent": 3, "backend": 3, "control": 3}
    names = [f"{kind}_{n + 1}" for kind, count in counts.items() for n in range(count)]
    ended, last, rounds = collections.defaultdict(list), collections.defaultdict(list), 0
    until = time.monotonic() + args.seconds
    while rounds < args.rounds or time.monotonic() < until:
        rng.shuffle(names)
        for name in names:
            faulty = len(records.failures)
            took, work = drain(cluster, processes, name, records)
            kind = name.split("_")[0]
            ended[kind].append(took)
            last[kind].append(work)
            print(f"  {name}: ended in {took:.2f} s, {len(records.failures) - faulty} faults", flush=True)
        rounds += 1
    for kind in counts:
        print(f"{kind}: longest drain {max(ended[kind]):.2f} s, newest work {max(last[kind]):.2f} s after SIGTERM")
    return rounds


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp())
    os.environ.setdefault("BACKEND_ARGS", "--delay-ms 100")
    records, stop, processes = Records(), threading.Event(), Processes()
    reaper = threading.Thread(target=processes.reap, daemon=True)
    reaper.start()
    cluster, rounds = None, 0
    try:
        cluster = faults.Cluster(folder)
        processes.add_pids(folder)
        entries = cluster.all("ENTRY")
        threads = []
        for kind, count in (("quote", QUOTE_THREADS), ("order", ORDER_THREADS)):
            for n in range(count):
                caller = Caller(n, kind, entries, args.seed, records)
                threads.append(threading.Thread(target=caller.run, args=(stop,)))
        for thread in threads:
            thread.start()
        try:
            rounds = drain_all(cluster, processes, args, records)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        time.sleep(2)
        # An order whose verdict is may-have-run may keep it; only definite verdicts are compared.
        faults.check_executions(cluster, records, records.failures)
    finally:
        processes.add_pids(folder)
        faults.Cluster.run(None, "stop", str(folder))
        if args.keep or records.failures:
            print(f"files are kept in {folder}")
        else:
            shutil.rmtree(folder)
    print(f"seed {args.seed}, {rounds} rounds, {len(records.orders)} orders")
    for what, count in sorted(records.counts.items()):
        print(f"  {what}: {count}")
    print(f"{len(records.failures)} faults")
    for fault in records.failures[:50]:
        print(f"FAULT {fault}")
    sys.exit(1 if records.failures else 0)


if __name__ == "__main__":
    main()
