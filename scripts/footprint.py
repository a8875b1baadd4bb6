#!/usr/bin/env python3
"""Measures the resource use of each process of a small cluster, idle and under load.

usage: scripts/footprint.py [--seconds N]

Prints processor time, memory and traffic on open TCP connections of each process, processor time
per quick request of each role, and the latency that entry and agent add to a direct call of the
back end.
"""

import argparse
import collections
import http.client
import os
import pathlib
import re
import shutil
import statistics
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ROLES = ("control", "entry", "agent")
LOAD_THREADS = 8
LATENCY_REQUESTS = 2000


def run(*args):
    subprocess.run([str(ROOT / "scripts/cluster.sh"), *args], check=True)


def env(folder):
    lines = (folder / "cluster.env").read_text().split()
    return dict(line.split("=", 1) for line in lines)


def pids(folder):
    found = {}
    for path in folder.glob("*.pid"):
        found[path.stem] = int(path.read_text())
    return found


def processor(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def traffic():
    """Bytes sent and received on open connections, by process id."""
    text = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True).stdout
    total, pid = collections.Counter(), None
    for line in text.split("\n"):
        found = re.search(r"pid=(\d+)", line)
        pid = int(found.group(1)) if found else pid
        for word in ("bytes_sent", "bytes_received"):
            found = re.search(word + r":(\d+)", line)
            if found and pid:
                total[pid] += int(found.group(1))
    return total


def measure(folder, seconds):
    """Returns processor time in % of a core, memory in MB and traffic in KB/s of each process."""
    procs = {name: pid for name, pid in pids(folder).items() if name.split("_")[0] in ROLES}
    before = {name: processor(pid) for name, pid in procs.items()}
    bytes_before, start = traffic(), time.monotonic()
    time.sleep(seconds)
    span = time.monotonic() - start
    bytes_after = traffic()
    found = {}
    for name, pid in sorted(procs.items()):
        used = (processor(pid) - before[name]) / span * 100
        kb_per_s = max(bytes_after[pid] - bytes_before[pid], 0) / span / 1000
        found[name] = (used, memory(pid), kb_per_s)
    return found


def sample(folder, seconds, label):
    seconds_used = collections.defaultdict(float)
    print(f"{label}, {seconds} s")
    for name, (used, megabytes, kb_per_s) in measure(folder, seconds).items():
        seconds_used[name.split("_")[0]] += used * seconds / 100
        print(f"  {name:<10} {used:6.2f}% of a core  {megabytes:6.1f} MB  {kb_per_s:7.2f} KB/s")
    return seconds_used


def post(connection, path, body):
    connection.request("POST", path, body=body)
    response = connection.getresponse()
    response.read()
    return response.status


def latency(addr, path):
    host, port = addr.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    times = []
    for _ in range(LATENCY_REQUESTS):
        begin = time.perf_counter()
        assert post(connection, path, b"cord 2 m") == 200
        times.append((time.perf_counter() - begin) * 1000)
    connection.close()
    times.sort()
    return statistics.median(times), times[int(len(times) * 0.99)]


def load(addr, stop, counts):
    host, port = addr.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    completed = 0
    while not stop.is_set():
        completed += post(connection, "/v1/balcao/quote", b"cord 2 m") == 200
    counts.append(completed)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=15)
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp())
    os.environ["BACKEND_ARGS"] = "--delay-ms 0"
    run("start", str(folder))
    try:
        addrs = env(folder)
        time.sleep(3)
        sample(folder, args.seconds, "idle")
        direct = latency(addrs["BACKEND_1"], "/quote")
        routed = latency(addrs["ENTRY_1"], "/v1/balcao/quote")
        print(f"latency direct: median {direct[0]:.3f} ms, p99 {direct[1]:.3f} ms")
        print(f"latency through entry and agent: median {routed[0]:.3f} ms, p99 {routed[1]:.3f} ms")
        print(f"added: median {routed[0] - direct[0]:.3f} ms, p99 {routed[1] - direct[1]:.3f} ms")
        stop, counts = threading.Event(), []
        entries = [addrs["ENTRY_1"], addrs["ENTRY_2"]]
        threads = [
            threading.Thread(target=load, args=(entries[n % 2], stop, counts))
            for n in range(LOAD_THREADS)
        ]
        for thread in threads:
            thread.start()
        seconds_used = sample(folder, args.seconds, "under load")
        stop.set()
        for thread in threads:
            thread.join()
        completed = sum(counts)
        print(f"{completed} quick requests")
        for role in ROLES:
            print(f"  {role}: {seconds_used[role] / max(completed, 1) * 1e6:.0f} us of processor time a request")
    finally:
        run("stop", str(folder))
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
