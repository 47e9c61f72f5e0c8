"""Weights of a route change while flows are open; then the entries are stopped and started in turn."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform2 import Bed, Requester, STABLE_WINDOW, play  # noqa: E402

# 0: no disruption; "restarts": the restarts without a change; "move": the route names the other service alone; "scale": 90 to 10
# becomes 9 to 1.
TROUBLE = os.environ.get("TROUBLE", "1")
ADDRESS = ("198.18.0.1", 8443)
FLOWS = 40
PAUSE = 2.5


def configuration(version, new, old):
    route = {"name": "r-feed", "host": ADDRESS[0], "path-prefix": f"/{ADDRESS[1]}/", "kind": "idempotent", "timeout-ms": 2500, "target-latency-ms": 250, "priority": 2,
             "backends": [{"service": "desk", "weight": old}, {"service": "desk-next", "weight": new}], "max-attempts": 2}
    return {"version": version, "routes": [route], "services": [{"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False} for name in ("desk", "desk-next")],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


async def case():
    bed = Bed(os.path.join(FOLDER, "record.txt"), 3, ["desk", "desk", "desk", "desk-next", "desk-next", "desk-next"])
    try:
        await bed.start(configuration(7, 10, 90))
        requesters = [Requester(bed, number, ADDRESS, PAUSE) for number in range(1, FLOWS + 1)]
        for requester in requesters:
            requester.open()
            await asyncio.sleep(0.05)
        await asyncio.sleep(3)
        if TROUBLE == "1":
            bed.configure(configuration(9, 90, 10))
        elif TROUBLE == "scale":
            bed.configure(configuration(9, 1, 9))
        elif TROUBLE == "move":
            moved = configuration(9, 90, 10)
            moved["routes"][0] |= {"service": "desk-next"}
            del moved["routes"][0]["backends"]
            bed.configure(moved)
        await asyncio.sleep(5)
        if TROUBLE != "0":
            for front in bed.fronts:
                await bed.restart(front)
                await asyncio.sleep(6)
        else:
            await asyncio.sleep(25)
        await asyncio.sleep(3)
        bed.is_ending = True
        await asyncio.sleep(1)
        resets = bed.resets
        for flow, sender, server, since, server_since in resets:
            bed.broken("FLOW", f"{sender.name} reset a flow that was open at {server.name} of {server.service}; no signal to the sender for {since:.1f} s and to the server's agent for {server_since:.1f} s")
        strict = [reset for reset in resets if reset[3] >= STABLE_WINDOW and reset[4] >= STABLE_WINDOW]
        print(f"flows opened {sum(1 for _ in bed.requesters)}, requests {len(bed.sent)}, ran {len(bed.ran)}, answered {sum(r.answered for r in requesters)}, "
              f"open flows reset {len(resets)}, of them with all machines in touch {len(strict)}, other breaks {len(bed.breaks) - len(resets)}")
        return 10 if bed.breaks else 0
    finally:
        await bed.close()


play(FOLDER, case)
