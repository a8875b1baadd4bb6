#!/usr/bin/env python3
"""Kills the control leader while urgent jobs are declared and measures how fast they start.

usage: scripts/urgent.py [--rounds N] [--seed N] [--keep]

Starts a cluster with scripts/cluster.sh and fills its workers with ordinary batch jobs. In each
round the leader is killed with SIGKILL before, during or after the declaration of an urgent job
through a surviving instance, and restarted once the job runs. Prints the time from the acknowledged
declaration to the start line in a worker's journal, and the job's steps and elections in between.

Exits with 1 if an urgent job starts later than after 4.1 s or twice, or if any job runs on two
workers at the same time.
"""

import argparse
import json
import os
import pathlib
import random
import shutil
import sys
import tempfile
import threading
import time

from faults import Cluster, request

# From docs/design.md: urgent work starts within 4.1 s, also during a change of the control leader.
LIMIT_SECONDS = 4.1
ROUND_SECONDS = 40
SETTLE_SECONDS = 60
# Tasks outlast the run, so that only evictions free capacity for urgent jobs.
TASK_SECONDS = 3600
WORKERS = 3
# Four ordinary jobs fill a worker of the default 32 cores: they leave only the reserve of 4 cores
# free, into which an urgent job does not fit.
JOBS_PER_WORKER = 4
WAITING_JOBS = 4
ORDINARY_MILLICORES = 7000
URGENT_MILLICORES = 8000
WHEN = ("before", "at", "after")


def status(control):
    result = request(control, "GET", "/v1/status", timeout=2)
    return json.loads(result[2]) if result and result[0] == 200 else None


def leader(controls):
    """Number, from 1, of the instance that reports itself as leader."""
    for number, control in enumerate(controls, 1):
        known = status(control)
        if known and known.get("leader") == f"c{number}":
            return number
    return None


def wait_for(what, check, seconds=SETTLE_SECONDS):
    """Waits until `check` returns a true value and returns it."""
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        value = check()
        if value:
            return value
        time.sleep(0.05)
    raise SystemExit(f"{what}: not within {seconds} s")


def declare(controls, name, urgent):
    """Declares a job at the instances in turn; returns the time of the acknowledgement."""
    spec = {
        "shop": "klopca", "kind": "survey", "memory_mb": 1000, "urgent": urgent,
        "team": "urgent" if urgent else "ordinary",
        "millicores": URGENT_MILLICORES if urgent else ORDINARY_MILLICORES,
    }
    body = json.dumps(spec).encode()
    headers = {"Idempotency-Key": f"declare-{name}"}
    limit = time.monotonic() + ROUND_SECONDS
    number = 0
    while time.monotonic() < limit:
        control = controls[number % len(controls)]
        number += 1
        result = request(control, "PUT", f"/v1/resources/jobs/{name}", body, headers, timeout=2)
        if result and result[0] in (200, 201):
            return time.monotonic()
        if result and result[0] < 500:
            raise SystemExit(f"declaration of {name}: {result}")
        time.sleep(0.02)
    raise SystemExit(f"declaration of {name}: not acknowledged")


def journals(cluster):
    """Lines of the journal of each worker."""
    paths = sorted(cluster.folder.glob("worker_*.journal"))
    return {path.stem: path.read_text().split("\n") for path in paths}


def starts(cluster, job):
    lines = journals(cluster).items()
    return [worker for worker, text in lines for line in text if line.startswith(f"start {job} ")]


def running(cluster):
    """Workers by job, for starts without a later end or stop in the journal."""
    jobs = {}
    for worker, text in journals(cluster).items():
        for line in text:
            word, _, rest = line.partition(" ")
            job = rest.split(" ")[0]
            if word == "start":
                jobs.setdefault(job, set()).add(worker)
            elif word in ("end", "stop"):
                jobs.get(job, set()).discard(worker)
    return {job: workers for job, workers in jobs.items() if workers}


def follow(cluster, controls, name, acknowledged, notes):
    """Records the steps of a job as they appear; returns the time of its start."""
    seen, limit, polled = 0, acknowledged + ROUND_SECONDS, 0.0
    while time.monotonic() < limit:
        if starts(cluster, name):
            return time.monotonic()
        if time.monotonic() - polled > 0.1:
            polled = time.monotonic()
            for control in controls:
                result = request(control, "GET", f"/v1/resources/jobs/{name}", timeout=1)
                if result and result[0] == 200:
                    steps = json.loads(result[2]).get("run", {}).get("steps", [])
                    for step in steps[seen:]:
                        notes.append((time.monotonic(), step["text"]))
                    seen = max(seen, len(steps))
                    break
        time.sleep(0.01)
    return None


