"""Stand-ins for the platform's store, workers and consumers, and routers as processes, all on loopback addresses.

The store has one listener for each router, so that a disruption can meet a single machine. Everything that is not
told to misbehave behaves as the users' pages say.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.environ.get("ROUTER", os.path.join(ROOT, "target/Services/Carawaykeeld/carawaykeeld"))
KEY = "key-of-tenant-one-0001"

# A script that is stopped early still ends its processes.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_net():
    """Returns the second byte of a loopback network that nobody uses."""
    while True:
        net = random.randrange(20, 250)
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{net}.0.1", 8000))
                return net
            except OSError:
                continue


async def read_head(reader):
    """Returns (first line, headers) or None at the end of the channel."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's store in the form of a table."""

    def __init__(self):
        self.rows = {}          # (table, key) -> (value, ver)
        self.log = []           # (ver, table, key, value or None)
        self.ver = 100
        self.start = now()
        self.changed = asyncio.Event()
        self.faults = {}        # listener's number -> function(method, path, body) or None
        self.floor = 0          # history below this version is gone
        self.servers = []
        self.commits = []       # (listener, status)

    def now_ms(self):
        return int((now() - self.start) * 1000) + 50000

    def put(self, table, key, value):
        self.ver += 1
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode()
                    if not isinstance(value, bytes) else base64.b64encode(value).decode())
        self._wake()

    def remove(self, table, key):
        self.ver += 1
        self._drop(table, key)
        self._wake()

    def _write(self, table, key, value):
        self.rows[(table, key)] = (value, self.ver)
        self.log.append((self.ver, table, key, value))

    def _drop(self, table, key):
        self.rows.pop((table, key), None)
        self.log.append((self.ver, table, key, None))

    def _wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def transact(self, call):
        conditions = call.get("expectedRev", [])
        if any(self.rows.get((it["table"], it["key"]), (None, 0))[1] != it["ver"] for it in conditions):
            rows = [{"table": it["table"], "part": "", "key": it["key"], "value": value, "ver": ver}
                    for it in conditions
                    for value, ver in [self.rows.get((it["table"], it["key"]), (None, 0))] if value is not None]
            return 412, {"rows": rows, "ver": self.ver, "nowMs": self.now_ms()}
        self.ver += 1
        for it in call.get("writes", []):
            self._write(it["table"], it["key"], it["value"])
        for it in call.get("remove", []):
            self._drop(it["table"], it["key"])
        self._wake()
        return 200, {"ver": self.ver, "nowMs": self.now_ms()}

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/carawaykeel/rows-tx":
            await asyncio.sleep(0.004)
            return self.transact(json.loads(body))
        if parts.path == "/carawaykeel/rows-get":
            await asyncio.sleep(0.004)
            keys = sorted(key for table, key in self.rows if table == query["table"])
            keys = [key for key in keys if key >= query.get("from", "") and ("to" not in query or key < query["to"])]
            rows = [{"table": query["table"], "part": "", "key": key, "value": self.rows[(query["table"], key)][0],
                     "ver": self.rows[(query["table"], key)][1]} for key in keys[:500]]
            return 200, {"rows": rows, "hasMore": len(keys) > 500, "ver": self.ver, "nowMs": self.now_ms()}
        if parts.path == "/carawaykeel/rows-feed":
            since, until = int(query["sinceRev"]), now() + int(query.get("waitMs", "0")) / 1000
            while True:
                if since < self.floor:
                    return 410, {}
                changes = [it for it in self.log if it[0] > since and it[1] == query["table"]]
                if changes or now() >= until:
                    rows = [{"table": table, "part": "", "key": key, "ver": ver,
                             **({"value": value} if value is not None else {"removed": True})}
                            for ver, table, key, value in changes]
                    return 200, {"rows": rows, "ver": self.ver, "nowMs": self.now_ms()}
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    async def serve(self, number, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                fault = self.faults.get(number)
                step = fault(method, target, body) if fault else None
                if step == "reset":
                    return reset(writer)
                if step == "silent":
                    await asyncio.sleep(3600)
                if step == "busy":
                    status, reply = 503, {}
                else:
                    status, reply = await self.answer(method, target, body)
                if target.endswith("rows-tx"):
                    self.commits.append((number, status, body))
                if step == "lost":
                    await asyncio.sleep(3600)
                if step == "lost-reset":
                    return reset(writer)
                if isinstance(step, float):
                    await asyncio.sleep(step)
                text = json.dumps(reply).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def listen(self, number, host, port):
        self.servers.append(await asyncio.start_server(
            lambda r, w: self.serve(number, r, w), host, port, limit=1 << 24))


class Worker:
    """A worker. `behave` answers a request; the default is a whole answer of its own."""

    def __init__(self, store, record, name, service, host, port, slots=64, behave=None):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.host, self.port, self.slots = host, port, slots
        self.behave = behave or Worker.plain
        self.runs = []
        self.server = None
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.arrivals = []

    def announce(self, state="ready"):
        self.seq += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": "zone-a", "version": "v1",
            "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": self.seq, "born": self.born})

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 24)
        self.announce()

    def stamp(self, request_id):
        return f"stamp.{self.name}.{request_id}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                expected = head[1].get("x-expect-instance")
                if expected and expected != self.name:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {head[1].get('x-request-id', '')}"
                                 f"\r\nX-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.arrivals.append((now(), head[0], head[1], body))
                if await self.behave(self, head[0], head[1], body, reader, writer) == "close":
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def ran(self, request_id, what=""):
        self.runs.append(request_id)
        self.record(f"worker {self.name} runs {request_id} {what}")

    async def plain(self, line, headers, body, reader, writer):
        request_id = headers.get("x-request-id", "")
        self.ran(request_id)
        writer.write(self.whole(request_id, b"ok " + request_id.encode()))

    def whole(self, request_id, body, status="200 OK", more=""):
        return (f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\nX-Server-Stamp: {self.stamp(request_id)}\r\n"
                f"{more}Content-Length: {len(body)}\r\n\r\n").encode() + body


