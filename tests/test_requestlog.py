"""Tests of the request log's order, rotation and limits."""

import asyncio
import json
import tempfile
from pathlib import Path
from unittest import TestCase
from unittest.mock import patch

from poplarlug import requestlog
from poplarlug.requestlog import RequestLog, RequestLogSettings, RequestRecord


def record(number: int) -> RequestRecord:
    return RequestRecord(
        time=1000.0 + number,
        request_id=f"r{number}",
        entry="quito-a-1",
        region="sierra-norte",
    )


class RequestLogTests(TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def log(self, **options: int) -> RequestLog:
        settings = RequestLogSettings(target="requests.jsonl", **options)
        return RequestLog(settings=settings, folder=self.folder)

    def write_batches(self, log: RequestLog, batches: int, size: int) -> None:
        async def main() -> None:
            with patch.object(requestlog, "FLUSH_SECONDS", 0):
                for batch in range(batches):
                    running = asyncio.ensure_future(log.run())
                    for number in range(size):
                        log.add(record(batch * size + number))
                    await asyncio.sleep(0)
                    running.cancel()
                    await asyncio.gather(running, return_exceptions=True)

        asyncio.run(main())

    def test_each_record_is_a_line_in_order(self) -> None:
        """Every record added before the end is in the file, as JSON."""
        self.write_batches(self.log(), 3, 10)
        lines = (self.folder / "requests.jsonl").read_text().splitlines()
        ids = [json.loads(line)["request_id"] for line in lines]
        self.assertEqual(ids, [f"r{number}" for number in range(30)])

    def test_files_are_rotated_and_bounded(self) -> None:
        """At most ``files`` files are kept, each within ``max_bytes``."""
        self.write_batches(self.log(max_bytes=4000, files=3), 20, 5)
        sizes = {path.name: path.stat().st_size for path in self.folder.iterdir()}
        names = {"requests.jsonl", "requests.jsonl.1", "requests.jsonl.2"}
        self.assertEqual(set(sizes), names)
        self.assertLessEqual(max(sizes.values()), 4000)
        last = (self.folder / "requests.jsonl").read_text().splitlines()[-1]
        self.assertEqual(json.loads(last)["request_id"], "r99")

    def test_queue_is_bounded(self) -> None:
        """Records beyond the queue's limit are dropped and counted."""
        log = self.log()
        with patch.object(requestlog, "MAX_QUEUED_LINES", 10):
            for number in range(25):
                log.add(record(number))
        self.assertEqual(log.dropped, 15)
        self.write_batches(log, 1, 0)
        lines = (self.folder / "requests.jsonl").read_text().splitlines()
        self.assertEqual(len(lines), 10)
