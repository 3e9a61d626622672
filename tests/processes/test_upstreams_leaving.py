"""Tests of upstreams that leave, stop renewing their lease or are stopped."""

import signal
import threading
import time

from examples.deployment import wait_until
from poplarlug.fakes.ledger import read_ledger
from tests.processes.case import Answer, ProcessTestCase
from tests.processes.counting_upstream import CountingUpstream

SETTLE_SECONDS = 0.5
REQUESTS = 30
CALLERS = 8
ROUNDS = 4
SLOW = "--token_seconds=0.03"


class LeavingUpstreamTests(ProcessTestCase):
    entries_per_zone = 2

    @classmethod
    def start_upstreams(cls) -> None:
        cls.deployment.start_engine("e1", "quito-a", "corn-7b", SLOW)

    def setUp(self) -> None:
        self.upstream = CountingUpstream(
            upstream_id=f"counting-{self.id().rsplit('.')[-1]}",
            address=self.deployment.address(),
            entry=self.entry("quito-a-1"),
        )
        self.addCleanup(self.upstream.close)
        for entry in ("quito-a-1", "quito-a-2", "cuenca-a-1"):
            wait_until(lambda entry=entry: self.is_used_by(entry), f"{entry}: not used")

    def is_used_by(self, entry: str) -> bool:
        before = self.upstream.served
        return self.chat(entry, "reach").status == 200 and self.upstream.served > before

    def ask_everywhere(self) -> None:
        for number in range(REQUESTS):
            for entry in ("quito-a-1", "quito-a-2", "cuenca-a-1"):
                answer = self.chat(entry, f"request {number}", max_tokens=1)
                self.assertEqual(answer.status, 200, answer.body)

    def test_leaving_is_never_overridden_by_serving(self) -> None:
        """An upstream that left gets no request from any zone, even if it renews."""
        answer = self.upstream.announce("leaving")
        self.assertEqual(answer.get("shared"), True)
        time.sleep(SETTLE_SECONDS)
        served = self.upstream.served
        self.upstream.announce("serving", entry=self.entry("quito-a-2"))
        self.ask_everywhere()
        self.assertEqual(self.upstream.served, served)

    def test_upstream_with_expired_lease_is_not_used(self) -> None:
        """An upstream that stops renewing gets no request once its lease ended."""
        self.upstream.stop_renewing()
        wait_until(lambda: not self.is_used_by("quito-a-1"), "still used", seconds=20)
        time.sleep(6.0)
        served = self.upstream.served
        self.ask_everywhere()
        self.assertEqual(self.upstream.served, served)

    def test_stopped_upstream_finishes_its_streams(self) -> None:
        """SIGTERM to an upstream under load interrupts no request; it exits with 0."""
        self.upstream.announce("leaving")
        self.deployment.start_engine("e-stopped", "quito-a", "corn-7b", SLOW)
        answers: list[Answer] = []

        def ask() -> None:
            for number in range(ROUNDS):
                answers.append(
                    self.chat("quito-a-2", f"s{number}", stream=True, max_tokens=60)
                )

        threads = [threading.Thread(target=ask) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        ledger = self.deployment.requests_file("e-stopped")
        wait_until(lambda: len(read_ledger(ledger)) >= 3, "the engine is not used")
        self.deployment.signal("e-stopped", signal.SIGTERM)
        for thread in threads:
            thread.join()
        process = self.deployment.processes_by_name["e-stopped"]
        self.assertEqual(process.wait(30), 0)
        self.assertEqual([a.status for a in answers], [200] * CALLERS * ROUNDS)
        for answer in answers:
            self.assertTrue(
                answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-80:]
            )
