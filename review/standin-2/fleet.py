"""A small deployment on loopback: the project's programs as processes, and stand-ins in Python.

The store is the project's own (`gradeloft-soak store`). Replicas and clients are written here. All
addresses are loopback addresses of one /24 net per run, so that runs don't meet.
"""

import asyncio
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "gradeloft-platform")
SOAK = os.path.join(ROOT, "target", "release", "gradeloft-soak")
HOST = "review.example"
KEY = "review-key"
TENANT = "team"
# Bounds of the small deployments (SYSTEM.md, "Bounds").
CONTACT_S = 3.0
MEMORY_MB = 260
GRACE_S = 8
# Events of a stream, and the time between them.
EVENTS = 14
EVENT_S = 0.15


class CannotRun(Exception):
    """The case could not be set up."""


class Fleet:
    """Processes, files and the record of one run."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.started = time.monotonic()
        pid = os.getpid()
        self.net = f"127.{20 + (pid >> 8) % 200}.{pid % 256}"
        self.dir = tempfile.TemporaryDirectory(prefix="review-")
        self.children = []
        self.entries = {}
        # Peak memory of each entry, in MB.
        self.peak = {}
        self.record(f"trouble: {'yes' if self.trouble else 'no'}")

    def now(self):
        return time.monotonic() - self.started

    def record(self, line):
        self.record_file.write(f"{self.now():9.3f} {line}\n")

    def address(self, last):
        return f"{self.net}.{last}"

    @property
    def store(self):
        return (self.address(1), 8007)

    def spawn(self, name, command):
        for program in (PROGRAM, SOAK):
            if not os.path.exists(program):
                raise CannotRun(f"{program} is not built")
        log = open(os.path.join(self.dir.name, f"{name}.log"), "ab")
        child = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT, cwd=ROOT)
        self.children.append(child)
        self.record(f"process {name} started")
        return child

    def start_store(self):
        self.spawn("store", [SOAK, "store", "%s:%d" % self.store])

    def start_entry(self, last, zone="a1", store=None):
        store = store or self.store
        own = self.address(last)
        path = os.path.join(self.dir.name, f"entry-{last}.yaml")
        with open(path, "w") as file:
            file.write(
                f"instance: entry-{last}\naddress: {own}\nzone: {zone}\n"
                "regions: {a1: a, b1: b}\npeer_ports: [7700, 7715]\n"
                f"seeds: ['{self.address(11)}:8000', '{self.address(12)}:8000']\n"
                f"frontend: {own}:8005\nreadiness: {own}:8002\ndirectory: {own}:8009\n"
                f"store: {store[0]}:{store[1]}\n"
                "repeat_ratio: 0.2\nrepeat_slack: 100\nrepeat_window_s: 10\napply_ms: 2000\n"
                f"version_ms: 8000\ngrace_s: {GRACE_S}\nmax_ttl_s: 5\nlink_mbps: 1000\n"
            )
        child = self.spawn(f"entry-{last}", [PROGRAM, "entry", "--settings", path])
        self.entries[last] = child
        return child

    def end(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children:
            child.wait()
        self.dir.cleanup()
        self.record_file.close()

    def start_agent(self, last, zone="a1"):
        own = self.address(last)
        path = os.path.join(self.dir.name, f"agent-{last}.yaml")
        with open(path, "w") as file:
            file.write(
                f"instance: agent-{last}\naddress: {own}\nzone: {zone}\n"
                "regions: {a1: a, b1: b}\npeer_ports: [7700, 7715]\n"
                f"seeds: ['{self.address(11)}:8000', '{self.address(12)}:8000']\n"
                f"replica: {own}:8001\nservice: pool\nstore: {self.store[0]}:{self.store[1]}\n"
                "repeat_ratio: 0.2\nrepeat_slack: 100\nrepeat_window_s: 10\napply_ms: 2000\n"
                f"version_ms: 8000\ngrace_s: {GRACE_S}\nmax_ttl_s: 5\nlink_mbps: 9.4\n"
            )
        return self.spawn(f"agent-{last}", [PROGRAM, "agent", "--settings", path])

    def restart_entry(self, last):
        """Starts an entry again after its process ended."""
        self.entries[last].wait()
        return self.start_entry(last)

    async def append(self, topic, key, value):
        """Writes a record; without a value it removes the key."""
        value = json.dumps(value).encode() if value is not None else b""
        record = struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key.encode() + value
        status, _, _ = await call(
            self.store, "POST", f"/log-append?topic={topic}&part=0", {}, record, 2.0
        )
        if status != 200:
            raise CannotRun(f"the store answered {status}")
        verb = "wrote" if value else "removed"
        self.record(f"operator or replica {verb} {topic} {key}, acknowledged")

    async def write_config(self, version, routes, max_body_bytes=4194304):
        await self.append("keyed.op", "config", {
            "version": version,
            "routes": routes,
            "services": [{"name": "pool", "max-conns": 194}],
            "limits": {"max-header-bytes": 8192, "max-body-bytes": max_body_bytes,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 8000},
            "tenants": [{"name": TENANT, "api-keys": [KEY]}],
        })

    async def list_replica(self, replica, state="ready"):
        replica.seq_no += 1
        record = {
            "service": "pool", "address": f"{replica.address[0]}:{replica.address[1]}",
            "zone": replica.zone, "version": 1, "max-batch": replica.slots, "state": state,
            "warmup-left-ms": 0, "seq-no": replica.seq_no,
        }
        if replica.born is not None:
            record["born"] = replica.born
        await self.append("keyed.servers", replica.id, record)

    async def wait_ready(self, lasts, timeout_s=15.0):
        until = time.monotonic() + timeout_s
        for last in lasts:
            while True:
                try:
                    status, _, _ = await call((self.address(last), 8002), "GET", "/readyz", {}, b"", 1.0)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if until < time.monotonic():
                    raise CannotRun(f"entry-{last} does not become ready")
                await asyncio.sleep(0.1)
            self.record(f"entry-{last} is ready")


def route(name, prefix, kind, timeout_ms, goal_ms=150, attempts=2):
    return {"name": name, "host": HOST, "path-prefix": prefix, "service": "pool",
            "route-kind": kind, "timeout-ms": timeout_ms, "latency-goal-ms": goal_ms,
            "max-attempts": attempts, "priority": 1}


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def call(address, method, path, headers, body, timeout_s):
    """Sends one request on a new connection; returns status, headers and body."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {headers.get('Host', HOST)}\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in headers.items() if k != "Host")
            head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            first, fields = await read_head(reader)
            return int(first.split()[1]), fields, await read_body(reader, fields)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout_s)


