"""Unsafe requests that ran and failed, and what the consumer is told of them; see claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from fleet import CannotRun, Consumer, Fleet, run_case

KEY = "n2ctnfzs989anu6wsjnb"
MACHINES, WORKERS = 8, 3
CONSUMERS_A_MACHINE = 2
PLAY_S = 10
# srv_grey of lisovna-hub: share 0.14 (the bench takes 1 of the 3 workers), x = 0.45, for_s = 6.5.
FAILED, GREY_S = 0.45, 6.5
PROMISES = (408, 421, 429, 503)


def configuration():
    route = dict(name="slot-booking", host="ficu95.example", prefix="/booking/", kind="unsafe", service="booking-app",
                 timeoutMs=1500, goalMs=100, priority=0, maxAttempts=2)
    return {"version": 7, "routes": [route],
            "services": [{"name": "booking-app", "healthPath": "/health", "maxConns": 110}],
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "prepaid": 3179661}]}


async def consume(fleet, address, until, answers):
    """Books one slot after the other. Repeats a booking, with a new id, only after a promise that it has not run."""
    consumer = Consumer(fleet.record)
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        booking = Consumer.new_id()
        for _ in range(2):
            id = Consumer.new_id()
            fields = {"X-Request-Id": id, "X-Deadline-Ms": "1500", "Authorization": f"Bearer {KEY}", "X-Plan": "1,15",
                      "X-Booking": booking}
            answer = await consumer.send(address, "POST", "/booking/slot", fields, b"slot", limit_s=2, note=f"booking {booking}")
            answers[id] = (booking, answer.status)
            if answer.status not in PROMISES:
                break
            await asyncio.sleep(min(0.5, float(answer.fields.get("retry-after", "0"))))
        await asyncio.sleep(0.05)


async def play(record, trouble):
    fleet, answers = Fleet(record), {}
    try:
        await fleet.start(MACHINES, [(f"b-{n}", "booking-app", f"sk-central-{'abc'[n % 3]}", 6) for n in range(WORKERS)],
                          configuration())
        until = asyncio.get_running_loop().time() + PLAY_S
        tasks = [asyncio.create_task(consume(fleet, router.front, until, answers))
                 for router in fleet.routers for _ in range(CONSUMERS_A_MACHINE)]
        await asyncio.sleep(2)
        if trouble:
            grey = max(fleet.workers, key=lambda it: len(it.runs))
            record.write(f"runs so far: {', '.join(f'{it.name} {len(it.runs)}' for it in fleet.workers)}")
            record.write(f"srv_grey: {grey.name} runs requests and fails {FAILED} of them with 503, without X-Not-Run, for {GREY_S} s")
            grey.failed_share, grey.failed_status = FAILED, 503
            await asyncio.sleep(GREY_S)
            grey.failed_share = 0.0
            record.write("srv_grey: over")
        await asyncio.gather(*tasks)
        ran = {run["id"] for run in fleet.runs()}
        failed = {run["id"] for run in fleet.runs() if run.get("failed")}
        if trouble and not failed:
            raise CannotRun("the worker had no request to fail")
        broken = [id for id, (_, status) in answers.items() if status in PROMISES and id in ran]
        runs_of = {}
        for id, (booking, _) in answers.items():
            runs_of[booking] = runs_of.get(booking, 0) + (id in ran)
        doubled = sum(1 for count in runs_of.values() if count > 1)
        text = (f"{len(answers)} requests, {len(failed)} ran and failed, {len(broken)} ran and were answered with a promise, "
                f"{doubled} bookings ran twice since their consumer relied on it")
        record.write(text)
        print(text)
        return [f"REFUSED: {id} has run and was answered {answers[id][1]}" for id in broken]
    finally:
        fleet.stop()


run_case(os.path.dirname(os.path.abspath(__file__)), play)
