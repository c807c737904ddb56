"""A worker as the users' page tells: one process, one service; prints what it runs as lines of JSON.

Options (one JSON object): id, ip, port, service, slots; first_ms (time to the first event), events, gap_ms;
work_ms (a plain service); size (bytes of a plain answer).
"""
import asyncio
import fcntl
import json
import os
import random
import signal
import socket
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from harness import read_message, response

options = json.loads(sys.argv[1])
running = 0


def tell(what, request_id="", more=""):
    print(json.dumps({"what": what, "id": request_id, "more": more}), flush=True)


async def stream(request, writer, request_id, stamp):
    last = int(request.get("Last-Event-Id") or 0)
    await asyncio.sleep(options.get("first_ms", 60) / 1000)
    fields = [("Content-Type", "text/event-stream"), ("X-Request-Id", request_id), ("X-Server-Stamp", stamp),
              ("Transfer-Encoding", "chunked"), ("X-Weight-Versions", "1"), ("Keep-Alive", "timeout=5")]
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields) + "\r\n").encode())
    _, limit = request.get("X-Token-Counts", "0,64").split(",")
    count = min(options.get("events", 10), max(1, int(limit)))
    for n in range(last + 1, count + 1):
        event = f"id: {n}\ndata: {request_id} piece {n}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        if n < count:
            await asyncio.sleep(options.get("gap_ms", 20) / 1000)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def plain(request, writer, request_id, stamp):
    await asyncio.sleep(options.get("work_ms", 15) / 1000)
    body = (request_id + ":").encode() + b"x" * options.get("size", 800)
    writer.write(response("200 OK", [("X-Request-Id", request_id), ("X-Server-Stamp", stamp),
                                     ("X-Server-Load", f"{running},0,{options.get('slots', 64)}"),
                                     ("Keep-Alive", "timeout=5")], body))
    await writer.drain()


async def serve(reader, writer):
    global running
    try:
        while True:
            request = await read_message(reader)
            method, target, _ = request.start.split(" ")
            request_id = request.get("X-Request-Id")
            if target.startswith("/health"):
                writer.write(response("200 OK", [("X-Instance-Id", options["id"])], b""))
                continue
            expected = request.get("X-Expect-Instance")
            if expected and expected != options["id"]:
                tell("refuses", request_id, "421")
                writer.write(response("421 Misdirected Request", [("X-Request-Id", request_id), ("X-Not-Run", "1")], b""))
                continue
            tell("runs", request_id, f"tenant={request.get('X-Tenant')} deadline={request.get('X-Deadline-Ms')}")
            running += 1
            # A worker drops a request when its channel closes.
            work = asyncio.ensure_future((stream if options.get("stream") else plain)(
                request, writer, request_id, f"stamp.{options['id']}.{random.randint(0, 1 << 30):x}"))
            gone = asyncio.ensure_future(reader.read(0) if reader.at_eof() else wait_closed(reader))
            done, _ = await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            running -= 1
            if work not in done:
                work.cancel()
                tell("drops", request_id)
                return
            gone.cancel()
            work.result()
            tell("ends", request_id)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()


async def wait_closed(reader):
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((options["ip"], options["port"]))
    # The kernel closes the highest descriptor first when a process is killed: the port, then the channels.
    port = socket.socket(fileno=fcntl.fcntl(listener.fileno(), fcntl.F_DUPFD_CLOEXEC, 900))
    listener.close()
    server = await asyncio.start_server(serve, sock=port)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: sys.exit(0))
    async with server:
        await server.serve_forever()


asyncio.run(main())
