"""What the logs and metrics pages of a fleet's processes tell about a stretch of time, for scripts/report.

Reads key=value lines of entries and agents (docs/OPERATIONS.md) and counts their decisions in steps of equal length.
"""
import datetime
import math
import os
import re
import subprocess

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

# Outcomes of `event=flow`, as the columns of the page. An outcome that is missing here counts as "other".
COLUMNS = {
    "opened": ("admitted",),
    "passed": ("passed_first", "passed_known"),
    "refused": ("refused", "refused_late", "refused_no_route"),
    "late": ("dropped_late",),
    "searched": ("searched",),
    "lost": ("reset", "reset_lost"),
}
COLUMN_OF = {outcome: column for column, outcomes in COLUMNS.items() for outcome in outcomes}

# Prometheus prints a histogram's classes as cumulative counts.
BUCKET = re.compile(r'^(\w+)_bucket\{(.*)\} (\S+)$')


class ReportError(Exception):
    """The input cannot be used; the text says what to do."""


class Step:
    def __init__(self):
        self.counts = dict.fromkeys([*COLUMNS, "other"], 0)
        self.waits = []  # expected time of admitted flows, ms
        self.busy = 0
        self.slots = 0

    @property
    def use(self):
        """Requests in progress or queued for each slot, as agents saw it at their decisions."""
        return self.busy / self.slots if self.slots else 0.0


class Report:
    def __init__(self, step_seconds):
        self.step_seconds = step_seconds
        self.steps = {}
        self.events = []  # (seconds, name of the process or file, event)
        self.left_out = 0
        self.unreadable = 0
        self.lines = 0

    def read_log(self, path):
        name = os.path.splitext(os.path.basename(path))[0]
        try:
            with open(path, encoding="utf-8", errors="replace") as lines:
                for line in lines:
                    self.take_line(name, line)
        except OSError as error:
            raise ReportError(f"{path}: {error.strerror}; name log files that can be read") from error

    def take_line(self, name, line):
        if "event=" not in line:
            return
        fields = dict(FIELD.findall(line))
        try:
            when = parse_time(fields["time"])
        except (KeyError, ValueError):
            self.unreadable += 1
            return
        self.lines += 1
        event = fields["event"]
        if event == "lines_left_out":
            self.left_out += int(fields.get("lines", 0))
        elif event == "flow":
            self.take_flow(when, fields)
        elif event in ("started", "stopping", "store_lost", "store_reached", "configuration_applied"):
            self.events.append((when, fields.get("name", name), event))

    def take_flow(self, when, fields):
        step = self.steps.setdefault(math.floor(when / self.step_seconds), Step())
        outcome = fields.get("outcome", "")
        step.counts[COLUMN_OF.get(outcome, "other")] += 1
        if outcome != "admitted":
            return
        step.waits.append(float(fields.get("cost_ms", 0)))
        step.busy += int(fields.get("busy", 0))
        step.slots += int(fields.get("slots", 0))

    def rows(self):
        """One row for each step from the first to the last, also where nothing was logged."""
        if not self.steps:
            raise ReportError("the logs hold no decision about a flow (event=flow); name the logs of entries and agents")
        first, last = min(self.steps), max(self.steps)
        for index in range(first, last + 1):
            step = self.steps.get(index, Step())
            waits = sorted(step.waits)
            yield {
                "second": (index - first) * self.step_seconds,
                **step.counts,
                "use": step.use,
                "wait_p50": quantile(waits, 0.5),
                "wait_p99": quantile(waits, 0.99),
            }

    def events_by_second(self):
        start = min(self.steps) * self.step_seconds if self.steps else 0
        return sorted((when - start, name, event) for when, name, event in self.events)


def parse_time(text):
    return datetime.datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


def quantile(ordered, share):
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, math.floor(share * len(ordered)))]


