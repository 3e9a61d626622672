"""Tests of bookings while entries, upstreams and links fail."""

import signal
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from random import Random
from time import sleep
from typing import ClassVar, NamedTuple

from examples.deployment import wait_until
from poplarlug.soak.proxy import LinkMode
from tests.processes.case import Answer, ProcessTestCase

QUITO = ("quito-a-1", "quito-a-2", "quito-a-3")
RUN_SECONDS = 0.25


class BookingAnswer(NamedTuple):
    """An answer to one send of a key, and how often the key had run before."""

    runs_before: int
    answer: Answer


class ClaimsTestCase(ProcessTestCase):
    """Zones of three entries with one slow booking service in quito-a."""

    entries_per_zone = 3
    threads: ClassVar[ThreadPoolExecutor]
    gate: ClassVar[Path]

    @classmethod
    def start_upstreams(cls) -> None:
        cls.threads = ThreadPoolExecutor(24)
        cls.addClassCleanup(cls.threads.shutdown)
        cls.start_service()

    @classmethod
    def start_service(cls) -> None:
        cls.gate = Path(cls.deployment.folder).resolve() / "runs-are-held"
        options = (f"--run_seconds={RUN_SECONDS}", f"--gate_file={cls.gate}")
        cls.ledger = cls.deployment.start_service("s1", "quito-a", "depot", *options)

    def setUp(self) -> None:
        self.warm_ups = 0
        list(self.threads.map(self.wait_for_bookings, (*QUITO, "cuenca-a-1")))

    def wait_for_bookings(self, entry: str) -> None:
        def books() -> bool:
            self.warm_ups += 1
            key = f"quito-a:warm-{self.id()}-{entry}-{self.warm_ups}"
            return self.book(entry, key).status == 200

        wait_until(books, f"{entry} can't book")

    def book_later(self, entry: str, key: str) -> "Future[Answer]":
        return self.threads.submit(self.book, entry, key)

    def runs(self) -> Counter[str]:
        if not self.ledger.exists():
            return Counter()
        return Counter(self.ledger.read_text().split())

    def book_until_running(self, entry: str, key: str) -> "Future[Answer]":
        """Book, and return once the service has started to run it."""
        first = self.book_later(entry, key)
        wait_until(lambda: self.runs()[key] > 0 or first.done(), f"{key} never ran")
        return first

    def restart(self, *names: str) -> None:
        for name in names:
            self.deployment.start(name)
        self.deployment.wait_ready(names)

    def cut(self, zone: str, mode: LinkMode) -> None:
        def crosses(source: str, target: str) -> bool:
            return source.startswith(zone) != target.startswith(zone)

        self.proxy.set_mode(mode, matching=crosses)


