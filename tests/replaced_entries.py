"""Guards against targets that no entry finds again after all entries were replaced at other addresses.

Agents knew only the entries of their settings at their start and those that the store listed then. Usage: replaced_entries.py CASE
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts"))
from division_bed import DivisionBed  # noqa: E402
from testbed import CheckFailed, show, wait_until  # noqa: E402

FORMER = 3  # number of entries that run at first, and of those that replace them

# Figures of the platform's pages.
RECOVERY_SECONDS = 12
SEED_LAG_SECONDS = 3

WATCHED_SECONDS = 4
SERVED_SHARE = 0.9
LATE_SECONDS = 9

RATE = 40  # new flows a second
FEEDS = 4  # flows that stay open


class Case:
    def __init__(self):
        self.bed = DivisionBed(seed=1, entries=2 * FORMER, desk_targets=4, ledger_targets=2)
        self.former = self.bed.entries[:FORMER]
        self.new = self.bed.entries[FORMER:]
        self.before_agents = 0.0

    def start(self):
        self.bed.start_division()
        self.bed.configure()
        time.sleep(1)
        self.before_agents = time.monotonic()
        for machine in self.former + self.bed.agents:
            self.bed.start(machine)
        wait_until("the first entries are ready", lambda: self.bed.state()["ready_entries"] == FORMER)
        wait_until("the agents are in the store", lambda: {agent.name for agent in self.bed.agents} <= self.bed.members())
        self.bed.tell("traffic", rate=RATE, feeds=FEEDS)
        time.sleep(2)

    def lose_entries(self):
        for entry in self.former:
            entry.planned_end = True
            entry.process.kill()
            entry.process.wait()

    def restore(self):
        """The store comes back from a copy that is older than the records of the agents."""
        age_ms = int(1000 * (time.monotonic() - self.before_agents)) + 500
        self.bed.tell("restore", age_ms=age_ms)

    def start_new_entries(self):
        for entry in self.new:
            self.bed.start(entry)

    def name_new_entries(self):
        """Names the new entries as seeds in the settings of all processes, without a signal."""
        self.bed.entries = self.new + self.former
        for machine in self.new + self.bed.agents:
            with open(os.path.join(self.bed.folder, machine.name + ".toml"), "w", encoding="utf-8") as output:
                output.write(self.bed.settings(machine))

    def check(self, with_records=True):
        time.sleep(RECOVERY_SECONDS)
        before = self.bed.state()["callers"]
        time.sleep(WATCHED_SECONDS)
        after = self.bed.state()["callers"]
        asked = after["asked"] - before["asked"]
        served = after["answered"] - before["answered"]
        if served < SERVED_SHARE * asked or asked == 0:
            raise CheckFailed(f"{RECOVERY_SECONDS} s after the new entries started, {served} of {asked} requests were served")
        missing = {agent.name for agent in self.bed.agents} - self.bed.members()
        if with_records and missing:
            raise CheckFailed(f"the store has no record of {', '.join(sorted(missing))}, which run and reach it")
        show("replaced_entries", served=served, asked=asked)


def restored_store(case):
    """The settings never name the new entries: agents find them through the store, and write the records that it lost."""
    case.lose_entries()
    case.restore()
    time.sleep(1)
    case.start_new_entries()
    case.check()


def late_entries(case):
    """The entries come back one by one some time later, and the store loses the records a second time meanwhile."""
    case.lose_entries()
    case.restore()
    time.sleep(LATE_SECONDS / 2)
    case.restore()
    time.sleep(LATE_SECONDS / 2)
    for entry in case.new:
        case.bed.start(entry)
        time.sleep(2)
    case.check()


def refused_by_store(case):
    """The store serves the new entries and no agent: agents find the entries by the settings, which change without a signal."""
    for agent in case.bed.agents:
        agent.proxy.set_mode("reset")
    case.lose_entries()
    case.restore()
    time.sleep(1)
    case.start_new_entries()
    time.sleep(SEED_LAG_SECONDS)
    case.name_new_entries()
    case.check(with_records=False)


CASES = {case.__name__: case for case in (restored_store, late_entries, refused_by_store)}


def main():
    play = CASES.get(sys.argv[1] if len(sys.argv) == 2 else "")
    if play is None:
        print(__doc__, "Cases:", ", ".join(CASES))
        return 2
    case = Case()
    problem = None
    try:
        case.start()
        play(case)
    except (CheckFailed, OSError) as error:
        problem = error
    case.bed.close(keep=problem is not None)
    if problem is not None:
        print(f"{play.__name__}: {problem}; logs: {case.bed.folder}")
    return 0 if problem is None else 1


if __name__ == "__main__":
    sys.exit(main())
