"""All entry machines are lost while the store comes back from a copy; others take their place at new addresses."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform2 import Bed, Machine, Requester, ZONES, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")  # 0: neither; "loss": the entries are lost, the store is not restored; "restore": the reverse
ADDRESS = ("198.18.0.1", 8443)
RECOVERY = 12  # recovery-s
WATCHED = 12


def configuration(version):
    route = {"name": "r-feed", "host": ADDRESS[0], "path-prefix": f"/{ADDRESS[1]}/", "kind": "idempotent", "timeout-ms": 2500, "target-latency-ms": 250, "priority": 2,
             "service": "desk", "max-attempts": 2}
    return {"version": version, "routes": [route], "services": [{"name": "desk", "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


async def case():
    bed = Bed(os.path.join(FOLDER, "record.txt"), 3, ["desk"] * 5)
    bed.later = {side.name for side in bed.sides[1:]}
    new = [Machine(f"front-{number}", f"127.31.0.{number}", ZONES[0]) for number in range(11, 14)]
    bed.further_addresses = [machine.ip for machine in new]
    try:
        await bed.start(configuration(7))
        requesters = [Requester(bed, number, ADDRESS, 0.3, 2.5) for number in range(1, 31)]
        for requester in requesters:
            requester.open()
        await asyncio.sleep(3)
        # The servers are replaced: the new ones join, the old one leaves.
        for side in bed.sides[1:]:
            await bed.start_side(side)
        await asyncio.sleep(2.5)
        old = bed.sides[0]
        old.server.state = "draining"
        before = [len(bed.sent), len(bed.ran)]
        await asyncio.sleep(2)
        served_before = (len(bed.ran) - before[1]) / max(1, len(bed.sent) - before[0])
        restored = asyncio.ensure_future(bed.store.restore(6.0, 1.0)) if TROUBLE in ("1", "restore") else None
        if TROUBLE in ("1", "loss"):
            for front in bed.fronts:
                front.process.kill()
                front.process.wait()
                bed.record.add("machine-lost", machine=front.name)
            await asyncio.sleep(1)
            bed.fronts = new
            for front in new:
                bed.start_process(front)
                bed.spawn(bed.check_ready(front))
            # The settings of the others name the new seeds within seed-lag-s.
            await asyncio.sleep(1)
            for side in bed.sides:
                bed.write_settings(side)
                bed.send_signal(side, signal.SIGHUP)
        if restored:
            await restored
        back = time.monotonic()
        await asyncio.sleep(RECOVERY)
        begin = [len(bed.sent), sum(requester.answered for requester in requesters), sum(requester.attempts for requester in requesters)]
        await asyncio.sleep(WATCHED)
        asked = sum(requester.attempts for requester in requesters) - begin[2]
        served = sum(requester.answered for requester in requesters) - begin[1]
        share = served / max(1, asked)
        if share < 0.25 and served_before >= 0.25:
            bed.broken("RECOVER", f"from {RECOVERY} s after the machines were back, {served} of {asked} requests were served in {time.monotonic() - back - RECOVERY:.0f} s; before, {served_before:.2f}")
        running = [side.name for side in bed.sides if side.process.poll() is None]
        missing = [name for name in running if name not in bed.store.kinds.get("members", {})]
        print(f"served before {served_before:.2f}; after {RECOVERY} s {served} of {asked}; agents running {len(running)}, of them without a record in the store: {' '.join(missing) or 'none'}; breaks {len(bed.breaks)}")
        return 10 if bed.breaks else 0
    finally:
        await bed.close()


play(FOLDER, case)
