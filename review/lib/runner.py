"""Stand-in for one runner, as PROTOCOL.md describes it: tasks under a lease, ends in a list of 500.

Usage: runner.py CONFIG.json. Every event goes to the file `record` of the configuration, as one JSON
line with the system-wide monotonic time. Lines on standard input: `drain`, `leave`.
"""
import http.client
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

CFG = json.load(open(sys.argv[1]))
LIST_LIMIT = 500
BORN = int(time.time() * 1000)
START = time.monotonic()
COND = threading.Condition()
RECORD = open(CFG["record"], "a", buffering=1)


def note(event, **fields):
    fields.update(t=round(time.monotonic(), 4), runner=CFG["id"], event=event)
    RECORD.write(json.dumps(fields) + "\n")


class Runner:
    def __init__(self):
        self.fence, self.until, self.number = 0, 0, 0
        self.running, self.ended, self.gone = {}, [], {}
        self.state, self.acked, self.sequence = "ready", 0, 0

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
            "run": number, "since": time.monotonic(), "work_s": need["work_s"], "cpu": need["cpu"],
            "mem_mb": need["mem_mb"], "saved": body.get("checkpoint", ""), "stop": None,
        }
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
            share = min(1.0, (now - run["since"]) / run["work_s"])
            rows.append([task, run["run"], run["saved"], int(share * 100), run["cpu"]])
        return {"running": rows, "ended": self.ended[:LIST_LIMIT]}

    def tick(self):
        now = time.monotonic()
        if self.running and self.clock() > self.until:
            note("lapse", tasks=len(self.running))
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run["stop"] is not None and now >= run["stop"]:
                self.end(task, "stopped")
            elif run["stop"] is None and now - run["since"] >= run["work_s"]:
                self.end(task, "done")


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