class Replica:
    """A sound replica of a plain service. `answer` may be replaced for single requests."""

    def __init__(self, fleet, last, zone="a1", slots=16, work_s=0.03):
        self.fleet = fleet
        self.address = (fleet.address(last), 8001)
        self.id = f"i-{last:02d}{random.getrandbits(32):08x}"
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.running = 0
        self.ran = []
        self.arrivals = []
        self.spoil = None
        self.seq_no = 0
        # Start in Unix milliseconds, for deployments in which a replica keeps its id.
        self.born = None
        self.streams = {}
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    def crash(self):
        """Ends the listener and all connections at once, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.fleet.record(f"replica {self.id} of start {self.born} crashes")

    async def stream(self, id, writer):
        """Sends the events of a stream, and notes whether it was complete."""
        born = self.born
        self.streams[id] = (born, "running")
        head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {self.id}.{id}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(head.encode())
        try:
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                if writer.is_closing():
                    raise ConnectionResetError
                event = f"id: {number}\ndata: {id}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.streams[id] = (born, "complete")
        except OSError:
            crashed = "crashed" if self.born != born or not self.server.is_serving() else "cut off"
            self.streams[id] = (born, crashed)
            self.fleet.record(f"replica {self.id} of start {born}: stream {id} {crashed}")
            raise

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                self.arrivals.append((self.fleet.now(), fields.get("x-attempt-id")))
                body = await read_body(reader, fields)
                await self.respond(first, fields, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, first, fields, body, writer):
        id = fields.get("x-attempt-id")
        refusal = None
        if id is None:
            refusal = "400 Bad Request"
        elif fields.get("x-target-replica") != self.id:
            refusal = "421 Misdirected Request"
        elif self.slots <= self.running:
            refusal = "503 Service Unavailable"
        if refusal:
            self.fleet.record(f"replica {self.id} answers {id} with {refusal}, not run")
            echo = f"X-Attempt-Id: {id}\r\n" if id else ""
            writer.write(f"HTTP/1.1 {refusal}\r\n{echo}X-Not-Executed: 1\r\nX-Replica-Id: {self.id}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        self.running += 1
        self.ran.append(id)
        self.fleet.record(f"replica {self.id} runs {id}, body of {len(body)} bytes")
        try:
            if first.split()[1].startswith("/stream/"):
                await self.stream(id, writer)
                return
            await asyncio.sleep(self.work_s)
            if self.spoil and await self.spoil(self, id, writer, first.split()[1]):
                return
            answer = f"answer to {id}".encode()
            writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {self.id}.{id}\r\n"
                         f"Keep-Alive: timeout=5\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + answer)
            await writer.drain()
        finally:
            self.running -= 1


class Link:
    """The path of one entry to the store. While it is cut, bytes wait, as behind a partition."""

    def __init__(self, fleet, last):
        self.fleet = fleet
        self.last = last
        self.address = (fleet.address(100 + last), 8007)
        self.open = asyncio.Event()
        self.open.set()
        # Time of the last read of the list of replicas.
        self.read_list_at = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            await self.open.wait()
            store_reader, store_writer = await asyncio.open_connection(*self.fleet.store)
            await asyncio.gather(self.forward(reader, store_writer, True),
                                 self.forward(store_reader, writer, False))
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def forward(self, reader, writer, to_store):
        try:
            while piece := await reader.read(65536):
                if to_store and b"topic=keyed.servers" in piece:
                    self.read_list_at = self.fleet.now()
                await self.open.wait()
                writer.write(piece)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def cut(self, seconds):
        self.fleet.record(f"entry-{self.last} is cut off from the store for {seconds} s")
        self.open.clear()
        await asyncio.sleep(seconds)
        self.open.set()
        self.fleet.record(f"entry-{self.last} reaches the store again")


class Request:
    """One client attempt and what became of it."""

    def __init__(self, entry, path, method, sent, timeout_s):
        self.id = f"{random.getrandbits(64):016x}"
        self.entry = entry
        self.path = path
        self.method = method
        self.sent = sent
        self.timeout_s = timeout_s
        self.outcome = None
        self.took = None


async def send(fleet, last, path, method="GET", body=b"", timeout_s=1.5, give_up_s=None):
    """Sends one client attempt to an entry, and records its outcome."""
    request = Request(last, path, method, fleet.now(), timeout_s)
    headers = {"X-Attempt-Id": request.id, "X-Key": KEY, "X-Deadline-Ms": str(int(timeout_s * 1000))}
    give_up_s = give_up_s or timeout_s + 1.0
    try:
        status, fields, answer = await call(
            (fleet.address(last), 8005), method, path, headers, body, give_up_s)
        request.outcome = status
        if status == 200 and answer != f"answer to {request.id}".encode():
            request.outcome = "foreign answer"
    except asyncio.TimeoutError:
        request.outcome = "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        request.outcome = f"connection ended ({type(error).__name__})"
    request.took = fleet.now() - request.sent
    fleet.record(f"client {method} {path} {request.id} sent to entry-{last} at {request.sent:.3f}: "
                 f"{request.outcome} after {request.took:.3f} s")
    return request


class Caller:
    """A client with a kept connection, which sends one request at a time."""

    def __init__(self, fleet, last):
        self.fleet = fleet
        self.last = last
        self.streams = None

    async def send(self, path, method="GET", body=b"", timeout_s=1.5):
        """Sends a request; `kept` of the result tells whether its connection had carried another."""
        request = Request(self.last, path, method, self.fleet.now(), timeout_s)
        request.kept = self.streams is not None
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request.id}\r\n"
                f"X-Key: {KEY}\r\nX-Deadline-Ms: {int(timeout_s * 1000)}\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"

        async def exchange():
            if self.streams is None:
                self.streams = await asyncio.open_connection(self.fleet.address(self.last), 8005)
            reader, writer = self.streams
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            first, fields = await read_head(reader)
            answer = await read_body(reader, fields)
            if fields.get("connection", "").lower() == "close":
                self.close()
            return int(first.split()[1]), answer

        try:
            request.outcome, answer = await asyncio.wait_for(exchange(), timeout_s + 1.0)
            if request.outcome == 200 and answer != f"answer to {request.id}".encode():
                request.outcome = "foreign answer"
        except asyncio.TimeoutError:
            request.outcome = "no answer"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            request.outcome = "closed"
            self.close()
        request.took = self.fleet.now() - request.sent
        kept = "kept" if request.kept else "new"
        self.fleet.record(
            f"client {method} {path} {request.id} of {len(body)} bytes sent to entry-{self.last} on a "
            f"{kept} connection at {request.sent:.3f}: {request.outcome} after {request.took:.3f} s")
        return request

    async def stream(self, path, timeout_s=6.0):
        """Sends a request for a stream; the outcome is `complete`, `cut` or the status."""
        request = Request(self.last, path, "GET", self.fleet.now(), timeout_s)
        request.kept = self.streams is not None
        request.events = 0
        head = (f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request.id}\r\n"
                f"X-Key: {KEY}\r\nX-Deadline-Ms: {int(timeout_s * 1000)}\r\n\r\n")

        async def exchange():
            if self.streams is None:
                self.streams = await asyncio.open_connection(self.fleet.address(self.last), 8005)
            reader, writer = self.streams
            writer.write(head.encode())
            await writer.drain()
            first, fields = await read_head(reader)
            status = int(first.split()[1])
            if status != 200:
                await read_body(reader, fields)
                return status
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                request.events += (await reader.readexactly(size + 2)).count(b"id: ")
            await reader.readexactly(2)
            return "complete"

        try:
            request.outcome = await asyncio.wait_for(exchange(), timeout_s + 1.0)
        except asyncio.TimeoutError:
            request.outcome = "no answer"
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            request.outcome = "cut"
            self.close()
        request.took = self.fleet.now() - request.sent
        kept = "kept" if request.kept else "new"
        self.fleet.record(f"client GET {path} {request.id} sent to entry-{self.last} on a {kept} "
                          f"connection at {request.sent:.3f}: {request.outcome} after "
                          f"{request.events} events and {request.took:.3f} s")
        return request

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None


def rss_mb(child):
    """Returns the resident memory of a process and its peak, in MB."""
    try:
        with open(f"/proc/{child.pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        return int(fields["VmRSS"].split()[0]) / 1024, int(fields["VmHWM"].split()[0]) / 1024
    except (OSError, KeyError):
        return 0.0, 0.0


async def limit_memory(fleet):
    """Acts as the platform: kills a process that exceeds `memory-mb`, and starts it again."""
    while True:
        for last, child in list(fleet.entries.items()):
            rss, _ = rss_mb(child)
            fleet.peak[last] = max(fleet.peak.get(last, 0.0), rss)
            if MEMORY_MB < rss:
                fleet.record(f"platform: entry-{last} uses {rss:.0f} MB, over {MEMORY_MB}: killed")
                child.kill()
                await asyncio.sleep(1.0)
                fleet.restart_entry(last)
        await asyncio.sleep(0.02)


def record_outcomes(fleet, requests):
    """Records how often each outcome came, and the most memory of each entry."""
    outcomes = {}
    for it in requests:
        key = (it.entry, it.path, it.outcome)
        outcomes[key] = outcomes.get(key, 0) + 1
    for key, count in sorted(outcomes.items(), key=str):
        fleet.record(f"entry-{key[0]} {key[1]}: {count} x {key[2]}")
    for last, peak in fleet.peak.items():
        fleet.record(f"entry-{last}: {peak:.0f} MB at its peak")


def main(case, folder):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    fleet = None
    try:
        fleet = Fleet(folder)
        broken = asyncio.run(asyncio.wait_for(case(fleet), 110.0))
        fleet.record(f"verdict: {'rule broken' if broken else 'rule held'}")
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        message = f"could not run: {type(error).__name__} {error}"
        print(message)
        if fleet:
            fleet.record(message)
        code = 2
    finally:
        if fleet:
            fleet.end()
    print({0: "rule held", 1: "rule broken", 2: "could not run"}[code])
    sys.exit(code)