class ClaimsFaultTests(ClaimsTestCase):
    def test_resend_joins_and_replays(self) -> None:
        """Resends through other entries and zones get the first run's answer."""
        key = "quito-a:join"
        first = self.book_until_running("quito-a-1", key)
        others = [self.book(entry, key) for entry in ("quito-a-2", "cuenca-a-1")]
        later = self.book("quito-a-3", key)
        bodies = {answer.body for answer in (first.result(), *others, later)}
        self.assertEqual(bodies, {first.result().body})
        self.assertEqual(first.result().status, 200)
        self.assertEqual(self.runs()[key], 1)

    def test_lost_answer_is_replayed(self) -> None:
        """A caller that timed out gets the stored answer elsewhere, without a rerun."""
        key = "quito-a:hung-up"
        lost = self.book("quito-a-1", key, seconds=RUN_SECONDS / 2)
        self.assertEqual(lost.status, 0)
        self.assertEqual(self.book("quito-a-2", key).json()["booked"], key)
        self.assertEqual(self.runs()[key], 1)

    def test_key_stands_for_one_body(self) -> None:
        """Another body with a used key is refused and doesn't run."""
        self.assertEqual(self.book("quito-a-1", "quito-a:body").status, 200)
        headers = {"Idempotency-Key": "quito-a:body"}
        other = self.call(
            "quito-a-2", "/svc/depot/bookings", {"bin": "B8"}, headers=headers
        )
        self.assertEqual((other.status, other.error_type), (422, "key_reused"))
        self.assertEqual(self.runs()["quito-a:body"], 1)

    def test_killed_owner_leaves_the_outcome_unknown(self) -> None:
        """After its owner is killed, a booking is never run again."""
        key = "quito-a:owner-killed"
        first = self.book_until_running("quito-a-1", key)
        self.deployment.kill("quito-a-1")
        self.assertEqual(first.result().status, 0)
        self.assertEqual(self.book("quito-a-2", key).error_type, "outcome_unknown")
        self.restart("quito-a-1")
        self.wait_for_bookings("quito-a-1")
        for entry in (*QUITO, "cuenca-a-1"):
            self.assertEqual(self.book(entry, key).error_type, "outcome_unknown")
        self.assertEqual(self.runs()[key], 1)

    def test_frozen_owner_is_not_replaced(self) -> None:
        """While its owner is frozen, a booking isn't run by another entry."""
        key = "quito-a:owner-frozen"
        # The run must be in progress when its owner is stopped, however late that is.
        self.gate.touch()
        self.addCleanup(self.gate.unlink, missing_ok=True)
        first = self.book_until_running("quito-a-1", key)
        self.deployment.signal("quito-a-1", signal.SIGSTOP)
        self.gate.unlink()
        resent = self.book("quito-a-2", key)
        self.deployment.signal("quito-a-1", signal.SIGCONT)
        self.assertEqual(resent.error_type, "outcome_unknown")
        self.assertEqual(first.result().status, 200)
        self.assertEqual(self.book("quito-a-3", key).body, first.result().body)
        self.assertEqual(self.runs()[key], 1)

    def test_killed_holder_keeps_bookings_running(self) -> None:
        """One of three holders may fail; it copies its records back from the others."""
        key = "quito-a:holder-killed"
        first = self.book_until_running("quito-a-1", key)
        self.deployment.kill("quito-a-3")
        self.assertEqual(first.result().status, 200)
        self.assertEqual(self.book("quito-a-2", key).body, first.result().body)
        self.restart("quito-a-3")
        self.wait_for_bookings("quito-a-3")
        self.deployment.kill("quito-a-1")
        self.assertEqual(self.book("quito-a-3", key).body, first.result().body)
        self.restart("quito-a-1")
        self.assertEqual(self.runs()[key], 1)

    def test_killed_upstream_leaves_the_outcome_unknown(self) -> None:
        """A booking whose service was killed during the run isn't run by another."""
        key = "quito-a:upstream-killed"
        first = self.book_until_running("quito-a-1", key)
        self.deployment.kill("s1")
        self.assertEqual(first.result().error_type, "outcome_unknown")
        self.assertIsNone(first.result().json()["error"]["ran"])
        self.start_service()
        self.wait_for_bookings("quito-a-2")
        self.assertEqual(self.book("quito-a-2", key).error_type, "outcome_unknown")
        self.assertEqual(self.runs()[key], 1)

    def test_cut_off_home_zone_books_its_own(self) -> None:
        """Other zones can't look up a key of a cut-off zone, and don't run it."""
        for mode in (LinkMode.SILENT, LinkMode.LOSE_THERE, LinkMode.LOSE_BACK):
            with self.subTest(mode=mode):
                key = f"quito-a:cut-{mode.value}"
                self.cut("quito-a", mode)
                away = self.book("cuenca-a-1", key)
                home = self.book("quito-a-1", key)
                self.proxy.heal()
                self.assertEqual(away.status, 503)
                self.assertEqual(away.error_type, "claims_unreachable")
                self.assertIn("Retry-After", away.headers)
                self.assertEqual(home.status, 200)
                self.wait_for_bookings("cuenca-a-1")
                self.assertEqual(self.book("cuenca-a-1", key).body, home.body)
                self.assertEqual(self.runs()[key], 1)


