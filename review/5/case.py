"""A route is removed and added again while a task of one of its jobs runs and fails once."""
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig as deployment  # noqa: E402

JOB, ATTEMPTS = "5c0e7a21d94b36f8", 4
NEED = {"cpu": 7000, "mem_mb": 13000}
SPEC = json.dumps({**NEED, "work_s": 4.0, "failing_runs": 1})
BODY = {"specification": SPEC, "steps": [{"count": 1, "estimated_ms": 4000, **NEED}]}


def case(rig):
    rig.start_all()
    rig.submit(JOB, BODY)
    end = time.monotonic() + 5
    while not any(e["event"] == "start" for e in rig.events()):
        if time.monotonic() > end:
            raise deployment.CannotRun("the task was not started")
        time.sleep(0.05)
    # All versions are sent one after the other, and each is acknowledged before the next.
    rig.configure(2, present=not deployment.TROUBLE)
    time.sleep(6.0)
    rig.configure(3)
    time.sleep(deployment.BOUNDS["config_apply_ms"] / 1000 + 0.5)
    state, end = "", time.monotonic() + 15
    while time.monotonic() < end and not any(word in state for word in ("completed", "failed")):
        _, state, _ = rig.client("GET", JOB)
        time.sleep(0.5)
    failed = [e for e in rig.events() if e["event"] == "end" and e["how"] == "failed"]
    if len(failed) != 1:
        raise deployment.CannotRun("the task has failed %d times" % len(failed))
    if "completed" in state:
        return []
    return ["LOST: the job is shown as %s after 1 of %d attempts has ended failed" % (state, ATTEMPTS)]


deployment.play(case, FOLDER)
