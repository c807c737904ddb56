"""Stand-ins and processes of a small deployment on loopback addresses, for the cases 11 to 15.

The store and the workers follow PROTOCOL.md; the routers are the project's own program, started with the
command and the settings template of deploy/system.toml. Nothing here knows how the router works inside.
"""
import asyncio
import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# The sheet of lisovna-hub in SYSTEM.md and DEPLOY.md.
BOUNDS = dict(seedLagS=3, reuseAfterS=2, contactMs=3000, ackMs=4000, catchUpS=4, drainMs=2000, graceS=8,
              lossSlackMs=200, configApplyMs=2000, rollbackSlackMs=250, skewMaxMs=5000, budgetRatio=0.2,
              budgetWindowS=10, budgetSlack=56, recoverS=12, passMs=120, reuseWindowS=8.7, settle_ms=1500,
              ttl_max_s=5)
LIMITS = dict(cpuShare=0.25, cores=1, memoryMb=110, maxFds=4100, linkMbps=1000.0, diskMb=0)
ZONES = ["sk-central-a", "sk-central-b", "sk-central-c"]
HOST = "ficu95.example"
STRIDE = 6


class CannotRun(Exception):
    pass


# Errors of the stand-ins themselves: with one, a case has shown nothing.
stand_in_errors = []


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def close(self):
        self.file.close()


def free_net():
    """Returns the first two figures of loopback addresses on which nobody listens: the store's, the workers' and
    those of up to 12 machines."""
    places = [(socket.SOCK_STREAM, "0.1", 8223)] + [(socket.SOCK_STREAM, f"2.{n}", 8300) for n in range(1, 13)]
    for n in range(1, 13):
        places += [(socket.SOCK_STREAM, f"1.{n}", port) for port in (8227, 8220, 8224, 7355, 9464)]
        places.append((socket.SOCK_DGRAM, f"1.{n}", 7340))
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}"
        try:
            for kind, rest, port in places:
                with socket.socket(type=kind) as probe:
                    if kind == socket.SOCK_STREAM:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{net}.{rest}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# HTTP -----------------------------------------------------------------------------------------------

