"""Stand-in for a runner: runs tasks under leases and reports itself to the agent beside it."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from cluster import HEARTBEAT_S, call

MAX_HOLD_MS = 10_000
STOP_MS = 200
STARTUP_S = 0.3
GANG_S = 3.0


class Run:
    def __init__(self, spec, checkpoint, now):
        self.spec, self.checkpoint, self.began = spec, checkpoint, now
        words = dict(word.split("=") for word in spec.split() if "=" in word)
        self.lasts = "lasts" in words
        self.ms = float("inf") if self.lasts else float(words.get("ms", "500"))
        # Millicores that a task uses, which it reports unless it has a target.
        self.cpu = int(words.get("cpu", "0"))
        # Number of members of the gang, 0 for none, and whether all of them are present.
        self.gang = int(words.get("gang", "0"))
        self.together = self.gang == 0
        self.stopping = None

    def percent(self, now):
        if not self.together:
            return 0
        if self.lasts:
            return 100 if now - self.began >= STARTUP_S else 0
        return min(99, int((now - self.began) * 1e5 / self.ms))

    def figure(self, tail):
        return tail if self.lasts else self.cpu


class Runner:
    """One incarnation of a runner. `refuse` makes it answer starts with 503, as an unhealthy one."""

    def __init__(self, cluster, side, name, labels=("a", "r1-1"), cpu=32_000):
        self.cluster, self.side, self.name, self.labels, self.cpu = cluster, side, name, labels, cpu
        self.refuse = False
        # Called with the key of each run that starts.
        self.on_start = None
        # Tail latency that tasks with a target report, in ms.
        self.figure = 0
        self.draining = False
        self.born = int(time.time() * 1_000)
        self.began = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.until = 0
        self.running = {}
        # Keys of the running members of gangs, by step and number of the run.
        self.gangs = {}
        self.ended = []
        self.number = 0
        self.highest = {}
        self.starts = []
        # Times and keys of the runs that ended alone.
        self.alone = []
        self.change = threading.Condition()
        self.alive = True
        self.beat = self.send_beat
        handler = self.handler()
        self.server = ThreadingHTTPServer((side.ip, cluster.ports["app"]), handler)
        self.server.daemon_threads = True
        # Agents that end reset their connections.
        self.server.handle_error = lambda *_: None
        for target in (self.server.serve_forever, self.work, self.beats):
            threading.Thread(target=target, daemon=True).start()
        cluster.runners.append(self)

    def stop(self):
        if self.alive:
            self.alive = False
            self.server.shutdown()
            self.server.server_close()

    def note(self, text):
        self.cluster.record.write(self.name, text)

    def clock(self):
        return int((time.monotonic() - self.began) * 1_000)

    # Heartbeats

    def report(self):
        self.sequence += 1
        return {
            "service": self.cluster.service,
            "address": f"{self.side.ip}:{self.cluster.ports['app']}",
            "zone": "recife-centro",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 125_000, "gpus": 0},
            "labels": list(self.labels),
            "clock_ms": self.clock(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def send_beat(self):
        path = f"/-/instances/{self.name}/heartbeat"
        port = self.cluster.ports["control"]
        return call(self.side.ip, port, "POST", path, self.report(), timeout=1.0)

    def beats(self):
        while self.alive:
            began = time.monotonic()
            self.beat()
            time.sleep(max(0.05, HEARTBEAT_S - (time.monotonic() - began)))

    # Tasks

    def end(self, key, how):
        run = self.running.pop(key)
        self.gangs.get((key[0].rsplit(".", 1)[0], key[1]), set()).discard(key)
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.number += 1
        self.ended.append([self.number, key[0], key[1], how, run.checkpoint])
        self.note(f"run {key[1]} of {key[0]} ended: {how}")
        self.change.notify_all()
        if how == "alone":
            self.alone.append((time.monotonic(), key))
        if run.gang and how not in ("done", "broken"):
            for other in self.members(key):
                self.end(other, "broken")

    def members(self, key):
        """The running members of the gang that a run belongs to; all are on this runner."""
        return list(self.gangs.get((key[0].rsplit(".", 1)[0], key[1]), ()))

    def work(self):
        while self.alive:
            time.sleep(0.01)
            with self.change:
                now = time.monotonic()
                for key, run in list(self.running.items()):
                    if key not in self.running:
                        continue
                    if run.stopping is not None:
                        if (now - run.stopping) * 1_000 >= STOP_MS:
                            self.end(key, "stopped")
                    elif self.clock() > self.until:
                        self.end(key, "lapsed")
                    elif not run.together:
                        if now - run.began >= GANG_S:
                            self.end(key, "alone")
                    elif (now - run.began) * 1_000 >= run.ms:
                        self.end(key, "done")

    def extend(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + MAX_HOLD_MS))

    def start(self, body):
        key = (body["task"], body["run"])
        if self.refuse:
            self.note(f"start of run {key[1]} of {key[0]} refused: 503")
            return 503, {}
        with self.change:
            if body["fencing_token"] < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body["fencing_token"]
            if key in self.running:
                return 200, {}
            if body["until_ms"] <= self.clock():
                return 409, {"reason": "late"}
            self.extend(body["until_ms"])
            if key[1] <= self.highest.get(key[0], 0):
                return 409, {"reason": "old"}
            run = Run(body["specification"], body.get("checkpoint", ""), time.monotonic())
            self.running[key] = run
            if run.gang:
                self.gangs.setdefault((key[0].rsplit(".", 1)[0], key[1]), set()).add(key)
            if run.gang and len(self.members(key)) == run.gang:
                for member in self.members(key):
                    self.running[member].together = True
                    self.running[member].began = run.began
            if self.on_start:
                self.on_start(key)
            self.starts.append((time.monotonic(), *key, body["specification"]))
            self.note(f"run {key[1]} of {key[0]} started, specification {body['specification']!r}")
            return 200, {}

    def stop_run(self, body):
        key = (body["task"], body["run"])
        with self.change:
            if body["fencing_token"] < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body["fencing_token"]
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if key in self.running and self.running[key].stopping is None:
                self.running[key].stopping = time.monotonic()
            return 200, {}

    def hold(self, body):
        with self.change:
            if body["fencing_token"] < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body["fencing_token"]
            self.extend(body.get("until_ms"))
            acked = body.get("ack_cursor", 0)
            self.ended = [row for row in self.ended if row[0] > acked]
            wait = min(body.get("wait_ms", 0), 2_000) / 1_000
            if wait and not self.ended:
                self.change.wait(wait)
            now = time.monotonic()
            rows = [
                [task, run, state.checkpoint, state.percent(now), state.figure(self.figure)]
                for (task, run), state in self.running.items()
            ]
            return 200, {"running": rows, "ended": self.ended[:500]}

    def pace(self, body):
        self.note(f"pace of run {body['run']} of {body['task']}: {body['percent']}")
        return 200, {}

    def handler(self):
        runner = self
        calls = {
            "/-/run-start": runner.start,
            "/-/run-stop": runner.stop_run,
            "/-/hold": runner.hold,
            "/-/pace": runner.pace,
        }

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # Without this, each answer waits for a delayed acknowledgement.
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_POST(self):
                length = int(self.headers.get("Content-Length", "0"))
                body = json.loads(self.rfile.read(length) or b"{}")
                expected = self.headers.get("X-Expected-Instance", runner.name)
                if expected != runner.name:
                    status, answer = 421, {}
                else:
                    status, answer = calls[self.path](body)
                answer = {"clock_ms": runner.clock(), "born": runner.born, **answer}
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

        return Handler