class Router:
    """A router process, started with the deploy file's command."""

    def __init__(self, net, number, work, store_address, zone="zone-a", seeds=(1, 2, 3), extra=None):
        self.net, self.number, self.host = net, number, f"127.{net}.1.{number}"
        self.file = os.path.join(work, f"router-{number}.json")
        self.log_path = os.path.join(work, f"router-{number}.log")
        self.store_address, self.zone, self.seeds, self.extra = store_address, zone, seeds, extra or {}
        self.process = None
        self.write_settings()

    def write_settings(self):
        settings = {
            "name": f"front-{self.number}", "data_centre": self.zone,
            "callers": {"address": f"{self.host}:8227", "ready_address": f"{self.host}:8220",
                        "entry_address": f"{self.host}:8224", "longest_entry_keep_s": 5},
            "vm": {"core_share": 0.25, "link_mbps": 1000.0, "memory_mb": 110, "max_descriptors": 4100},
            "metrics_address": f"{self.host}:9464",
            "table_service": {"address": self.store_address},
            "peers": {"address": f"{self.host}:7355", "gossip_address": f"{self.host}:7340",
                      "seeds": [f"127.{self.net}.1.{n}:8229" for n in self.seeds],
                      "key": "carawaykeel-fleet-on-one-platform"},
            "retries": {"ratio": 0.2, "slack": 56, "window_s": 10},
            "shut_down_limit_s": 8, **self.extra}
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG", "ASAN_OPTIONS") if name in os.environ}
        environment["CARAWAYKEEL_SETTINGS"] = self.file
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen([DAEMON, "route"], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def ready(self, timeout=15):
        until = now() + timeout
        while now() < until:
            try:
                status, _, _ = await request(self.host, 8220, "GET", "/carawaykeel/ready", {})
                if status == 200:
                    return True
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


async def read_answer(reader, method="GET"):
    """Returns (status, headers, body, whole); raises at the end of the channel before a head."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    status = int(head[0].split(" ")[1])
    headers = head[1]
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return status, headers, body, False
                size = int(line, 16)
                if size == 0:
                    await reader.readline()
                    return status, headers, body, True
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return status, headers, body, False
    try:
        return status, headers, await reader.readexactly(int(headers.get("content-length", "0"))), True
    except (asyncio.IncompleteReadError, ConnectionError) as ex:
        return status, headers, getattr(ex, "partial", b""), False


async def request(host, port, method, path, headers, body=b"", timeout=20):
    """Sends one request on a channel of its own; returns (status, headers, body)."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port, limit=1 << 24), 2)
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        status, answer, content, whole = await asyncio.wait_for(read_answer(reader, method), timeout)
        if not whole:
            raise ConnectionError("the answer was cut")
        return status, answer, content
    finally:
        writer.close()


def configuration(version, prepaid=None, more_routes=(), tenants=None, engine_attempts=2, stride=6, resume=True):
    """A configuration like that of a small deployment: an engine service and an application."""
    tenant = {"name": "tenant-one", "apiKeys": [KEY]}
    if prepaid is not None:
        tenant["prepaid"] = prepaid
    return {
        "version": version,
        "routes": [
            {"name": "r-stream", "host": "shop.example", "prefix": "/stream/", "kind": "stream", "timeoutMs": 15000,
             "goalMs": 800, "priority": 0, "service": "engine", "maxAttempts": engine_attempts, "public": False,
             "sticky": True, "canResume": resume, "gapTargetMs": 500},
            {"name": "r-once", "host": "shop.example", "prefix": "/once/", "kind": "unsafe", "timeoutMs": 1500,
             "goalMs": 100, "priority": 1, "service": "app", "maxAttempts": 2, "public": False},
            {"name": "r-safe", "host": "shop.example", "prefix": "/safe/", "kind": "safe", "timeoutMs": 1500,
             "goalMs": 100, "priority": 1, "service": "app", "maxAttempts": 2, "public": False},
            *more_routes],
        "services": [
            {"name": "engine", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCapacity": 432727, "kvBytes": 35136, "stride": stride, "models": [{"name": "m"}]}},
            {"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 2000, "idleTimeoutMs": 10000},
        "tenants": tenants if tenants is not None else [tenant]}
