#!/usr/bin/env python3
"""Merges the log lines of all processes about one job into one timeline.

Usage: scripts/trace.py JOB LOG...

JOB is the job's 16 hexadecimal digits or a prefix of them. Each line of a LOG is a JSON object as
the processes write them; the last word of text before it, such as a host name, is shown as the
source. Lines about roles and runners between the job's first and last line are shown as well,
marked with `~`.
"""

import json
import sys

# Messages about cluster state, which are shown for every job that they may affect.
CLUSTER_MESSAGES = {
    "agent found", "control", "dispatch", "leader", "role", "runner found", "runner left",
    "runner lost", "started", "stopping",
}


def records(paths):
    """Yields (time, source, fields) of every line that holds a JSON object."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            for line in lines:
                start = line.find("{")
                if start < 0:
                    continue
                try:
                    record = json.loads(line[start:])
                except json.JSONDecodeError:
                    continue
                source = line[:start].split()
                fields = record.get("fields", {})
                yield record.get("timestamp", ""), source[-1] if source else path, fields


def mentions_job(fields, job):
    """Whether the fields name the job or one of its runs."""
    names = [str(fields.get(name, "")) for name in ("job", "run")]
    return any(name.startswith(job) for name in names + str(fields.get("runs", "")).split())


def show(mark, time, source, fields, job=""):
    if "runs" in fields:
        runs = [run for run in str(fields["runs"]).split() if run.startswith(job)]
        fields = {**fields, "runs": " ".join(runs)}
    rest = " ".join(f"{k}={v}" for k, v in fields.items() if k != "message")
    print(f"{mark} {time[11:23]} {source:28} {fields.get('message', '')}: {rest}")


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    job, paths = sys.argv[1], sys.argv[2:]
    found = sorted(records(paths), key=lambda record: record[0])
    own = [record for record in found if mentions_job(record[2], job)]
    if not own:
        sys.exit(f"no line about {job}; do these logs cover its processes and its time?")
    first, last = own[0][0], own[-1][0]
    for time, source, fields in found:
        if mentions_job(fields, job):
            show(" ", time, source, fields, job)
        elif first <= time <= last and fields.get("message") in CLUSTER_MESSAGES:
            show("~", time, source, fields)


if __name__ == "__main__":
    try:
        main()
    except BrokenPipeError:
        # The reader of the pipe, such as head, has exited.
        sys.stderr.close()