class LostMemoryTests(ClaimsTestCase):
    def test_two_of_three_holders_that_lost_all_refuse(self) -> None:
        """After two of three holders lost their records, no old key runs again."""
        keys = [f"quito-a:old-{number}" for number in range(10)]
        for answer in list(self.threads.map(lambda k: self.book(QUITO[0], k), keys)):
            self.assertEqual(answer.status, 200)
        for name in QUITO[:2]:
            self.deployment.kill(name)
        self.restart(*QUITO[:2])
        sleep(3.0)
        for key in keys:
            for entry in (QUITO[0], QUITO[2], "cuenca-a-1"):
                answer = self.book(entry, key)
                self.assertIn(answer.error_type, ("", "claims_unreachable"))
        runs = self.runs()
        self.assertEqual({key: runs[key] for key in keys}, dict.fromkeys(keys, 1))


class MixedFaultTests(ClaimsTestCase):
    keys = 240

    def test_hundreds_of_bookings_run_at_most_once(self) -> None:
        """By the service's ledger no key ran twice and none reported as not run ran."""
        seed = 20
        print(f"seed {seed}")
        rng = Random(seed)
        answers_by_key: dict[str, list[BookingAnswer]] = {}
        entries = (*QUITO, "cuenca-a-1", "guayaquil-a-2")

        def call(number: int, plan: list[tuple[float, str]]) -> None:
            key = f"quito-a:mixed-{number}"
            answers = answers_by_key.setdefault(key, [])
            for pause, entry in plan:
                sleep(pause)
                before = self.runs()[key]
                answers.append(BookingAnswer(before, self.book(entry, key, seconds=15)))

        plans = [
            [(rng.uniform(0, 0.4), rng.choice(entries)) for _ in range(3)]
            for _ in range(self.keys)
        ]
        calls = [self.threads.submit(call, *plan) for plan in enumerate(plans)]
        faults: list[Callable[[], None]] = [
            lambda: self.kill_for(0.5, "quito-a-1"),
            lambda: self.freeze_for(1.5, "quito-a-2"),
            lambda: self.cut_for(1.0, LinkMode.SILENT),
            lambda: self.kill_for(0.2, "quito-a-3"),
            lambda: self.cut_for(1.0, LinkMode.LOSE_BACK),
            lambda: self.kill_for(0.2, "cuenca-a-1"),
        ]
        for fault in faults:
            sleep(1.0)
            fault()
        for done in calls:
            done.result()
        self.check(answers_by_key)

    def check(self, answers_by_key: dict[str, list[BookingAnswer]]) -> None:
        runs = self.runs()
        twice = {key: count for key, count in runs.items() if count > 1}
        self.assertEqual(twice, {})
        outcomes: Counter[str] = Counter()
        for key, answers in answers_by_key.items():
            runs_after = [each.runs_before for each in answers[1:]] + [runs[key]]
            for each, ran in zip(answers, runs_after, strict=True):
                answer = each.answer
                outcomes[answer.error_type if answer.status >= 400 else "ok"] += 1
                if answer.status >= 400 and answer.json()["error"]["ran"] is False:
                    self.assertEqual(ran, 0, f"{key} was told {answer.body!r}")
        print(f"outcomes {dict(outcomes)}, keys run {len(runs)}")
        self.assertGreater(outcomes["ok"], self.keys)

    def kill_for(self, seconds: float, name: str) -> None:
        self.deployment.kill(name)
        sleep(seconds)
        self.restart(name)

    def freeze_for(self, seconds: float, name: str) -> None:
        self.deployment.signal(name, signal.SIGSTOP)
        sleep(seconds)
        self.deployment.signal(name, signal.SIGCONT)

    def cut_for(self, seconds: float, mode: LinkMode) -> None:
        self.cut("quito-a", mode)
        sleep(seconds)
        self.proxy.heal()
