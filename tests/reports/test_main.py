"""Tests of the report's command line over files."""

import contextlib
import io
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any
from unittest import TestCase

import msgspec
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from poplarlug.catalog import Rank
from poplarlug.reports.main import Commands
from poplarlug.reports.sources import encode_scrape, parse_metrics, read_scrapes
from poplarlug.requestlog import RequestRecord

END = 1_800_000_000.0


class ReportCase(TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        ranks = [
            {"name": "urgent", "priority": 0, "objective": 0.99, "unknown": 1},
            {"name": "patient", "objective": 0.9},
        ]
        self.ranks = self.write("ranks.json", json.dumps(ranks))

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def burn(self, **options: Any) -> str:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            Commands().burn(self.ranks, **options)
        return output.getvalue()


class RequestLogReportTests(ReportCase):
    def setUp(self) -> None:
        super().setUp()
        records = [
            RequestRecord(
                time=END - number,
                request_id=f"r{number}",
                entry="guayaquil-a-1",
                region="costa",
                account=f"a{number % 2}",
                rank="urgent",
                status=503 if number < 4 else 200,
                total_seconds=0.5,
            )
            for number in range(200)
        ]
        lines = [msgspec.json.encode(r._asdict()).decode() for r in records]
        lines[50:50] = ['{"event": "entry: ready"}', "not JSON", '{"total_seconds']
        self.logs = self.write("requests.jsonl", "\n".join(lines))

    def test_json_has_known_figures(self) -> None:
        """4 misses of 200 burn an objective of 0.99 at a rate of 2."""
        rows = json.loads(self.burn(logs=self.logs, output="json"))
        self.assertEqual(
            [(row["rank"], row["region"], row["account"]) for row in rows],
            [
                ("urgent", "all", "all"),
                ("urgent", "costa", "all"),
                ("urgent", "all", "a0"),
                ("urgent", "all", "a1"),
            ],
        )
        self.assertEqual((rows[0]["good"], rows[0]["total"]), (196, 200))
        self.assertAlmostEqual(rows[0]["budget_left"], -1.0)
        self.assertAlmostEqual(rows[0]["windows"][0]["short_rate"], 2.0)

    def test_text_has_a_line_a_row(self) -> None:
        """The table shows objective, share met, budget left and rates."""
        lines = self.burn(logs=self.logs, top_accounts=0).splitlines()
        self.assertEqual(len(lines), 3)
        for part in ("urgent", "0.99", "0.9800", "200", "-100.0%", "2.00/2.00"):
            self.assertIn(part, lines[1].split())

    def test_end_moves_the_windows(self) -> None:
        """Nothing after the given end counts."""
        rows = json.loads(self.burn(logs=self.logs, output="json", end=END - 100))
        self.assertEqual((rows[0]["good"], rows[0]["total"]), (100, 100))

    def test_plot_is_png_and_only_it_imports_matplotlib(self) -> None:
        """matplotlib is imported only for a plot."""
        code = "import sys, poplarlug.reports.main; print('matplotlib' in sys.modules)"
        imported = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual(imported.stdout.strip(), "False")
        path = self.folder / "burn.png"
        self.burn(logs=self.logs, plot=str(path))
        self.assertEqual(path.read_bytes()[:4], b"\x89PNG")

    def test_bad_input_exits_with_status_two(self) -> None:
        """Wrong options and files end with status 2 and a message."""
        invalid_ranks = self.write(
            "wrong.json", '[{"name": "urgent", "objective": 1.5}]'
        )
        for ranks, options in (
            (self.ranks, {}),
            (self.ranks, {"logs": "missing.jsonl"}),
            (self.ranks, {"logs": self.logs, "output": "xml"}),
            (invalid_ranks, {"logs": self.logs}),
            (self.logs, {"logs": self.logs}),
        ):
            errors = io.StringIO()
            with (
                contextlib.redirect_stderr(errors),
                self.assertRaises(SystemExit) as caught,
            ):
                Commands().burn(ranks, **options)
            self.assertEqual(caught.exception.code, 2)
            self.assertIn("poplarlug-report: ", errors.getvalue())


class ScrapeReportTests(ReportCase):
    def entry(self) -> tuple[CollectorRegistry, Counter, Histogram]:
        registry = CollectorRegistry()
        requests = Counter(
            "poplarlug_requests", "", ["rank", "outcome"], registry=registry
        )
        first_token = Histogram(
            "poplarlug_request_first_token_seconds",
            "",
            ["rank"],
            buckets=(0.5, 1.9, 5.0),
            registry=registry,
        )
        return registry, requests, first_token

    def scrape(self, registry: CollectorRegistry, time: float) -> bytes:
        text = generate_latest(registry).decode()
        return encode_scrape(
            parse_metrics(text, time=time, address="127.0.0.1:1", region="costa")
        )

    def test_differences_between_scrapes_count(self) -> None:
        """Late answers and refusals count as missed; rejected requests don't count."""
        registry, requests, first_token = self.entry()
        requests.labels("urgent", "answered").inc(1000)
        for _ in range(1000):
            first_token.labels("urgent").observe(3)
        lines = self.scrape(registry, END - 60)
        requests.labels("urgent", "answered").inc(95)
        requests.labels("urgent", "refused").inc(5)
        requests.labels("urgent", "rejected").inc(50)
        for number in range(95):
            first_token.labels("urgent").observe(0.1 if number < 90 else 3)
        lines += self.scrape(registry, END)
        path = self.folder / "scrapes.jsonl"
        path.write_bytes(lines)
        rows = json.loads(self.burn(scrapes=str(path), output="json"))
        self.assertEqual((rows[0]["good"], rows[0]["total"]), (90, 100))
        self.assertEqual(rows[1]["region"], "costa")

    def test_restarted_entry_counts_from_zero(self) -> None:
        """Counters that decreased are those of a new process."""
        lines = b""
        for time, count in ((END - 60, 500), (END, 20)):
            registry, requests, first_token = self.entry()
            requests.labels("urgent", "answered").inc(count)
            for _ in range(count):
                first_token.labels("urgent").observe(0.1)
            lines += self.scrape(registry, time)
        path = self.folder / "scrapes.jsonl"
        path.write_bytes(lines)
        observations = list(read_scrapes([path], {"urgent": Rank("urgent")}))
        self.assertEqual([tuple(s.outcome) for s in observations], [(20, 20)])
