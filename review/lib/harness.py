"""Stand-ins and helpers of the review's scripts: the platform's store, model workers, consumers, routers.

Everything runs on loopback addresses. Workers and routers are processes of their own, started and ended by
their process ids; the store and the consumers run in the script's process.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))


def deploy_command():
    """Returns the command of the deploy file's only role."""
    import tomllib
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return next(iter(roles.values()))["run"].split()


#: "A call holds at most 100 entries and at most 1 MB."
MAX_ENTRIES = 100


class HttpMessage:
    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    def get(self, name, default=""):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


async def read_chunks(reader, on_chunk):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        on_chunk(data[:-2])


async def read_message(reader):
    start, fields = await read_head(reader)
    message = HttpMessage(start, fields, b"")
    if message.get("Transfer-Encoding").lower() == "chunked":
        parts = []
        await read_chunks(reader, parts.append)
        message.body = b"".join(parts)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    return message


def response(status, fields, body):
    head = f"HTTP/1.1 {status}\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's table service, as its page tells: atomic conditional transactions and a change feed."""

    def __init__(self, address):
        self.address = address
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.intercept = None
        self.server = None
        #: Calls with more entries than a call may hold.
        self.refused_calls = 0

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def apply(self, writes, removals):
        self.version += 1
        for table, part, key, value in writes:
            self.rows[(table, part, key)] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        for place in removals:
            self.rows.pop(place, None)
            self.history.append((self.version, *place, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, document):
        """A write of the operator or of a worker."""
        self.apply([(table, "", key, base64.b64encode(json.dumps(document).encode()).decode())], [])

    def remove(self, table, key):
        self.apply([], [(table, "", key)])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.start.split(" ")
                if self.intercept and await self.intercept(method, target, request, writer):
                    return
                status, body = await self.answer(method, target, request.body)
                await asyncio.sleep(0.004)
                writer.write(response(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def common(self):
        return {"ver": self.version, "nowMs": int((time.monotonic() - self.started) * 1000) + 5_000_000}

    def row(self, place):
        value, version = self.rows[place]
        return {"table": place[0], "part": place[1], "key": place[2], "value": value, "ver": version}

    async def answer(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/carawaykeel/rows-get":
            low, high = query.get("from", ""), query.get("to", "")
            places = sorted(place for place in self.rows if place[0] == query["table"]
                            and place[1] == query.get("part", "") and place[2] >= low
                            and (not high or place[2] < high))
            return "200 OK", {"rows": [self.row(it) for it in places[:500]], "hasMore": len(places) > 500,
                              **self.common()}
        if url.path == "/carawaykeel/rows-feed":
            since, deadline = int(query["sinceRev"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                changes = {}
                for version, table, part, key, value in self.history:
                    if version > since and table == query["table"]:
                        changes[(part, key)] = {"table": table, "part": part, "key": key, "ver": version,
                                                **({"removed": True} if value is None else {"value": value})}
                left = deadline - time.monotonic()
                if changes or left <= 0:
                    return "200 OK", {"rows": sorted(changes.values(), key=lambda it: it["ver"]), **self.common()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/carawaykeel/rows-tx" and method == "POST":
            call = json.loads(body)
            place = lambda it: (it["table"], it.get("part", ""), it["key"])
            conditions = call.get("expectedRev", [])
            if sum(len(call.get(it, [])) for it in ("expectedRev", "writes", "remove")) > MAX_ENTRIES:
                self.refused_calls += 1
                return "400 Bad Request", {"error": "too many entries"}
            if any(self.rows.get(place(it), ("", 0))[1] != it["ver"] for it in conditions):
                return "412 Precondition Failed", {"rows": [self.row(place(it)) for it in conditions
                                                            if place(it) in self.rows], **self.common()}
            self.apply([(*place(it), it["value"]) for it in call.get("writes", [])],
                       [place(it) for it in call.get("remove", [])])
            return "200 OK", self.common()
        return "404 Not Found", {}


class Process:
    """A process that the script started."""

    def __init__(self, process, name):
        self.process, self.name = process, name

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Fleet:
    """The routers, workers and the store of one script."""

    def __init__(self, record, site):
        self.record = record
        self.net = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.site = site
        self.store = Store(f"{self.net}.250:8223")
        self.routers, self.workers, self.runs = {}, {}, []
        self.readers = []
        self.ended = []

    def address(self, router, port=8227):
        return f"{self.net}.{router}", port

    def settings(self, router):
        """The template of the deploy folder with a small deployment's figures, as the platform fills it in."""
        ip, bounds = f"{self.net}.{router}", self.site
        alive = [n for n, it in self.routers.items() if it.process.returncode is None and n != router]
        seeds = ", ".join(f'"{self.net}.{n}:8229"' for n in (alive or [1, 2, 3])[-3:])
        return f"""{{
    "name": "front-{router}",
    "data_centre": "zone-{(router - 1) % 3 + 1}",
    "callers": {{ "address": "{ip}:8227", "ready_address": "{ip}:8220", "entry_address": "{ip}:8224",
        "longest_entry_keep_s": {bounds["ttl_max_s"]} }},
    "vm": {{ "core_share": 0.25, "link_mbps": 1000.0 }},
    "metrics_address": "{ip}:9464",
    "table_service": {{ "address": "{self.store.address}" }},
    "peers": {{ "address": "{ip}:7355", "gossip_address": "{ip}:7340", "seeds": [{seeds}],
        "key": "carawaykeel-fleet-on-one-platform" }},
    "retries": {{ "ratio": {bounds["budgetRatio"]}, "slack": {bounds["budgetSlack"]},
        "window_s": {bounds["budgetWindowS"]} }},
    "shut_down_limit_s": {bounds["graceS"]}
}}
"""

    async def start_router(self, n):
        path = os.path.join(self.folder, f"router-{n}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(n))
        log = open(os.path.join(self.folder, f"router-{n}.log"), "ab")
        environment = {"PATH": os.environ["PATH"], "CARAWAYKEEL_SETTINGS": path}
        command = (os.environ.get("REVIEW_ROUTER") or "").split() or deploy_command()
        process = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        self.routers[n] = Process(process, f"front-{n}")
        asyncio.ensure_future(self.watch(n, process))
        self.record(f"router front-{n} starts, pid {process.pid}")

    async def watch(self, n, process):
        code = await process.wait()
        self.ended.append((self.record.now(), n, code))
        self.record(f"router front-{n} ends, code {code}")

    async def start_worker(self, name, n, options, announce=True):
        ip, port = f"{self.net}.{100 + n}", 8120
        process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "worker.py"), json.dumps({"id": name, "ip": ip, "port": port, **options}),
            stdout=asyncio.subprocess.PIPE)
        self.workers[name] = Process(process, name)
        self.readers.append(asyncio.ensure_future(self.read_runs(name, process.stdout)))
        while True:
            try:
                _, writer = await asyncio.open_connection(ip, port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.02)
        if announce:
            self.announce(name, n, options)

    def announce(self, name, n, options, state="ready"):
        self.store.put("servers", name, {
            "service": options["service"], "address": f"{self.net}.{100 + n}:8120", "zone": f"zone-{n % 3 + 1}",
            "version": "1", "slots": options.get("slots", 64), "state": state, "coldLeftMs": 0, "seq": 1,
            "born": int(time.time() * 1000)})

    async def read_runs(self, name, stream):
        while line := await stream.readline():
            event = json.loads(line)
            event["worker"] = name
            self.runs.append(event)
            self.record(f"worker {name}: {event['what']} {event.get('id', '')} {event.get('more', '')}")

    async def wait_ready(self, routers, limit=15):
        end = time.monotonic() + limit
        for n in routers:
            while True:
                answer = await call(self.address(n, 8220), "GET", "/carawaykeel/ready", {}, b"", 1)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError(f"router {n} isn't ready")
                await asyncio.sleep(0.1)

    async def close(self):
        for process in [*self.routers.values(), *self.workers.values()]:
            await process.end()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self):
        self.status, self.fields, self.body = 0, [], b""
        self.is_complete = False
        self.events = 0
        self.error = ""

    def get(self, name):
        return next((value for key, value in self.fields if key.lower() == name.lower()), "")


async def call(address, method, path, fields, body, timeout, channel=None):
    """One consumer attempt on a channel of its own, or on the channel given."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            if channel:
                reader, writer = channel
            else:
                reader, writer = await asyncio.open_connection(*address)
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields.items())
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            start, answer.fields = await read_head(reader)
            answer.status = int(start.split(" ")[1])
            if answer.get("Transfer-Encoding").lower() == "chunked":
                def on_chunk(data):
                    answer.body += data
                await read_chunks(reader, on_chunk)
            else:
                answer.body = await reader.readexactly(int(answer.get("Content-Length") or 0))
            answer.is_complete = True
    except asyncio.TimeoutError:
        answer.error = "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as ex:
        answer.error = f"{type(ex).__name__}"
    finally:
        if writer and not channel:
            writer.close()
    answer.events = answer.body.count(b"\n\n")
    return answer


def run_case(main):
    """Runs a case's main(record, has_trouble) and exits with its code; 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(asyncio.wait_for(main(record, has_trouble), 115))
    except Exception as ex:  # The case couldn't run.
        record(f"the case couldn't run: {type(ex).__name__}: {ex}")
        print(f"the case couldn't run: {type(ex).__name__}: {ex}")
        code = 2
    record(f"exit code {code}")
    sys.exit(code)