def elections(cluster, offsets):
    """Log lines about won elections since the last call."""
    lines = []
    for path in sorted(cluster.folder.glob("control_*.log")):
        with path.open() as log:
            log.seek(offsets.get(path.name, 0))
            lines += [json.loads(line) for line in log if '"leading":true' in line]
            offsets[path.name] = log.tell()
    return lines


def run_round(cluster, number, rng, offsets):
    """Runs one round; returns the job's name and the seconds from acknowledgement to start."""
    controls = cluster.all("CONTROL")
    victim = wait_for("a leader", lambda: leader(controls))
    survivors = [control for n, control in enumerate(controls, 1) if n != victim]
    rng.shuffle(survivors)
    when = WHEN[rng.randrange(len(WHEN))]
    delay = rng.uniform(0.0, 0.4)
    name, notes = f"urgent-{number}", []
    elections(cluster, offsets)
    killed = []

    def kill():
        killed.append((time.monotonic(), time.time()))
        cluster.kill(f"control_{victim}")

    if when == "before":
        kill()
        time.sleep(delay)
    timer = threading.Timer(delay / 10, kill)
    if when == "at":
        timer.start()
    acknowledged = declare(survivors, name, True)
    if when == "after":
        time.sleep(delay)
        kill()
    started = follow(cluster, survivors, name, acknowledged, notes)
    if when == "at":
        timer.join()
    took = None if started is None else started - acknowledged
    shown = "not started" if took is None else f"{took:6.2f} s"
    print(f"round {number:3} c{victim} killed {when:6} {killed[0][0] - acknowledged:+6.2f} s: {shown}")
    for line in elections(cluster, offsets):
        print(f"    leads: {line.get('timestamp')} {line.get('fields', line)}")
    for at, text in notes:
        print(f"    {at - acknowledged:+6.2f} s {text}")
    sys.stdout.flush()
    cluster.restart(f"control_{victim}")
    return name, took


def remove(cluster, name):
    """Deletes an urgent job and waits until ordinary jobs fill the workers again."""
    controls = cluster.all("CONTROL")

    def deleted():
        result = request(controls[0], "DELETE", f"/v1/resources/jobs/{name}", timeout=2)
        return result is not None and result[0] in (200, 404)

    wait_for(f"deletion of {name}", deleted)
    wait_for("full workers", lambda: full(cluster, name))


def full(cluster, deleted_job=None):
    jobs = running(cluster)
    return (deleted_job not in jobs
            and sum(len(workers) for workers in jobs.values()) >= JOBS_PER_WORKER * WORKERS)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp())
    os.environ["WORKER_ARGS"] = f"--task-seconds {TASK_SECONDS}"
    rng, offsets, failures, times = random.Random(args.seed), {}, [], []
    cluster = Cluster(folder)
    try:
        # Quick tasks beside the workers would hold back ordinary jobs, so the workers would not fill.
        for number in range(WORKERS):
            cluster.kill(f"backend_{number + 1}")
        for number in range(JOBS_PER_WORKER * WORKERS + WAITING_JOBS):
            declare(cluster.all("CONTROL"), f"ordinary-{number}", False)
        wait_for("full workers", lambda: full(cluster))
        for number in range(args.rounds):
            name, took = run_round(cluster, number, rng, offsets)
            times.append(took)
            if took is None or took > LIMIT_SECONDS:
                failures.append(f"{name} started after {took} s, allowed are {LIMIT_SECONDS} s")
            if took is not None:
                remove(cluster, name)
            if len(starts(cluster, name)) > 1:
                failures.append(f"{name} was started at {starts(cluster, name)}")
            for job, workers in running(cluster).items():
                if len(workers) > 1:
                    failures.append(f"{job} runs at {sorted(workers)}")
    finally:
        cluster.run("stop", str(folder))
        if args.keep or failures:
            print(f"files are kept in {folder}")
        else:
            shutil.rmtree(folder)
    known = sorted(took for took in times if took is not None)
    if known:
        print(f"seed {args.seed}, {len(times)} rounds: median {known[len(known) // 2]:.2f} s, "
              f"longest {known[-1]:.2f} s")
    for fault in failures:
        print(f"FAULT {fault}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
