"""What the scripts of the review share: a small system on loopback, with the daemons of the deploy file.

Settings, routers, servers, callers and the store are those of scripts/division_bed.py; the daemons and the stand-in come
from target/, where the build of the deploy file and review/build.sh put them.
"""
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
os.environ["PLANTAINDRIFT_BUILD_DIR"] = os.path.join(ROOT, "target")
sys.path.insert(0, os.path.join(ROOT, "scripts"))
from division_bed import DivisionBed  # noqa: E402,F401
from testbed import CheckFailed, answers, binary, fetch, wait_until  # noqa: E402,F401

BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """What was sent, answered and run, in the record.txt of a case."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, event, **fields):
        line = f"{time.monotonic() - self.begin:8.3f} {event}" + "".join(f" {key}={value}" for key, value in fields.items())
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def are_programs_built():
    names = ("plantaindrift-division-entry", "plantaindrift-division-agent", "standin-division")
    return all(os.access(binary(name), os.X_OK) for name in names)
