"""Three workers of one rack crash while each prefills a prompt; then comes the final fault."""
import asyncio
import json
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import ADVICE, BOUNDS, HOST, MODEL, configuration, fields, request_id
from harness import Fleet, call, run_case

ROUTERS = (1, 2, 3)
WORKERS = 12
RACK = 3
#: A worker's entry is removed after three liveness report intervals (`beatMs` 1,200) of silence.
EXPIRY_S = 3.6
BATCH_EVERY_S = 3.0
#: The part that all requests share (the instructions of the shop), and the part of each of three sessions.
INSTRUCTIONS = "5c1e07a2:119"
SESSIONS = ("91bd3f06:79", "a7730c1e:79", "04fe8d52:79")


async def main(record, has_trouble):
    fleet = Fleet(record, BOUNDS)
    sent = []
    try:
        await fleet.store.start()
        fleet.store.put("op", "config", configuration())
        options = {"service": MODEL, "slots": 64, "stream": True, "first_ms": 700, "events": 8, "gap_ms": 20}
        await asyncio.gather(*(fleet.start_worker(f"i-{n:08x}", n, options) for n in range(WORKERS)))
        for n in ROUTERS:
            await fleet.start_router(n)
        await fleet.wait_ready(ROUTERS)
        await asyncio.sleep(3)

        async def addresses():
            for n in random.sample(ROUTERS, len(ROUTERS)):
                answer = await call(fleet.address(n, 8224), "GET",
                                    f"/carawaykeel/resolve?name={HOST}&region=kamikawa&zone=zone-{n}", {}, b"", 1)
                if answer.status == 200:
                    return json.loads(answer.body)["addrs"]
            return []

        async def ask(session):
            known = await addresses()
            if not known:
                known = [f"{fleet.net}.{n}:8227" for n in ROUTERS]
            host, port = random.choice(known).split(":")
            request = request_id()
            prompt = f"{INSTRUCTIONS},{session},{random.getrandbits(32):08x}:430"
            at = record.now()
            record(f"consumer sends {request} to {host}")
            answer = await call((host, int(port)), "POST", ADVICE + "2f",
                                fields(request, 12000, prompt, "628,48"), b"{}" * 400, 12)
            is_served = answer.status == 200 and answer.is_complete and answer.events == 8
            record(f"consumer gets {request}: {answer.status} {answer.error} "
                   f"{'served' if is_served else answer.body[:160]!r}")
            sent.append((at, is_served, answer.status))

        async def batch():
            await asyncio.gather(*(ask(session) for session in SESSIONS))

        async def batches(count):
            for _ in range(count):
                running = asyncio.ensure_future(batch())
                await asyncio.sleep(BATCH_EVERY_S)
                await running

        await batches(5)
        rack = []
        for _ in range(8):
            running = asyncio.ensure_future(batch())
            await asyncio.sleep(0.35)
            ended = {run["id"] for run in fleet.runs if run["what"] in ("ends", "drops")}
            rack = sorted({run["worker"] for run in fleet.runs if run["what"] == "runs" and run["id"] not in ended})
            if len(rack) == RACK:
                break
            await asyncio.sleep(BATCH_EVERY_S - 0.35)
            await running
        else:
            raise RuntimeError("the requests were never at three workers")
        if has_trouble:
            record(f"the rack with {rack} loses power ({len(rack)} of {WORKERS} workers)")
            for name in rack:
                fleet.workers[name].signal(signal.SIGKILL)
                asyncio.get_running_loop().call_later(EXPIRY_S, fleet.store.remove, "servers", name)
        await asyncio.sleep(0.9)
        await running
        before = list(sent)
        if has_trouble:
            record("the final fault: all processes of the machines are killed")
            for n in ROUTERS:
                fleet.routers[n].signal(signal.SIGKILL)
            await asyncio.sleep(0.6)
            # The workers are back as well, each with a new id.
            for name in rack:
                n = int(name[2:], 16)
                await fleet.start_worker(f"i-{n + 64:08x}", n, options)
            record("the rack's workers are back")
            await asyncio.sleep(0.8)
            for n in ROUTERS:
                await fleet.start_router(n)
        await fleet.wait_ready(ROUTERS)
        back = record.now()
        record("all machines are back and ready")
        await batches(10)
        late = [it for it in sent if it[0] > back + BOUNDS["recoverS"]]
        share_before = sum(it[1] for it in before) / len(before)
        share_late = sum(it[1] for it in late) / len(late)
        record(f"served before the final fault: {share_before:.3f} of {len(before)}")
        record(f"served of the requests sent later than recoverS after the machines are back: "
               f"{share_late:.3f} of {len(late)}, answers {sorted({it[2] for it in late})}")
        is_broken = share_before >= 0.25 and share_late < 0.25
        print(f"RECOVER {'broken' if is_broken else 'held'}: served {share_before:.2f} before, {share_late:.2f} after")
        return 1 if is_broken else 0
    finally:
        await fleet.close()


run_case(main)
