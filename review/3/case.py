"""A client's POST waits in an entry that stands still; the client cancels the job and is answered."""
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import rig as deployment  # noqa: E402

JOB, OTHER = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
FREEZE_S = 4.0
SPEC = '{"cpu":7000,"mem_mb":13000,"work_s":2.2}'
STEP = {"count": 4, "cpu": 7000, "mem_mb": 13000, "estimated_ms": 2200}
BODY = {"specification": SPEC, "steps": [STEP, {**STEP, "after": [0]}, {**STEP, "after": [1]}]}


def case(rig):
    rig.start_all()
    rig.submit(OTHER, BODY, front=1)
    if deployment.TROUBLE:
        rig.signal("front-0", signal.SIGSTOP)
    began = time.monotonic()
    # The client waits for its deadline of 3 s and gets no answer while the entry stands still.
    post = threading.Thread(target=lambda: rig.client("POST", JOB, BODY, front=0))
    post.start()
    post.join()
    # It gives the job up, and is answered by another entry.
    status, _, _ = rig.client("DELETE", JOB, front=1)
    acked = time.monotonic()
    time.sleep(max(0.0, FREEZE_S - (time.monotonic() - began)))
    if deployment.TROUBLE:
        rig.signal("front-0", signal.SIGCONT)
    time.sleep(10.0)
    rig.client("GET", JOB, front=1)
    if status not in (200, 410):
        raise deployment.CannotRun("the cancelling was not answered")
    limit = acked + deployment.BOUNDS["cancel_ms"] / 1000
    late = [e for e in rig.events() if e["event"] == "start" and e["task"].startswith(JOB)]
    return ["UNASKED: %s run %d started %.3f s after the cancelling was acknowledged with %d" % (
        e["task"], e["run"], e["t"] - acked, status) for e in late if e["t"] > limit]


deployment.play(case, FOLDER, fronts=2)
