"""Starts a small deployment of toucangrade_node on loopback addresses, with stand-ins.

Each machine has its own address in a random 127.x.y.0/24 block. The stand-ins (client, operator,
runner) speak what PROTOCOL.md describes. All events are written to record.txt of the case.
"""

import argparse
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ["target/release/toucangrade_node", "--metrics-port", "9464"]
METRICS_PORT = 9464
HEARTBEAT_S = 1.5
TIME_LIMIT_S = 115

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Log of the case: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, who, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {who}: {text}\n")
            self.file.flush()


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


class Cluster:
    """Processes and stand-ins of one case. Use as a context manager, which ends all of them."""

    def __init__(self, record, cores=3, fronts=2, sides=3, most=10):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="toucangrade-review-"))
        self.processes = []
        self.runners = []
        self.service = "balcao"
        self.pick_addresses(most)
        seeds = self.hosts[:cores]
        self.seeds = [f"{ip}:{self.ports['control']}" for ip in seeds]
        self.cores = [self.core(ip, bootstrap=True) for ip in seeds]
        taken = cores
        self.fronts = [self.front(ip) for ip in self.hosts[taken : taken + fronts]]
        taken += fronts
        self.sides = [self.side(ip) for ip in self.hosts[taken : taken + sides]]
        self.spare = self.hosts[taken + sides :]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for runner in self.runners:
            runner.stop()
        for node in self.processes:
            node.end()
        left = [node.name for node in self.processes if node.is_up()]
        count = len({node.name for node in self.processes})
        self.record.write("test", f"{count} processes were started, still running: {left}")
        shutil.rmtree(self.folder, ignore_errors=True)

    def pick_addresses(self, most):
        for _ in range(50):
            block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            hosts = [f"{block}.{n}" for n in range(11, 11 + most + 12)]
            base = random.randrange(20_000, 30_000, 20)
            names = ["control", "frontend", "ready", "app", "internal"]
            ports = {name: base + at for at, name in enumerate(names)}
            used = [*ports.values(), METRICS_PORT]
            if all(is_free(ip, port) for ip in hosts for port in used):
                self.hosts, self.ports = hosts, ports
                return
        raise NotRun("no free block of loopback addresses")

    def node(self, name, ip, klass, serves, listen, bootstrap=False, disk=False):
        return Node(self, name, ip, klass, serves, listen, bootstrap, disk)

    def core(self, ip, bootstrap=False):
        listen = {"control_plane": f"{ip}:{self.ports['control']}"}
        name = f"core-{ip.rsplit('.', 1)[1]}"
        return self.node(name, ip, "core", "control_plane", listen, bootstrap, disk=True)

    def front(self, ip):
        listen = {
            "frontend": f"{ip}:{self.ports['frontend']}",
            "ready": f"{ip}:{self.ports['ready']}",
        }
        return self.node(f"front-{ip.rsplit('.', 1)[1]}", ip, "frontend", "frontend", listen)

    def side(self, ip):
        listen = {"control_plane": f"{ip}:{self.ports['control']}"}
        return self.node(f"side-{ip.rsplit('.', 1)[1]}", ip, "side", "side", listen)

    def start(self):
        for node in [*self.cores, *self.fronts, *self.sides]:
            node.start()

    def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        for front in self.fronts:
            while True:
                answer = call(front.ip, self.ports["ready"], "GET", "/-/readiness", timeout=1)
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise NotRun(f"{front.name} did not get ready")
                time.sleep(0.1)


