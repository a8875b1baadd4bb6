"""The configuration replaces a route by another one at the same host and prefix."""

import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))

from cluster import BROKEN, HELD, Client, Cluster, NotRun, Operator, job, main, route, setup
from runner import Runner

PREFIX = "/lohu930/"
JOBS = [f"00000000000000c{n}" for n in range(1, 5)]
# The bounds of the sites.
CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0
FINISH_S = 14.0


def run(record, trouble):
    with Cluster(record, cores=3, fronts=2, sides=3) as cluster:
        cluster.start()
        runners = [Runner(cluster, side, f"i-{at:08x}") for at, side in enumerate(cluster.sides)]
        operator, client = Operator(cluster), Client(cluster)
        if not operator.replace(setup(7, [route("r-1", PREFIX)])):
            raise NotRun("the first configuration was not acknowledged")
        cluster.wait_ready()
        for name in JOBS:
            if client.until_clear("POST", PREFIX + name, job(ms=2_500, steps=2)).status != 200:
                raise NotRun("a job was not accepted")
        time.sleep(1.0)
        # Removes route r-1 and adds route r-2, or only changes the time-out of r-1.
        after = route("r-2", PREFIX) if trouble else route("r-1", PREFIX, timeout_ms=2_500)
        if not operator.replace(setup(8, [after])):
            raise NotRun("the second configuration was not acknowledged")
        time.sleep(CONFIG_APPLY_S + VISIBLE_S)
        first = [client.until_clear("GET", PREFIX + name) for name in JOBS]
        time.sleep(FINISH_S)
        last = [client.until_clear("GET", PREFIX + name) for name in JOBS]
        second_steps = {start[1] for r in runners for start in r.starts if ".0.1." in start[1]}
        record.write("test", f"second steps started: {sorted(second_steps)}")
        unknown = any(answer.status == 410 for answer in first + last)
        done = all(answer.json().get("state") == "completed" for answer in last)
        record.write("test", f"some job is answered 410: {unknown}; all completed: {done}")
        if not trouble and not done:
            raise NotRun("the jobs did not complete without the disruption")
        return BROKEN if unknown else HELD


main(CASE, run)
