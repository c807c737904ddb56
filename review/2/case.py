"""A change of the configuration adds teams and their route, so that more than 50 teams have a prepaid budget."""
import asyncio
import collections
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import ADVICE, BOUNDS, MODEL, configuration, fields, request_id
from harness import Fleet, call, run_case

ROUTERS = (1, 2, 3)
FIRST_TEAMS, MORE_TEAMS = 10, 50
NEW_ROUTE = "/neko318/"


def tenants(names):
    return [{"name": name, "apiKeys": [f"key-of-{name}-0123456789"], "priority": 1, "prepaid": 6_313_722}
            for name in names]


async def main(record, has_trouble):
    fleet = Fleet(record, BOUNDS)
    served = collections.defaultdict(list)
    try:
        await fleet.store.start()
        first = [f"first{n}" for n in range(FIRST_TEAMS)]
        more = [f"more{n}" for n in range(MORE_TEAMS)]
        fleet.store.put("op", "config", configuration(version=7, tenants=tenants(first)))
        options = {"service": MODEL, "slots": 64, "stream": True, "first_ms": 60, "events": 8, "gap_ms": 20}
        await asyncio.gather(*(fleet.start_worker(f"i-{n:08x}", n, options) for n in range(6)))
        for n in ROUTERS:
            await fleet.start_router(n)
        await fleet.wait_ready(ROUTERS)
        await asyncio.sleep(3)

        async def ask(phase, prefix, team):
            request = request_id()
            prompt = f"5c1e07a2:119,{random.randint(1, 40):08x}:79,{random.getrandbits(32):08x}:430"
            head = {**fields(request, 12000, prompt, "628,48"), "Authorization": f"Bearer key-of-{team}-0123456789"}
            address = fleet.address(random.choice(ROUTERS))
            record(f"consumer of {team} sends {request} on {prefix} to {address[0]}")
            answer = await call(address, "POST", prefix + "2f", head, b"{}" * 400, 12)
            is_served = answer.status == 200 and answer.is_complete and answer.events == 8
            record(f"consumer gets {request}: {answer.status} {answer.error} "
                   f"{'served' if is_served else answer.body[:240]!r}")
            served[phase, prefix].append(is_served)

        async def traffic(phase, seconds, prefixes):
            calls = []
            for _ in range(int(seconds * 5)):
                for prefix, teams in prefixes:
                    calls.append(asyncio.ensure_future(ask(phase, prefix, random.choice(teams))))
                await asyncio.sleep(0.2)
            await asyncio.gather(*calls)

        await traffic("before", 8, [(ADVICE, first)])
        routes = [(ADVICE, first)]
        if has_trouble:
            changed = configuration(version=12, tenants=tenants(first + more))
            changed["routes"].append({**changed["routes"][1], "name": "r-new", "prefix": NEW_ROUTE})
            fleet.store.put("op", "config", changed)
            record(f"the store confirms version 12: {len(changed['tenants'])} teams, the new ones on {NEW_ROUTE}")
            routes.append((NEW_ROUTE, more))
            # Long beyond configApplyMs, so that the new version is in force everywhere.
            await asyncio.sleep(6)
        await traffic("after", 20, routes)
        record(f"calls with more than 100 entries, which the store refused: {fleet.store.refused_calls}")
        for (phase, prefix), results in sorted(served.items()):
            record(f"{phase}, {prefix}: {sum(results)} of {len(results)} served")
        old, new = served["after", ADVICE], served["after", NEW_ROUTE]
        share_old = sum(old) / len(old)
        is_broken = len(new) >= 20 and sum(new) / len(new) < share_old / 4
        print(f"CONFIG {'broken' if is_broken else 'held'}: first routes {sum(old)} of {len(old)} served, "
              f"route added later {sum(new)} of {len(new)}")
        return 1 if is_broken or share_old < 0.9 else 0
    finally:
        await fleet.close()


run_case(main)