async def read_head(reader):
    """Returns the first line and the fields, by lower-case names; None at the end of the channel."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Yields the parts of a body; raises IncompleteReadError if it ends early."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return
            yield await reader.readexactly(size)
            await reader.readexactly(2)
    elif int(fields.get("content-length", "0")):
        yield await reader.readexactly(int(fields["content-length"]))


async def whole_body(reader, fields):
    return b"".join([part async for part in read_body(reader, fields)])


def plain(status, reason, body=b"", fields=""):
    return f"HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


# The platform's store -------------------------------------------------------------------------------

class Store:
    """The platform's store of PROTOCOL.md: transactions, reads and feeds, linearizable."""

    def __init__(self, record, tx_ms=4.0):
        self.record = record
        self.rows = {}
        self.log = []
        self.version = 0
        self.tx_s = tx_ms / 1000
        # Share of the writes that are done and not answered.
        self.lost_share = 0.0
        # Answers take so many times as long.
        self.slow = 1.0
        self.random = random.Random(1)
        self.changed = asyncio.Event()

    async def start(self, address):
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 22)

    def put(self, table, key, value):
        """A write of the operator or of a worker."""
        self.apply([(table, "", key, None if value is None else json.dumps(value).encode())])

    def apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.log.append((self.version, table, part, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def shown(table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, rows, version=None):
        return {"rows": rows, "hasMore": False, "ver": self.version if version is None else version,
                "nowMs": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await whole_body(reader, head[1])
                status, document = await self.handle(method, target, body)
                if status is None:
                    # A channel on which an answer is lost delivers nothing further.
                    await reader.read()
                    break
                writer.write(plain(status, "OK" if status == 200 else "Failed", json.dumps(document).encode(),
                                   "Content-Type: application/json\r\n"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except Exception as ex:  # reported by run_case
            stand_in_errors.append(repr(ex))
        finally:
            writer.close()

    async def handle(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/carawaykeel/rows-get":
            await asyncio.sleep(self.tx_s * self.slow)
            rows = [self.shown(table, part, key, value, version)
                    for (table, part, key), (value, version) in sorted(self.rows.items())
                    if table == query["table"] and part == query.get("part", "") and key >= query.get("from", "")
                    and ("to" not in query or key < query["to"])]
            return 200, self.answer(rows)
        if url.path == "/carawaykeel/rows-feed":
            return await self.feed(query["table"], int(query["sinceRev"]), int(query.get("waitMs", "0")))
        if url.path == "/carawaykeel/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    async def feed(self, table, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            found = [it for it in self.log if it[1] == table and it[0] > since]
            left = until - time.monotonic()
            if found or left <= 0:
                await asyncio.sleep(self.tx_s * self.slow)
                newest = {(it[2], it[3]): it for it in self.log if it[1] == table and it[0] > since}
                rows = [self.shown(it[1], it[2], it[3], it[4], it[0]) for it in sorted(newest.values(), key=lambda it: it[0])]
                return 200, self.answer(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, call):
        # The write is done when it is reached; a slow store answers later.
        await asyncio.sleep(self.tx_s * self.slow / 2)
        if any(row["table"] in ("op", "servers") for row in call.get("writes", []) + call.get("remove", [])):
            return 403, {}
        expected = call.get("expectedRev", [])
        for row in expected:
            key = (row["table"], row.get("part", ""), row["key"])
            if self.rows.get(key, (None, 0))[1] != row["ver"]:
                current = [self.shown(*k, *self.rows[k]) for k in
                           ((r["table"], r.get("part", ""), r["key"]) for r in expected) if k in self.rows]
                await asyncio.sleep(self.tx_s * self.slow / 2)
                return 412, self.answer(current)
        self.apply([(row["table"], row.get("part", ""), row["key"], base64.b64decode(row["value"]))
                    for row in call.get("writes", [])]
                   + [(row["table"], row.get("part", ""), row["key"], None) for row in call.get("remove", [])])
        version = self.version
        if self.random.random() < self.lost_share:
            self.record.write("store: a write is done and not answered")
            return None, None
        await asyncio.sleep(self.tx_s * self.slow / 2)
        return 200, self.answer([], version)


# Workers --------------------------------------------------------------------------------------------

class Worker:
    """A worker of PROTOCOL.md. `X-Plan: EVENTS,MS` of a request sets how many events its stream has and how
    long the run takes; a plain request runs for that long."""

    def __init__(self, record, name, address, service, zone, slots=64):
        self.record, self.name, self.address, self.service, self.zone = record, name, address, service, zone
        self.slots = slots
        self.running = 0
        self.runs = []
        self.born = int(time.time() * 1000)
        # Share of the answers that are spoiled: a letter in the name of one line of the head is wrong. The lines
        # that say where the answer ends stay as they are.
        self.spoiled_share = 0.0
        self.spoiled_count = 0
        # Share of the plain requests that the worker runs and then fails with this status.
        self.failed_share = 0.0
        self.failed_status = 500
        self.random = random.Random(name)

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": 1, "slots": self.slots,
                "state": state, "coldLeftMs": 0, "seq": 1, "born": self.born, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 22)

    def spoil(self, head):
        if self.random.random() >= self.spoiled_share:
            return head
        self.spoiled_count += 1
        lines = head.split("\r\n")
        n = self.random.choice([n for n, line in enumerate(lines)
                                if line.startswith(("Content-Type", "X-Request-Id", "X-Server-Stamp", "X-Server-Load"))])
        self.record.write(f"worker {self.name}: spoils the line {lines[n]}")
        lines[n] = "Q" + lines[n][1:]
        return "\r\n".join(lines)

    def load(self):
        return f"{min(self.running, self.slots)},{max(self.running - self.slots, 0)},{self.slots}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await whole_body(reader, fields)
                if not await self.handle(line, fields, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except Exception as ex:  # reported by run_case
            stand_in_errors.append(repr(ex))
        finally:
            writer.close()

    async def handle(self, line, fields, body, reader, writer):
        id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(plain(421, "Misdirected Request", b"", f"X-Request-Id: {id}\r\nX-Instance-Id: {self.name}\r\n"))
            return True
        self.running += 1
        run = {"id": id, "worker": self.name, "fields": fields, "line": line, "events": 0, "at": time.monotonic()}
        self.runs.append(run)
        self.record.write(f"worker {self.name}: runs {id} counts {fields.get('x-token-counts', '-')} tenant {fields.get('x-tenant', '-')}")
        try:
            await self.run(run, fields, reader, writer)
        finally:
            self.running -= 1
        return True

    async def run(self, run, fields, reader, writer):
        events, ms = (int(it) for it in fields.get("x-plan", "4,20").split(","))
        common = (f"X-Request-Id: {run['id']}\r\nX-Server-Stamp: {self.name}.{run['id']}\r\n"
                  f"X-Server-Load: {self.load()}\r\nKeep-Alive: timeout=5\r\n")
        if "x-token-counts" not in fields:
            await asyncio.sleep(ms / 1000)
            if self.random.random() < self.failed_share:
                self.record.write(f"worker {self.name}: has run {run['id']} and fails it with {self.failed_status}")
                run["failed"] = True
                writer.write(plain(self.failed_status, "Failed", b"failed\n", common))
                return await writer.drain()
            writer.write(plain(200, "OK", b"b" * 800, common))
            return await writer.drain()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{common}Transfer-Encoding: chunked\r\n\r\n"
        writer.write(self.spoil(head).encode())
        first = int(fields.get("last-event-id", "0")) + 1
        for n in range(first, events + 1):
            event = f"id: {n}\ndata: {run['id']} {'t' * 40}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            run["events"] += 1
            await asyncio.sleep(ms / 1000 / events)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# Routers --------------------------------------------------------------------------------------------

def look_up(fields, path):
    value = fields
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)] if int(name) < len(value) else None
        else:
            value = value.get(name) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills in a template as DEPLOY.md describes it, as far as deploy/router.json.template needs it."""

    def section(match):
        value = look_up(fields, match.group(1))
        if isinstance(value, list):
            parts = [match.group(2).replace("{{.}}", str(it)).replace("{{,}}", "," if n + 1 < len(value) else "")
                     for n, it in enumerate(value)]
            return "".join(parts)
        return match.group(2) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)

    def value_of(match):
        value = look_up(fields, match.group(1))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Router:
    """One machine of class front."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.ip = f"{fleet.net}.1.{number}"
        self.front, self.ready, self.directory = (f"{self.ip}:{port}" for port in (8227, 8220, 8224))
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.name = f"front-{self.zone}-{number}"
        self.process = None

    def start(self):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        role = next(it for it in deploy["roles"].values() if "front" in it["serves"])
        fields = dict(nodeName=self.name, zone=self.zone, ip=self.ip, portRange=[7340, 7355],
                      seeds=[f"{self.fleet.net}.1.{n}:8229" for n in (1, 2, 3)], bounds=BOUNDS, limits=LIMITS,
                      listen=dict(front=self.front, ready=self.ready, control=f"{self.ip}:8229", directory=self.directory),
                      provider=dict(address=self.fleet.store_address))
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(open(os.path.join(ROOT, role["template"]), encoding="utf-8").read(), fields))
        program = role["run"].split(" ")
        if not os.access(os.path.join(ROOT, program[0]), os.X_OK):
            raise CannotRun(f"{program[0]} is not built")
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CARAWAYKEEL_SETTINGS"] = path
        self.process = subprocess.Popen(program, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.fleet.record.write(f"{self.name}: started at {self.front}")

    def send_signal(self, number):
        self.fleet.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log_text(self):
        return open(os.path.join(self.fleet.folder, self.name + ".log"), encoding="utf-8", errors="replace").read()

    async def is_ready(self):
        answer = await Consumer(self.fleet.record, quiet=True).send(self.ready, "GET", "/carawaykeel/ready", {}, limit_s=1)
        return answer.status == 200


class Fleet:
    """The store, the workers and the routers of a deployment."""

    def __init__(self, record):
        self.record = record
        self.net = free_net()
        self.folder = tempfile.mkdtemp(prefix="carawaykeel-review-")
        self.store = Store(record)
        self.store_address = f"{self.net}.0.1:8223"
        self.routers = []
        self.workers = []

    async def start(self, routers, workers, configuration):
        await self.store.start(self.store_address)
        self.store.put("op", "config", configuration)
        for name, service, zone, slots in workers:
            worker = Worker(self.record, name, f"{self.net}.2.{len(self.workers) + 1}:8300", service, zone, slots)
            await worker.start()
            self.workers.append(worker)
            self.store.put("servers", name, worker.entry())
        await asyncio.gather(*(self.add_router(wait_s=15) for _ in range(routers)))

    async def add_router(self, wait_s=0):
        router = Router(self, len(self.routers) + 1)
        self.routers.append(router)
        router.start()
        until = time.monotonic() + wait_s
        while wait_s and not await router.is_ready():
            if time.monotonic() > until or not router.is_running():
                raise CannotRun(f"{router.name} did not get ready: {router.log_text()[-300:]}")
            await asyncio.sleep(0.1)
        return router

    def runs(self):
        return [run for worker in self.workers for run in worker.runs]

    def stop(self):
        for router in self.routers:
            if router.is_running():
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
        for router in self.routers:
            if router.process:
                router.process.wait()
                router.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


# Consumers ------------------------------------------------------------------------------------------

class Answer:
    def __init__(self):
        self.status = None
        self.fields = {}
        self.body = b""
        self.is_complete = False
        self.error = ""

    def events(self):
        return [int(it) for it in re.findall(rb"id: (\d+)\n", self.body)]


class Consumer:
    """A consumer with one channel at a time."""
    numbers = itertools.count(1)

    def __init__(self, record, quiet=False):
        self.record, self.quiet = record, quiet
        self.address = None
        self.reader = self.writer = None

    async def connect(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22), 1)
        self.address = address

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = self.address = None

    @classmethod
    def new_id(cls):
        return f"{next(cls.numbers):08x}{random.getrandbits(32):08x}"

    async def send(self, address, method, path, fields, body=b"", limit_s=15.0, note=""):
        """Sends one request and returns what came of it. Keeps the channel if the answer allows it."""
        answer = Answer()
        answer.id = fields.get("X-Request-Id", "")
        if not self.quiet:
            self.record.write(f"consumer: {answer.id} to {address} {method} {path} counts {fields.get('X-Token-Counts', '-')} {note}")
        try:
            if self.address != address:
                self.close()
                await self.connect(address)
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
            self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{lines}{length}\r\n".encode() + body)
            await asyncio.wait_for(self.receive(answer), limit_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as ex:
            answer.error = type(ex).__name__
            self.close()
        if not self.quiet:
            self.record.write(f"consumer: {answer.id} got {answer.status} {'whole' if answer.is_complete else 'cut ' + answer.error}, "
                              f"{len(answer.body)} bytes, {len(answer.events())} events")
        return answer

    async def receive(self, answer):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionResetError
        answer.status = int(head[0].split(" ")[1])
        answer.fields = head[1]
        async for part in read_body(self.reader, head[1]):
            answer.body += part
        answer.is_complete = True
        if head[1].get("connection", "").lower() == "close":
            self.close()


# The frame of a case --------------------------------------------------------------------------------

def run_case(folder, play):
    """Plays a case: `play(record, trouble)` returns the list of breaks. Ends with the exit code of run.sh."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, trouble), 115))
        if stand_in_errors:
            raise CannotRun(f"a stand-in failed: {stand_in_errors[0]}")
        for it in breaks:
            record.write("BROKEN: " + it)
            print("BROKEN: " + it)
        code = 1 if breaks else 0
        print("the rule was broken" if breaks else "the rule held")
    except CannotRun as ex:
        print(f"the case could not run: {ex}")
    except (OSError, asyncio.TimeoutError) as ex:
        print(f"the case could not run: {type(ex).__name__} {ex}")
    finally:
        record.close()
    sys.exit(code)
