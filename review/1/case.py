"""All entry machines are lost for good and others take their place at new addresses (see claim.txt)."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import bed as review  # noqa: E402
from division_bed import Machine, StoreProxy  # noqa: E402
from testbed import Ports  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ENTRIES = 4
RATE = 60
FEEDS = 6
CALM_SECONDS = 6

# The platform starts the replacements at once; RULES.md: bounds.recovery-s of the small sites.
REPLACEMENT_SECONDS = 1
RECOVERY_SECONDS = 12
CHECK_SECONDS = 85
SERVED_SHARE = 0.25


class ReplacementBed(review.DivisionBed):
    """A bed whose routers also know the addresses of machines that are added later."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.first = list(self.entries)
        self.added = [Machine(f"entry-new-{number}", f"127.1.1.{number}") for number in range(1, len(self.first) + 1)]
        ports = Ports()
        for machine in self.added:
            machine.proxy = StoreProxy(self.loop, ports.take(), self.store)

    def start_division(self):
        self.entries = self.first + self.added
        super().start_division()
        self.entries = self.first

    def settings(self, machine):
        """The settings of a machine name the seeds that the platform knew when the machine was added."""
        known = self.entries
        self.entries = self.added if machine in self.added else self.first
        text = super().settings(machine)
        self.entries = known
        return text


def served_share(bed, record, seconds, what):
    before = bed.state()["callers"]
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(min(2.0, max(0.0, end - time.monotonic())))
        state = bed.state()
        record.add(what, callers=state["callers"], ready_entries=state["ready_entries"], ran=[target["requests"] for target in state["targets"]])
    after = bed.state()["callers"]
    return (after["answered"] - before["answered"]) / max(after["asked"] - before["asked"], 1)


def play(bed, record):
    bed.start_all()
    time.sleep(2)
    bed.tell("traffic", rate=RATE, feeds=FEEDS)
    before = served_share(bed, record, CALM_SECONDS, "calm")
    record.add("served_before", share=f"{before:.2f}")
    if HAS_TROUBLE:
        for entry in bed.first:
            entry.planned_end = True
            entry.process.kill()
        for entry in bed.first:
            entry.process.wait()
        record.add("entries_lost", addresses=",".join(entry.address for entry in bed.first))
        time.sleep(REPLACEMENT_SECONDS)
    for entry in bed.added:
        bed.start(entry)
    bed.entries = bed.added
    record.add("entries_added", addresses=",".join(entry.address for entry in bed.added))
    served_share(bed, record, RECOVERY_SECONDS, "recovery")
    after = served_share(bed, record, CHECK_SECONDS, "after_recovery")
    ended = [agent.name for agent in bed.agents if agent.process.poll() is not None]
    up = sum(target["up"] for target in bed.state()["targets"])
    record.add("served_after", share=f"{after:.2f}", servers_up=up, agents_ended=ended or "none", violations=bed.state()["violations"])
    if before < SERVED_SHARE:
        return review.NOT_RUN
    return review.BROKEN if after < SERVED_SHARE else review.HELD


def main():
    record = review.Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    record.add("trouble", on=HAS_TROUBLE)
    if not review.are_programs_built():
        record.add("not_run", why="programs are missing in target/bin")
        return review.NOT_RUN
    bed = ReplacementBed(1, ENTRIES, 7, 4)
    try:
        verdict = play(bed, record)
    except (review.CheckFailed, OSError) as error:
        record.add("not_run", why=repr(str(error)))
        verdict = review.NOT_RUN
    finally:
        bed.close(keep=os.environ.get("KEEP_LOGS") == "1")
    record.add("verdict", exit=verdict)
    return verdict


if __name__ == "__main__":
    sys.exit(main())