class Node:
    """One process of the project."""

    def __init__(self, cluster, name, ip, klass, serves, listen, bootstrap, disk):
        self.cluster, self.name, self.ip = cluster, name, ip
        self.klass, self.serves, self.listen = klass, serves, listen
        self.bootstrap, self.disk = bootstrap, disk
        self.process = None
        self.file = cluster.folder / f"{name}.toml"

    def settings(self):
        cluster = self.cluster
        internal = cluster.ports["internal"]
        lines = [
            f'node_name = "{self.name}"',
            f'role = "{self.serves}"',
            f'machine_class = "{self.klass}"',
            f'serves = ["{self.serves}"]',
            f'ip = "{self.ip}"',
            'zone = "recife-centro"',
            'region = "nordeste"',
            f"internal_port_range = [{internal},{internal + 15}]",
            f"seeds = {json.dumps(cluster.seeds)}",
            f"bootstrap = {json.dumps(self.bootstrap)}",
            f"fault_counted = {json.dumps(self.disk)}",
            'discovery = "local"',
            'entry = "vip"',
            "heartbeat_ms = 1500",
            'config_mode = "highest"',
            'orders = "invocation"',
        ]
        if self.disk:
            data = cluster.folder / f"{self.name}-data"
            data.mkdir(exist_ok=True)
            lines.append(f'data_dir = "{data}"')
        lines.append("[listen]")
        lines += [f'{key} = "{value}"' for key, value in self.listen.items()]
        lines += ["[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0"]
        return "\n".join(lines) + "\n"

    def start(self):
        self.file.write_text(self.settings(), encoding="utf-8")
        log = open(self.cluster.folder / f"{self.name}.log", "ab")
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = subprocess.Popen(
            PROGRAM,
            cwd=ROOT,
            env={**keep, "TOUCANGRADE_NODE_FILE": str(self.file)},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.cluster.processes.append(self)
        self.cluster.record.write("test", f"started {self.name} at {self.ip}")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.cluster.record.write("test", f"killed {self.name}")

    def terminate(self, grace_s=6):
        """SIGTERM, then SIGKILL after the grace period, as the platform stops a process."""
        self.cluster.record.write("test", f"SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.cluster.record.write("test", f"{self.name} ended, status {self.process.returncode}")

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.is_up():
            self.process.kill()
            self.process.wait()

    def log(self):
        path = self.cluster.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def metric(self, name):
        answer = call(self.ip, METRICS_PORT, "GET", "/metrics", timeout=1)
        for line in answer.text.splitlines():
            if line.split(" ")[0].endswith(name):
                return line.split(" ")[-1]
        return None


class Answer:
    """Response of a call; status 0 if there was none."""

    def __init__(self, status, text="", headers=None):
        self.status, self.text, self.headers = status, text, headers or {}

    def json(self):
        try:
            return json.loads(self.text)
        except ValueError:
            return {}


def call(ip, port, method, path, body=None, headers=None, timeout=1.0):
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace")
        return Answer(response.status, text, dict(response.getheaders()))
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        connection.close()


class Operator:
    """The operator: picks among the nodes that serve control_plane and follows a 307 twice."""

    def __init__(self, cluster):
        self.cluster = cluster

    def call(self, ip, method, path, body=None):
        port = self.cluster.ports["control"]
        for _ in range(3):
            answer = call(ip, port, method, path, body, timeout=1.0)
            if answer.status != 307:
                return answer
            ip = answer.headers.get("location", "").removeprefix("http://").split(":")[0]
            if not ip:
                return answer
        return answer

    def nodes(self):
        return [node for node in self.cluster.cores if node.is_up()]

    def replace(self, setup, limit_s=20):
        record = self.cluster.record
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            for node in self.nodes():
                answer = self.call(node.ip, "POST", "/-/config/replace", setup)
                if answer.status == 200:
                    record.write("operator", f"version {setup['version']} acknowledged")
                    return True
                if answer.status in (400, 409, 412, 413, 422):
                    record.write("operator", f"version {setup['version']}: {answer.status}")
                    return False
            time.sleep(0.2)
        record.write("operator", f"version {setup['version']} not acknowledged in {limit_s} s")
        return False

    def read(self):
        """Version that any node answers with, or None."""
        for node in self.nodes():
            answer = self.call(node.ip, "GET", "/-/config/read")
            if answer.status == 200:
                return answer.json().get("version")
        return None

    def leader(self):
        """The node that answers a read itself."""
        port = self.cluster.ports["control"]
        for node in self.nodes():
            if call(node.ip, port, "GET", "/-/config/read").status == 200:
                return node
        raise NotRun("no core machine answers a read")


class Client:
    """Clients of one host; each request is tried at the entries in turn."""

    def __init__(self, cluster, host="nony24.example"):
        self.cluster, self.host, self.turn = cluster, host, 0

    def once(self, method, path, body=None, deadline_ms=3_000):
        fronts = [front for front in self.cluster.fronts if front.is_up()]
        front = fronts[self.turn % len(fronts)]
        self.turn += 1
        headers = {"Host": self.host, "X-Deadline-Ms": str(deadline_ms)}
        port = self.cluster.ports["frontend"]
        answer = call(front.ip, port, method, path, body, headers, deadline_ms / 1_000)
        shown = answer.text if len(answer.text) < 120 else answer.text[:120] + "..."
        what = "" if body is None else f" {json.dumps(body)[:160]}"
        self.cluster.record.write("client", f"{method} {path}{what} -> {answer.status} {shown}")
        return answer

    def until_clear(self, method, path, body=None, tries=5):
        """Repeats a request that got no clear answer, as clients do."""
        answer = Answer(0)
        for _ in range(tries):
            answer = self.once(method, path, body)
            if answer.status not in (0, 429, 502, 503, 504):
                break
            time.sleep(0.5)
        return answer


def route(name, prefix, service="balcao", host="nony24.example", **more):
    fields = {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_completion_ms": 2500,
        "priority": 0,
        "service": service,
        "max_attempts": 3,
        "stretch": 2.2,
    }
    return {**fields, **more}


def setup(version, routes, service="balcao"):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "connection_limit": 64,
                "protocol": "h1",
                "tls": False,
                "admission_check": True,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def job(ms=500, count=1, steps=1, **more):
    """A job whose tasks take `ms`, which the runner stand-in reads from the specification."""
    tasks = {"count": count, "cpu": 500, "mem_mb": 256, "estimated_ms": ms, **more}
    chain = [{**tasks, **({"after": [at - 1]} if at else {})} for at in range(steps)]
    return {"specification": f"ms={ms}", "steps": chain}


def main(case, run):
    """Runs a case: `run(record, trouble)` returns HELD or BROKEN."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", default="1", help="0 leaves the disruption out")
    parser.add_argument("--record", default="record.txt", help="file in the folder of the case")
    options = parser.parse_args()
    record = Record(Path(case) / options.record)
    trouble = options.trouble != "0"
    watchdog = threading.Timer(TIME_LIMIT_S, lambda: os.kill(os.getpid(), signal.SIGALRM))

    def interrupted(number, _):
        raise NotRun(f"signal {number}; SIGALRM comes after {TIME_LIMIT_S} s")

    for number in (signal.SIGALRM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, interrupted)
    watchdog.daemon = True
    watchdog.start()
    record.write("test", "with the disruption" if trouble else "without the disruption")
    try:
        if not (ROOT / PROGRAM[0]).exists():
            raise NotRun(f"{PROGRAM[0]} is missing, run the build of deploy/system.toml first")
        result = run(record, trouble)
    except NotRun as reason:
        record.write("test", f"could not run: {reason}")
        result = NOT_RUN
    except Exception:
        # A fault of the script says nothing about the rule.
        record.write("test", f"could not run: {traceback.format_exc()}")
        result = NOT_RUN
    watchdog.cancel()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.write("test", words[result])
    print(words[result])
    sys.exit(result)
