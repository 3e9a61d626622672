"""Tests of log lines, the request log and metrics of real processes."""

import json
import subprocess
import urllib.request
from typing import Any

from examples.deployment import BIN, wait_until
from poplarlug.fakes.engine import CRASH_MARKER
from tests.processes.case import ProcessTestCase


class ObservabilityTests(ProcessTestCase):
    @classmethod
    def start_upstreams(cls) -> None:
        cls.deployment.start_engine("e1", "quito-a", "corn-7b")

    def lines(self, entry: str, request_id: str) -> list[dict[str, Any]]:
        text = (self.deployment.folder / f"{entry}.log").read_text()
        lines = [json.loads(line) for line in text.splitlines() if line[:1] == "{"]
        return [line for line in lines if line.get("request_id") == request_id]

    def wait_for_record(self, entry: str, request_id: str) -> dict[str, Any]:
        def find() -> dict[str, Any] | None:
            found = self.lines(entry, request_id)
            return next((line for line in found if "total_seconds" in line), None)

        return wait_until(find, f"{entry} has no record of {request_id}", seconds=20)

    def ask(self, entry: str, request_id: str, prompt: str, key: str = "") -> int:
        messages = [{"role": "user", "content": prompt}]
        body = {"model": "corn-7b", "messages": messages, "stream": True}
        headers = {"X-Request-Id": request_id, "X-Rank": "urgent"}
        path = "/v1/chat/completions"
        answer = self.call(entry, path, body, headers=headers, key=key or None)
        return answer.status

    def test_requests_leave_records_ids_and_metrics(self) -> None:
        """Each request is logged at its entry, and a failure also where it ran."""
        self.wait_for_upstreams("cuenca-a-1")
        self.assertEqual(self.ask("cuenca-a-1", "good", "peel?"), 200)
        record = self.wait_for_record("cuenca-a-1", "good")
        facts = {name: record[name] for name in ("account", "rank", "target", "zone")}
        expected = {"account": "verde", "rank": "urgent", "target": "corn-7b"}
        self.assertEqual(facts, {**expected, "zone": "quito-a"})
        self.assertEqual((record["forwarded"], record["served_by"]), (True, "e1"))
        self.assertGreater(record["total_seconds"], 0)

        self.assertEqual(self.ask("cuenca-a-1", "nokey", "peel?", key="wrong"), 401)
        record = self.wait_for_record("cuenca-a-1", "nokey")
        self.assertEqual((record["status"], record["error"]), (401, "unknown_key"))

        self.addCleanup(self.deployment.start, "e1")
        self.assertGreaterEqual(self.ask("cuenca-a-1", "crash", CRASH_MARKER), 500)
        self.wait_for_record("cuenca-a-1", "crash")
        attempted = self.lines("quito-a-1", "crash")
        self.assertTrue(any("serving:" in line.get("event", "") for line in attempted))

        url = f"http://{self.entry('cuenca-a-1')}/metrics"
        with urllib.request.urlopen(url, timeout=10) as response:
            metrics = response.read().decode()
        for name in (
            'poplarlug_requests_total{outcome="answered",rank="urgent"} 1.0',
            'poplarlug_request_errors_total{type="unknown_key"} 1.0',
            "poplarlug_requests_in_progress 0.0",
            "poplarlug_event_loop_lag_seconds_bucket",
            'poplarlug_transport_bytes_total{direction="sent"}',
            'poplarlug_request_first_token_seconds_count{rank="urgent"} 1.0',
        ):
            self.assertIn(name, metrics)
        self.assertNotIn("verde", metrics)

    def report(self, *arguments: str) -> str:
        done = subprocess.run(
            [str(BIN / "poplarlug-report"), *arguments],
            capture_output=True,
            text=True,
            check=True,
        )
        return done.stdout

    def test_burn_report_from_records_and_scrapes(self) -> None:
        """The report command reads the output of the operators' client and entries."""
        entry, folder = "guayaquil-a-1", self.deployment.folder
        ranks, scrapes = folder / "ranks.json", folder / "scrapes.jsonl"
        targets = {"first_token_target_seconds": 300, "target_seconds": 300}
        rows = self.deployment.operate("rank", "list")
        ranks.write_text(json.dumps([{**row, **targets} for row in rows]))
        self.wait_for_upstreams(entry)
        scrape = f"--entries=costa={self.entry(entry)}", f"--file={scrapes}"
        self.report("scrape", *scrape)
        for number in range(5):
            self.assertEqual(self.ask(entry, f"burn-{number}", "peel?"), 200)
        self.wait_for_record(entry, "burn-4")
        self.report("scrape", *scrape)
        burn = "burn", f"--ranks={ranks}", "--output=json"
        for source in (f"--logs={folder / f'{entry}.log'}", f"--scrapes={scrapes}"):
            rows = json.loads(self.report(*burn, source))
            urgent = next(row for row in rows if row["rank"] == "urgent")
            self.assertEqual((urgent["good"], urgent["total"]), (5, 5), msg=source)
