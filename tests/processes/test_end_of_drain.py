"""Tests of accounts' requests that outlast the drain of their entry."""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from examples.deployment import wait_until
from poplarlug.fakes.ledger import read_ledger
from tests.processes.case import Answer, ProcessTestCase

TOKENS = 50
TOKEN_SECONDS = 0.4
BOOKING_SECONDS = 20.0
DRAIN_SECONDS = 1.0
END_SECONDS = 6.0
ENTRY = "quito-a-1"
PROGRAM = f"""
import poplarlug.entry.entry as entry
from poplarlug.callers.connections import ConnectionGuard
from poplarlug.entry.main import main
entry.DRAIN_TIMEOUT_SECONDS = {DRAIN_SECONDS}
ConnectionGuard.serve.__kwdefaults__["shutdown_seconds"] = {DRAIN_SECONDS}
main()
"""


class EndOfDrainTests(ProcessTestCase):
    """Quito has an engine and a service; Guayaquil forwards to it."""

    @classmethod
    def start_upstreams(cls) -> None:
        deployment = cls.deployment
        speed = f"--token_seconds={TOKEN_SECONDS}"
        deployment.start_engine("e-quito", "quito-a", "corn-7b", speed)
        deployment.start_service(
            "s-quito", "quito-a", "depot", f"--run_seconds={BOOKING_SECONDS}"
        )
        deployment.kill(ENTRY)
        arguments = deployment.commands_by_name[ENTRY][1:]
        deployment.start(ENTRY, "python", "-c", PROGRAM, *arguments)

    def send(self, kind: str, entry: str) -> Answer:
        if kind == "book":
            return self.book(entry, uuid.uuid4().hex)
        return self.chat(entry, kind, max_tokens=TOKENS, stream=kind == "stream")

    def arrivals(self) -> int:
        files = map(self.deployment.requests_file, ("e-quito", "s-quito"))
        return sum(len(read_ledger(file)) for file in files)

    # Guards against requests that got no answer, or went on through closed clients.
    def test_each_request_is_told_its_end_before_its_entry_ends(self) -> None:
        """It may have run; a stream breaks off. So do those of another entry."""
        for entry in (ENTRY, "guayaquil-a-1"):
            self.wait_for_upstreams(entry)
        calls = [
            (kind, entry)
            for entry in (ENTRY, "guayaquil-a-1")
            for kind in ("book", "chat", "stream")
        ]
        before = self.arrivals()
        with ThreadPoolExecutor(len(calls)) as pool:
            sent = [pool.submit(self.send, *call) for call in calls]
            wait_until(
                lambda: self.arrivals() - before >= len(calls), "not all calls arrived"
            )
            started = time.monotonic()
            status = self.deployment.stop(ENTRY)
            seconds = time.monotonic() - started
            answers = [future.result() for future in sent]
        log = (self.deployment.folder / f"{ENTRY}.log").read_text()
        seen = [
            (call, a.status, a.body[-200:])
            for call, a in zip(calls, answers, strict=True)
        ]
        for (kind, _), code, body in seen:
            if kind == "stream":
                self.assertEqual(code, 0, seen)
                continue
            self.assertEqual(code, 502, seen)
            self.assertIn(b'"ran":null', body.replace(b" ", b""), seen)
        self.assertEqual(status, 0)
        self.assertLess(seconds, DRAIN_SECONDS + END_SECONDS)
        self.assertNotIn("Traceback", log)
        self.assertNotIn("is closed", log)
