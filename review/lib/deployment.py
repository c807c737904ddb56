"""A small deployment with figures of the site Tsue Kyodo's sheet: bounds, routes and traffic of its kinds."""
import random

BOUNDS = {"ttl_max_s": 5, "budgetRatio": 0.2, "budgetSlack": 54, "budgetWindowS": 10, "graceS": 8, "recoverS": 12,
          "contactMs": 3000, "drainMs": 2000, "configApplyMs": 2000, "lossSlackMs": 200}
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
ADVICE = "/pufi791/"
DRAFT = "/lohu930/"
CHARGE = "/puxa403/"
LOOKUP = "/cufi504/"
MODEL, LEDGER = "huvo11a", "wuno96b"


def configuration(version=7, prepaid=6_313_722, **changes):
    """The example of the protocol page with the sheet's routes."""
    def route(name, prefix, service, kind, timeout, goal, attempts, resume=False):
        it = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "goalMs": goal,
              "priority": 1, "service": service, "maxAttempts": attempts, "public": False}
        if kind == "stream":
            it.update({"sticky": True, "canResume": resume, "gapTargetMs": 500})
        return it
    return {"version": version, "routes": [
        route("r-draft", DRAFT, MODEL, "stream", 15000, 800, 2, True),
        route("r-advice", ADVICE, MODEL, "stream", 12000, 1000, 1),
        route("r-charge", CHARGE, LEDGER, "unsafe", 800, 100, 1),
        route("r-lookup", LOOKUP, LEDGER, "safe", 800, 100, 2)],
        "services": [
            {"name": MODEL, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCapacity": 538981, "kvBytes": 35136, "linkMbps": 1100000.0, "stride": 6,
                        "models": [{"name": "m"}]}},
            {"name": LEDGER, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": False}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1, "prepaid": prepaid}], **changes}


def request_id():
    return f"{random.getrandbits(64):016x}"


def fields(request, deadline_ms, prompt="", counts=""):
    it = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {KEY}"}
    if prompt:
        it.update({"X-Model": "m", "X-Token-Counts": counts, "X-Prompt-Prefix": prompt})
    return it
