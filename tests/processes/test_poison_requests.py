"""Tests of requests that crash the engines that run them."""

from concurrent.futures import ThreadPoolExecutor

from examples.deployment import wait_until
from poplarlug.fakes.engine import CRASH_MARKER
from tests.processes.case import ProcessTestCase

ENGINES = ("e1", "e2", "e3", "e4")

QUARANTINE_METRIC = b"poplarlug_requests_quarantined_total 1.0"


class PoisonRequestTests(ProcessTestCase):
    entries_per_zone = 2

    @classmethod
    def start_upstreams(cls) -> None:
        for name in ENGINES:
            options = "--first_token_seconds=0.3"
            cls.deployment.start_engine(name, "quito-a", "corn-7b", options)

    def crashed(self) -> int:
        processes = self.deployment.processes_by_name
        return sum(processes[name].poll() is not None for name in ENGINES)

    def test_poison_request_is_quarantined_and_others_are_not(self) -> None:
        """After two crashes all entries refuse it at once; others are served."""
        for entry in ("quito-a-1", "quito-a-2", "cuenca-a-1"):
            self.wait_for_upstreams(entry)
        with ThreadPoolExecutor(12) as threads:
            healthy_calls = [
                threads.submit(self.chat, "quito-a-1", f"healthy {number}")
                for number in range(8)
            ]
            poison = self.chat("quito-a-1", CRASH_MARKER)
            answers = [each.result() for each in healthy_calls]
        self.assertEqual((poison.status, poison.error_type), (422, "quarantined"))
        self.assertNotIn("quarantined", {a.error_type for a in answers})
        self.assertEqual(self.crashed(), 2)
        for entry in ("quito-a-1", "quito-a-2", "cuenca-a-1"):
            wait_until(
                lambda entry=entry: (
                    QUARANTINE_METRIC in self.call(entry, "/metrics").body
                ),
                f"{entry} knows nothing of the quarantine",
            )
            resent = self.chat(entry, CRASH_MARKER)
            self.assertEqual((resent.status, resent.error_type), (422, "quarantined"))
        self.assertEqual(self.crashed(), 2)
        for number in range(8):
            healthy = self.chat("quito-a-2", f"healthy {number}")
            self.assertEqual(healthy.status, 200, healthy.body)
