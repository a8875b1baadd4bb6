"""Stand-in for one runner, as PROTOCOL.md describes it: tasks under a lease, ends in a list of 500.

Usage: runner.py CONFIG.json. Every event goes to the file `record` of the configuration, as one JSON
line with the system-wide monotonic time. Lines on standard input: `drain`, `leave`.
"""
import http.client
import json
import os
import sys
import threading
import time
import zlib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

CFG = json.load(open(sys.argv[1]))
LIST_LIMIT = 500
BORN = int(time.time() * 1000)
START = time.monotonic()
COND = threading.Condition()
RECORD = os.open(CFG["record"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)


def note(event, **fields):
    fields.update(t=round(time.monotonic(), 4), runner=CFG["id"], event=event)
    os.write(RECORD, (json.dumps(fields) + "\n").encode())


def work_s(task, need):
    """Tasks of a step take different times."""
    share = zlib.crc32(task.encode()) / 2**32
    return need["work_s"] + share * need.get("spread_s", 0.0)


def progress_s(checkpoint):
    return int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0


def checkpoint(task, seconds):
    return "%08x%s" % (int(seconds * 1000), task[4:12])


class Gang:
    """Gangs, whose members on all runners meet in a shared folder.

    The tasks of one run work from the moment when all of them are present with the same checkpoint.
    """

    def path(self, task, run):
        job, occurrence, step, index = task.split(".")
        return os.path.join(CFG["gangs"], "%s.%s.%s.%d" % (job, occurrence, step, run)), index

    def join(self, task, run, checkpoint):
        folder, index = self.path(task, run)
        os.makedirs(folder, exist_ok=True)
        with open(os.path.join(folder, "part-" + index), "w") as file:
            file.write(checkpoint)
        os.rename(os.path.join(folder, "part-" + index), os.path.join(folder, index))

    def state(self, task, run, count):
        """Whether the gang is `waiting`, `broken`, `done` or at work since a time."""
        folder, _ = self.path(task, run)
        names = os.listdir(folder)
        for how in ("broken", "done"):
            if how in names:
                return how
        if "since" in names:
            return float(open(os.path.join(folder, "since")).read())
        members = [name for name in names if name.isdigit()]
        if len(members) < count:
            return "waiting"
        values = {open(os.path.join(folder, name)).read() for name in members}
        if len(values) > 1:
            return "waiting"
        self.mark(task, run, "since", str(time.monotonic()))
        return "waiting"

    def mark(self, task, run, name, text=""):
        folder, index = self.path(task, run)
        part = os.path.join(folder, "part-%s-%s" % (name, index))
        with open(part, "w") as file:
            file.write(text)
        try:
            os.link(part, os.path.join(folder, name))
        except FileExistsError:
            pass
        os.unlink(part)


GANG = Gang()


class Runner:
    def __init__(self):
        self.fence, self.until, self.number = 0, 0, 0
        self.running, self.ended, self.gone = {}, [], {}
        self.state, self.acked, self.sequence, self.leased = "ready", 0, 0, False

    def clock(self):
        return int((time.monotonic() - START) * 1000) + CFG.get("clock_offset_ms", 1000)

    def end(self, task, how, saved=None):
        run = self.running.pop(task)
        self.number += 1
        self.gone[task] = max(self.gone.get(task, 0), run["run"])
        saved = run["saved"] if saved is None else saved
        self.ended.append([self.number, task, run["run"], how, saved])
        note("end", task=task, run=run["run"], how=how, number=self.number, saved=saved)
        COND.notify_all()

    def extend(self, until):
        if until is not None:
            most = self.clock() + CFG["max_hold_ms"]
            self.until = max(self.until, min(until, most))
            self.leased = self.leased or self.until >= self.clock()

    def free(self, what):
        return CFG["capacity"][what] - sum(r[what] for r in self.running.values())

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["fencing_token"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencing_token"]
        there = self.running.get(task)
        if there and there["run"] == number:
            self.extend(body["until_ms"])
            return 200, {}
        if number <= self.gone.get(task, 0) or (there and there["run"] > number):
            self.extend(body["until_ms"])
            note("refused", task=task, run=number, reason="old")
            return 409, {"reason": "old"}
        if body["until_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body["until_ms"])
        need = json.loads(body["specification"])
        if any(self.free(what) < need[what] for what in ("cpu", "mem_mb")):
            return 409, {"reason": "room"}
        self.running[task] = {
            "run": number, "since": time.monotonic(), "work_s": work_s(task, need), "cpu": need["cpu"],
            "mem_mb": need["mem_mb"], "saved": body.get("checkpoint", ""), "stop": None,
            "fails": number <= need.get("failing_runs", 0),
        }
        if need.get("gang"):
            self.running[task].update(gang=need["gang"], from_s=progress_s(body.get("checkpoint", "")))
            GANG.join(task, number, body.get("checkpoint", ""))
        note("start", task=task, run=number, checkpoint=body.get("checkpoint", ""))
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["run"]
        if body["fencing_token"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencing_token"]
        self.gone[task] = max(self.gone.get(task, 0), number)
        run = self.running.get(task)
        if run and run["run"] <= number and run["stop"] is None:
            run["stop"] = time.monotonic() + 0.05
        note("stop", task=task, run=number, there=bool(run))
        return 200, {}

    def hold(self, body):
        if body["fencing_token"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencing_token"]
        if body["ack_cursor"] > self.acked:
            self.acked = body["ack_cursor"]
            note("ack", cursor=self.acked)
            self.ended = [end for end in self.ended if end[0] > self.acked]
        self.extend(body.get("until_ms"))
        end = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end:
            COND.wait(max(0.0, end - time.monotonic()))
        return 200, self.lists()

    def lists(self):
        now, rows = time.monotonic(), []
        for task, run in self.running.items():
            share = run.get("share", min(1.0, (now - run["since"]) / run["work_s"]))
            rows.append([task, run["run"], run["saved"], int(share * 100), run["cpu"]])
        return {"running": rows, "ended": self.ended[:LIST_LIMIT]}

    def tick(self):
        now = time.monotonic()
        if self.clock() > self.until:
            if self.leased:
                note("lapse", tasks=len(self.running))
            self.leased = False
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if "gang" in run:
                self.tick_member(now, task, run)
            elif run["stop"] is not None and now >= run["stop"]:
                self.end(task, "stopped")
            elif run["stop"] is None and now - run["since"] >= run["work_s"]:
                self.end(task, "failed" if run["fails"] else "done")


    def tick_member(self, now, task, run):
        state = GANG.state(task, run["run"], run["gang"])
        at = run["from_s"]
        if isinstance(state, float):
            at = min(run["work_s"], at + max(0.0, now - state - CFG["restore_ms"] / 1000))
            # A new value with each `checkpoint_s` of work, and at a stop.
            whole = int(at / CFG["checkpoint_s"]) * CFG["checkpoint_s"]
            if whole > run["from_s"]:
                run["saved"] = checkpoint(task, whole)
        run["share"] = at / run["work_s"]
        if state == "broken":
            self.end(task, "broken")
        elif state == "done":
            self.end(task, "done")
        elif run["stop"] is not None and now >= run["stop"]:
            GANG.mark(task, run["run"], "broken")
            saved = checkpoint(task, at) if isinstance(state, float) else run["saved"]
            self.end(task, "stopped", saved)
        elif run["stop"] is None and at >= run["work_s"]:
            GANG.mark(task, run["run"], "done")
        elif state == "waiting" and now - run["since"] > CFG["gang_timeout_ms"] / 1000:
            self.end(task, "alone")


RUNNER = Runner()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def reply(self, status, body):
        text = json.dumps(body).encode()
        head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        self.wfile.write((head % (status, len(text))).encode() + text)

    def do_GET(self):
        self.reply(200, {})

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self.headers.get("X-Expected-Instance", CFG["id"]) != CFG["id"]:
            return self.reply(421, {})
        call = {"/-/run-start": RUNNER.start, "/-/run-stop": RUNNER.stop, "/-/hold": RUNNER.hold,
                "/-/pace": lambda body: (200, {})}.get(self.path)
        if call is None:
            return self.reply(404, {})
        with COND:
            status, answer = call(body)
            answer = dict(answer, clock_ms=RUNNER.clock(), born=BORN)
        self.reply(status, answer)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def beat(kind="heartbeat"):
    with COND:
        RUNNER.sequence += 1
        body = {
            "service": CFG["service"], "address": "%s:%d" % (CFG["ip"], CFG["port"]),
            "zone": CFG["zone"], "version": "v1", "slots": 8, "state": RUNNER.state,
            "cold_remaining_ms": 0, "capacity": CFG["capacity"], "labels": CFG["labels"],
            "clock_ms": RUNNER.clock(), "sequence": RUNNER.sequence, "born": BORN,
        }
        if RUNNER.state == "draining":
            body["remaining_ms"] = 2000
    host, port = CFG["agent"]
    status, path = 0, "/-/instances/%s/%s" % (CFG["id"], kind)
    try:
        call = http.client.HTTPConnection(host, port, timeout=1.0)
        call.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
        status = call.getresponse().status
        call.close()
    except OSError:
        pass
    if body["state"] == "draining":
        note("draining", kind=kind, status=status, sequence=body["sequence"])
    return status


def beats():
    while True:
        beat()
        time.sleep(CFG["heartbeat_ms"] / 1000)


def ticks():
    while True:
        time.sleep(0.005)
        with COND:
            RUNNER.tick()


def main():
    sys.setswitchinterval(0.001)
    server = Server((CFG["ip"], CFG["port"]), Handler)
    note("born", born=BORN)
    for work in (server.serve_forever, beats, ticks):
        threading.Thread(target=work, daemon=True).start()
    for line in sys.stdin:
        if line.strip() == "drain":
            with COND:
                RUNNER.state = "draining"
            threading.Thread(target=beat, daemon=True).start()
        elif line.strip() == "leave":
            beat("deregister")
            note("left")
            return


main()
