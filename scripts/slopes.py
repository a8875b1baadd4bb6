#!/usr/bin/env python3
"""Measures how the cost of each role grows with the number of agents.

usage: scripts/slopes.py [--agents 3,20,40,60] [--seconds N]

Starts a cluster with each number of agents, each with a back end and a worker, and prints
processor time, memory and traffic on open connections of the control leader, a follower, an entry
and an agent without load. Then prints a linear fit through the points of each, and its value at
--target agents.
"""

import argparse
import os
import pathlib
import shutil
import statistics
import tempfile
import time

import footprint

MEASURES = (("processor", "% of a core"), ("memory", "MB"), ("traffic", "KB/s"))
SETTLE_SECONDS = 5


def roles(spent):
    """Means by role. The control instance with the most processor time is taken for the leader."""
    control = sorted((row for name, row in spent.items() if name.startswith("control")), reverse=True)
    found = {"leader": [control[0]], "follower": control[1:]}
    for role in ("entry", "agent"):
        found[role] = [row for name, row in spent.items() if name.startswith(role)]
    return {role: [statistics.mean(column) for column in zip(*rows)] for role, rows in found.items()}


def measure(agents, seconds):
    folder = pathlib.Path(tempfile.mkdtemp())
    os.environ["AGENTS"] = str(agents)
    try:
        footprint.run("start", str(folder))
        time.sleep(SETTLE_SECONDS)
        return roles(footprint.measure(folder, seconds))
    finally:
        footprint.run("stop", str(folder))
        shutil.rmtree(folder)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--agents", default="3,20,40,60")
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--target", type=int, default=2100)
    args = parser.parse_args()
    points = [int(number) for number in args.agents.split(",")]
    found = {}
    for agents in points:
        found[agents] = measure(agents, args.seconds)
        for role, values in found[agents].items():
            shown = ", ".join(f"{value:.2f} {unit}" for value, (_, unit) in zip(values, MEASURES))
            print(f"{agents:>4} agents, {role:<8} {shown}", flush=True)
    for role in ("leader", "follower", "entry", "agent"):
        for index, (measure_name, unit) in enumerate(MEASURES):
            line = statistics.linear_regression(points, [found[n][role][index] for n in points])
            target = line.intercept + line.slope * args.target
            print(
                f"{role:<8} {measure_name:<9} {line.intercept:8.3f} + {line.slope:8.4f} for each agent,"
                f" {target:8.1f} {unit} at {args.target}"
            )


if __name__ == "__main__":
    main()
