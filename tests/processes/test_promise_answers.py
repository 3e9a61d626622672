"""Tests that each caller gets the whole answer to its own request."""

import signal
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from examples.deployment import wait_until
from poplarlug.soak.proxy import LinkMode
from tests.processes.case import ProcessTestCase
from tests.processes.history import Call, CallKind, check_complete_answers

CALLS = 24
ENTRIES = ("quito-a-1", "cuenca-a-1", "guayaquil-a-1")
TOKENS = 40
TOKEN_SECONDS = 0.02
FREEZE_SECONDS = 1.0
ANSWER_SECONDS = 6.0


class WholeAnswerTests(ProcessTestCase):
    """Quito and Cuenca have an engine each; Guayaquil forwards to them."""

    @classmethod
    def start_upstreams(cls) -> None:
        speed = f"--token_seconds={TOKEN_SECONDS}"
        for name, zone in (("e-quito", "quito-a"), ("e-cuenca", "cuenca-a")):
            cls.deployment.start_engine(name, zone, "corn-7b", speed)

    def setUp(self) -> None:
        self.addCleanup(self.proxy.heal)
        for entry in ENTRIES:
            self.wait_for_upstreams(entry)

    def ask(self, number: int) -> Call:
        kind: CallKind = "stream" if number % 2 else "chat"
        name = f"{self.id()}-{number}"
        fields = {
            "model": "corn-7b",
            "messages": [{"role": "user", "content": name}],
            "max_tokens": TOKENS + number,
            "stream": kind == "stream",
        }
        entry = ENTRIES[number % len(ENTRIES)]
        request_id = uuid.uuid4().hex
        headers = {"X-Request-Id": request_id}
        started = time.monotonic()
        path = "/v1/chat/completions"
        answer = self.call(entry, path, fields, headers=headers, seconds=ANSWER_SECONDS)
        return Call(
            request_id=request_id,
            kind=kind,
            account="verde",
            name=name,
            entry=entry,
            started=started,
            ended=time.monotonic(),
            status=answer.status,
            body=answer.body,
            fields=fields,
        )

    def ask_many(self, fault: Callable[[], None]) -> list[Call]:
        """Send all calls at once and inject ``fault`` while they run."""
        before = self.received_count()
        with ThreadPoolExecutor(CALLS) as pool:
            asked = [pool.submit(self.ask, number) for number in range(CALLS)]
            wait_until(
                lambda: self.received_count() >= before + CALLS // 2, "no calls arrived"
            )
            fault()
            return [future.result() for future in asked]

    def received_count(self) -> int:
        """Return how many requests the engines have received so far."""
        files = [self.deployment.requests_file(n) for n in ("e-quito", "e-cuenca")]
        return sum(
            len(file.read_text().splitlines()) for file in files if file.exists()
        )

    def test_concurrent_answers_reach_their_callers(self) -> None:
        """Without a fault, all concurrent answers are complete and not mixed up."""
        calls = self.ask_many(lambda: None)
        self.assertEqual(check_complete_answers(calls), [])
        self.assertEqual({call.status for call in calls}, {200})

    def test_a_killed_engine_leaves_no_short_answer(self) -> None:
        """Requests of the killed engine finish elsewhere or end with an error."""

        def kill() -> None:
            self.deployment.kill("e-quito")

        calls = self.ask_many(kill)
        self.deployment.start("e-quito")
        self.assertEqual(check_complete_answers(calls), [])
        self.assertTrue(all(call.status in (0, 200, 502, 503) for call in calls))

    def test_late_answers_of_a_resumed_engine_reach_their_callers(self) -> None:
        """Answers that a frozen engine sends after resuming reach their own callers."""

        def freeze() -> None:
            self.deployment.signal("e-cuenca", signal.SIGSTOP)
            time.sleep(FREEZE_SECONDS)
            self.deployment.signal("e-cuenca", signal.SIGCONT)

        self.assertEqual(check_complete_answers(self.ask_many(freeze)), [])

    def test_late_answers_of_a_resumed_entry_reach_their_callers(self) -> None:
        """Answers through a frozen entry are complete and own, or end with an error."""

        def freeze() -> None:
            self.deployment.signal("cuenca-a-1", signal.SIGSTOP)
            time.sleep(FREEZE_SECONDS)
            self.deployment.signal("cuenca-a-1", signal.SIGCONT)

        self.assertEqual(check_complete_answers(self.ask_many(freeze)), [])

    def test_a_cut_between_regions_leaves_no_short_answer(self) -> None:
        """Forwarded answers whose link breaks end with an error, never truncated."""

        def cut() -> None:
            self.proxy.set_mode(
                LinkMode.REFUSE, matching=lambda s, t: s == "guayaquil-a-1"
            )
            time.sleep(FREEZE_SECONDS)
            self.proxy.heal()

        self.assertEqual(check_complete_answers(self.ask_many(cut)), [])
