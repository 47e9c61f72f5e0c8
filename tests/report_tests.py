"""Guards against a report that counts wrongly, hides missing lines, or fails on logs of a process that was killed."""
import math
import os
import subprocess
import sys
import tempfile
import unittest

SCRIPTS = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "scripts")
sys.path.insert(0, SCRIPTS)
import fleet_report  # noqa: E402


def flow(second, outcome, **fields):
    more = "".join(f" {key}={value}" for key, value in fields.items())
    return f"2026-10-15 23:46:00,000 INFO [default] time=2026-10-15T23:46:{second:06.3f}Z level=info event=flow outcome={outcome} caller=100.64.0.1:2000{more}\n"


def read(lines, step=1.0):
    report = fleet_report.Report(step)
    for line in lines:
        report.take_line("agent-1", line)
    return report


class Counting(unittest.TestCase):
    def test_decisions_are_counted_in_their_step_and_column(self):
        rows = list(read([flow(1.2, "admitted"), flow(1.9, "refused_late"), flow(2.0, "dropped_late"), flow(2.1, "reset_lost"), flow(2.2, "tried")]).rows())
        self.assertEqual([row["second"] for row in rows], [0, 1])
        self.assertEqual((rows[0]["opened"], rows[0]["refused"]), (1, 1))
        self.assertEqual((rows[1]["late"], rows[1]["lost"], rows[1]["other"]), (1, 1, 1))

    def test_a_step_without_decisions_has_a_row(self):
        rows = list(read([flow(1, "admitted"), flow(4, "admitted")]).rows())
        self.assertEqual([row["opened"] for row in rows], [1, 0, 0, 1])

    def test_waits_and_use_are_those_of_admitted_flows(self):
        lines = [flow(1, "admitted", cost_ms=cost, busy=3, slots=2) for cost in (10, 20, 30)] + [flow(1, "refused", cost_ms=900, busy=50, slots=2)]
        row = next(read(lines).rows())
        self.assertEqual((row["wait_p50"], row["wait_p99"], row["use"]), (20, 30, 1.5))

    def test_lines_that_a_process_left_out_are_told(self):
        report = read([flow(1, "admitted"), "time=2026-10-15T23:46:02Z level=warning event=lines_left_out lines=700\n"])
        rows = list(report.rows())
        self.assertIn("700 lines were left out", fleet_report.page_text(report, rows, {}, "report.png"))

    def test_a_line_cut_off_by_a_kill_is_skipped_and_told(self):
        report = read([flow(1, "admitted"), "time=2026-10-15T23:4 event=flow outcome=admi"])
        rows = list(report.rows())
        self.assertEqual(report.unreadable, 1)
        self.assertIn("1 lines without a readable time", fleet_report.page_text(report, rows, {}, "report.png"))

    def test_logs_without_decisions_are_an_error(self):
        with self.assertRaisesRegex(fleet_report.ReportError, "event=flow"):
            list(read(["time=2026-10-15T23:46:02Z event=started name=entry-1\n"]).rows())


class Histograms(unittest.TestCase):
    def page(self, text):
        file = tempfile.NamedTemporaryFile("w", suffix=".txt", delete=False)
        self.addCleanup(os.unlink, file.name)
        with file:
            file.write(text)
        return file.name

    def test_pages_of_several_processes_add_up(self):
        text = 'wait_seconds_bucket{service="desk",le="0.1"} 3\nwait_seconds_bucket{service="desk",le="+Inf"} 4\n'
        histograms = fleet_report.read_histograms([self.page(text), self.page(text)])
        self.assertEqual(histograms, {"wait_seconds service=desk": {0.1: 6, math.inf: 8}})

    def test_the_class_that_holds_a_share(self):
        counts = {0.1: 50, 0.2: 98, math.inf: 100}
        self.assertEqual([fleet_report.class_of(counts, share) for share in (0.5, 0.6, 0.99)], [0.1, 0.2, math.inf])
        self.assertIsNone(fleet_report.class_of({math.inf: 0}, 0.5))


class CommandLine(unittest.TestCase):
    def run_report(self, *arguments):
        return subprocess.run([sys.executable, os.path.join(SCRIPTS, "report"), *arguments], capture_output=True, text=True, check=False)

    def test_page_picture_and_numbers_are_written(self):
        with tempfile.TemporaryDirectory() as folder:
            log = os.path.join(folder, "agent-1.log")
            with open(log, "w", encoding="utf-8") as output:
                output.writelines(flow(second, "admitted", cost_ms=second, busy=1, slots=2) for second in range(1, 20))
            result = self.run_report("--output", folder, "--step", "2", log)
            self.assertEqual(result.returncode, 0, result.stderr)
            with open(os.path.join(folder, "report.png"), "rb") as picture:
                self.assertEqual(picture.read(4), b"\x89PNG")
            with open(os.path.join(folder, "report.md"), encoding="utf-8") as page:
                self.assertIn("| second | opened |", page.read())

    def test_a_missing_log_is_named(self):
        with tempfile.TemporaryDirectory() as folder:
            result = self.run_report("--output", folder, os.path.join(folder, "none.log"))
        self.assertEqual(result.returncode, 1)
        self.assertIn("none.log", result.stderr)

    def test_a_step_of_no_time_is_refused(self):
        result = self.run_report("--output", "unused", "--step", "0", "unused.log")
        self.assertEqual(result.returncode, 2)
        self.assertIn("seconds above 0", result.stderr)


if __name__ == "__main__":
    unittest.main()