def read_histograms(paths):
    """Cumulative counts by upper bound for each histogram and its labels, summed over the pages of all processes."""
    histograms = {}
    for path in paths:
        try:
            with open(path, encoding="utf-8") as page:
                found = [match for match in map(BUCKET.match, page.read().splitlines()) if match]
        except OSError as error:
            raise ReportError(f"{path}: {error.strerror}; name saved metrics pages that can be read") from error
        for match in found:
            labels = dict(re.findall(r'(\w+)="([^"]*)"', match[2]))
            bound = float(labels.pop("le"))
            key = match[1] + "".join(f" {label}={value}" for label, value in sorted(labels.items()))
            counts = histograms.setdefault(key, {})
            counts[bound] = counts.get(bound, 0) + float(match[3])
    return histograms


def class_of(counts, share):
    """Upper bound of the class that holds the given share of the values; none if there are no values."""
    total = counts.get(math.inf, 0)
    if total == 0:
        return None
    return min(bound for bound, count in counts.items() if count >= share * total)


def write_data(rows, path):
    with open(path, "w", encoding="utf-8") as output:
        columns = list(rows[0])
        output.write("# " + " ".join(columns) + "\n")
        for row in rows:
            output.write(" ".join(f"{row[column]:g}" for column in columns) + "\n")


def plot_script(rows, data, picture, step_seconds):
    column = {name: index + 1 for index, name in enumerate(rows[0])}

    def line(name, title, scale=1.0):
        return f'"{data}" using {column["second"]}:(${column[name]} * {scale:g}) with steps title "{title}"'

    per_second = 1 / step_seconds
    panels = [
        ("load, flows a second", [line("opened", "opened", per_second), line("passed", "passed on", per_second)]),
        ("use of slots", [line("use", "in progress or queued, for each slot")]),
        ("expected time of new flows, ms", [line("wait_p50", "half below"), line("wait_p99", "99 of 100 below")]),
        ("refusals a second", [line("refused", "refused", per_second), line("late", "dropped as late", per_second)]),
        ("searches and lost flows a second", [line("searched", "searched", per_second), line("lost", "given up", per_second)]),
    ]
    text = [f'set terminal pngcairo size 1000,{220 * len(panels)}', f'set output "{picture}"', f"set multiplot layout {len(panels)},1",
            "set key top right", "set grid", "set yrange [0:*]", f"set xrange [0:{max(rows[-1]['second'], step_seconds):g}]"]
    for title, lines in panels:
        text += [f'set title "{title}"', "plot " + ", ".join(lines)]
    text += ['unset multiplot']
    return "\n".join(text) + "\n"


def draw(script):
    try:
        subprocess.run(["gnuplot"], input=script, text=True, check=True, capture_output=True)
    except FileNotFoundError as error:
        raise ReportError("gnuplot is not installed; scripts/packages installs it") from error
    except subprocess.CalledProcessError as error:
        raise ReportError(f"gnuplot failed: {error.stderr.strip()}") from error


def page_text(report, rows, histograms, picture):
    columns = list(rows[0])
    lines = ["# Report", "", f"![load, waits, refusals and flows]({picture})", "",
             f"{report.lines} lines; counts are of logged decisions, in steps of {report.step_seconds:g} s.", ""]
    if report.left_out:
        lines += [f"**{report.left_out} lines were left out by processes at their limit: counts are too low.**", ""]
    if report.unreadable:
        lines += [f"**{report.unreadable} lines without a readable time were skipped.**", ""]
    lines += ["| " + " | ".join(columns) + " |", "|---" * len(columns) + "|"]
    lines += ["| " + " | ".join(f"{row[column]:g}" if column != "use" else f"{row[column]:.2f}" for column in columns) + " |" for row in rows]
    if histograms:
        lines += ["", "## Histograms", "", "Upper bounds of the classes that hold half and 99 of 100 values, in seconds.", "",
                  "| histogram | values | half | 99 of 100 |", "|---|---|---|---|"]
        for key, counts in sorted(histograms.items()):
            bounds = [class_of(counts, share) for share in (0.5, 0.99)]
            lines.append(f"| {key} | {counts.get(math.inf, 0):g} | " + " | ".join("none" if bound is None else f"{bound:g}" for bound in bounds) + " |")
    if report.events:
        lines += ["", "## Processes, store and configuration", ""]
        lines += [f"- {second:.1f} s: {name} {event}" for second, name, event in report.events_by_second()]
    return "\n".join(lines) + "\n"
