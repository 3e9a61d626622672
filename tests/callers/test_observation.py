"""Tests of the metrics and log records of requests."""

import tempfile
from asyncio import CancelledError
from pathlib import Path
from typing import Any
from unittest import TestCase

from structlog.contextvars import get_contextvars

from poplarlug.callers.observation import RequestObserver, outcome_of
from poplarlug.errors import GatewayError, bad_request, not_run, outcome_unknown
from poplarlug.metrics import REGISTRY
from poplarlug.requestlog import RequestLog, RequestLogSettings, RequestRecord
from poplarlug.serving.answers import AnswerHead
from poplarlug.serving.requests import GatewayRequest
from poplarlug.serving.trace import RequestTrace, current_trace
from poplarlug.topology import EntryVm

OWN = EntryVm("quito-a-1", "sierra-norte", "quito-a", "127.0.0.1:1", "127.0.0.1:2")


class ListLog(RequestLog):
    def __init__(self, folder: Path) -> None:
        super().__init__(settings=RequestLogSettings(), folder=folder)
        self.added: list[RequestRecord] = []

    def add(self, record: RequestRecord) -> None:
        self.added.append(record)


class ObservationTests(TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.log = ListLog(Path(self.enterContext(tempfile.TemporaryDirectory())))
        self.observer = RequestObserver(
            own=OWN,
            log=self.log,
            clock=lambda: self.now,
            wall_clock=lambda: self.now + 1e9,
        )

    def request(self) -> GatewayRequest:
        return GatewayRequest(
            id="r1",
            account="verde",
            rank="urgent",
            method="POST",
            path="/v1/chat/completions",
            body=b"",
            content_type="application/json",
            origin="quito-a-1",
            model="corn-7b",
            stream=True,
        )

    def test_record_has_every_fact_of_an_answer(self) -> None:
        """The record of a forwarded, answered request has all its fields set."""
        with self.observer.observe("r1") as trace:
            self.assertEqual(get_contextvars()["request_id"], "r1")
            self.assertIs(current_trace(), trace)
            trace.account, trace.request = "verde", self.request()
            trace.head = AnswerHead(200, "text/event-stream", None, "e3", "cuenca-a")
            trace.forwarded, trace.attempts, trace.bytes = True, 2, 640
            trace.first_byte_at = 100.25
            self.now = 103.0
        self.assertNotIn("request_id", get_contextvars())
        expected = RequestRecord(
            time=1e9 + 103.0,
            request_id="r1",
            entry="quito-a-1",
            region="sierra-norte",
            account="verde",
            rank="urgent",
            target="corn-7b",
            stream=True,
            zone="cuenca-a",
            served_by="e3",
            status=200,
            ran=True,
            first_token_seconds=0.25,
            total_seconds=3.0,
            attempts=2,
            forwarded=True,
            bytes=640,
        )
        self.assertEqual(self.log.added, [expected])

    def test_request_that_raises_is_written_down(self) -> None:
        """A request whose handler raises still gets a record."""
        with self.assertRaises(ValueError), self.observer.observe("r2"):
            raise ValueError("broken")
        self.assertEqual(self.log.added[0].request_id, "r2")

    # Guards against records of requests that "ran" though nobody got an answer.
    def test_request_whose_handler_is_ended_has_no_known_outcome(self) -> None:
        """Its entry stops, for example."""
        with self.assertRaises(CancelledError), self.observer.observe("r1"):
            raise CancelledError
        [record] = self.log.added
        self.assertEqual((record.status, record.ran), (0, None))

    def test_outcomes(self) -> None:
        """Each way that a request ends maps to its outcome."""
        answered = AnswerHead(200, "text/plain")
        cases: list[tuple[str, dict[str, Any]]] = [
            ("answered", {"head": answered}),
            ("upstream_error", {"head": AnswerHead(500, "text/plain")}),
            ("rejected", {"error": bad_request("no")}),
            ("refused", {"error": not_run("later", 1.0)}),
            ("refused", {"error": GatewayError(429, "too_many", "later", False, 1.0)}),
            ("failed", {"error": outcome_unknown("lost")}),
            ("abandoned", {"head": answered, "abandoned": True}),
        ]
        for expected, attributes in cases:
            trace = RequestTrace(request_id="r", started_at=0.0)
            for name, value in attributes.items():
                setattr(trace, name, value)
            self.assertEqual(outcome_of(trace), expected)

    def test_accounts_add_no_metrics(self) -> None:
        """A thousand accounts create no more time series than one."""

        def observe(account: str) -> None:
            with self.observer.observe("r") as trace:
                trace.account = account
                trace.request = self.request()._replace(account=account)
                trace.head = AnswerHead(200, "text/plain")

        def count_series() -> int:
            return sum(len(metric.samples) for metric in REGISTRY.collect())

        observe("first")
        before = count_series()
        for number in range(1000):
            observe(f"account-{number}")
        self.assertEqual(count_series(), before)
