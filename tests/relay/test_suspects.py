"""Tests of the quarantine of requests after crashes, and of suspect locks."""

import asyncio
from random import Random
from typing import Any, cast
from unittest import IsolatedAsyncioTestCase, TestCase

from poplarlug.discovery.crash_marks import CrashMark, CrashMarks
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.errors import outcome_unknown
from poplarlug.relay.context import DONE, Outcome, RequestContext
from poplarlug.relay.fingerprint import fingerprint_of
from poplarlug.relay.suspects import SuspectLocks, Suspects, Verdict, compute_verdict
from poplarlug.relay.trace import RelayTrace
from tests.relay.test_view import make_request


def make_suspects(deployment: Deployment) -> Suspects:
    clock = deployment._clock
    return Suspects(
        deployment=deployment,
        marks=CrashMarks(clock=clock),
        rng=Random(1),
        clock=clock,
    )


def make_marks(number: int, alone: int = 0, apart: int = 0) -> list[CrashMark]:
    """Return ``number`` marks on one request; the first ones have the flags."""
    return [
        CrashMark(
            7,
            UpstreamRun(f"u-{i}", 1),
            apart=i < max(alone, apart),
            alone=i < alone,
        )
        for i in range(number)
    ]


def make_context(**fields: Any) -> RequestContext:
    return RequestContext(
        request=make_request(**fields),
        sink=cast(Any, None),
        trace=RelayTrace(request_id="r-1", started=0.0),
    )


class ComputeVerdictTests(TestCase):
    def test_one_crash_changes_nothing(self) -> None:
        """A full batch of healthy requests runs alongside the one causing the crash."""
        self.assertIs(compute_verdict(make_marks(1)), Verdict.CLEAR)

    def test_two_crashes_make_a_suspect(self) -> None:
        """From then on it runs isolated from other suspects."""
        self.assertIs(compute_verdict(make_marks(2)), Verdict.SUSPECT)

    def test_crashes_beside_others_never_quarantine(self) -> None:
        """Many upstreams may crash at once, and repeatedly, for another reason."""
        self.assertIs(compute_verdict(make_marks(30)), Verdict.SUSPECT)
        self.assertIs(compute_verdict(make_marks(30, alone=1)), Verdict.SUSPECT)

    def test_crashes_apart_from_others_quarantine(self) -> None:
        """Two of three or more crashes are attributed to the request alone."""
        self.assertIs(compute_verdict(make_marks(2, alone=2)), Verdict.SUSPECT)
        self.assertIs(compute_verdict(make_marks(3, alone=2)), Verdict.QUARANTINED)
        self.assertIs(compute_verdict(make_marks(4, alone=2)), Verdict.QUARANTINED)

    def test_no_more_than_three_retries_are_made(self) -> None:
        """Several requests may crash upstreams of a zone at the same time."""
        self.assertIs(compute_verdict(make_marks(5, apart=2)), Verdict.SUSPECT)
        self.assertIs(compute_verdict(make_marks(6, apart=3)), Verdict.QUARANTINED)


class FingerprintTests(TestCase):
    def test_repeats_are_the_same_request(self) -> None:
        """Their request ids, last event ids and hops differ."""
        first = make_request(headers=(("X-Model", "m"),))
        again = first._replace(id="other", headers=(("Last-Event-Id", "5"),), hops=1)
        self.assertEqual(fingerprint_of(first), fingerprint_of(again))

    def test_other_content_or_caller_is_another_request(self) -> None:
        """The method, path, body and caller's key are part of the fingerprint."""
        first = make_request()
        others = [
            first._replace(method="PUT"),
            first._replace(path="/x/8"),
            first._replace(body=b"other"),
            first._replace(headers=(("Authorization", "Bearer k"),)),
        ]
        fingerprints = {fingerprint_of(one) for one in [first, *others]}
        self.assertEqual(len(fingerprints), 5)


class SuspectLocksTests(IsolatedAsyncioTestCase):
    async def test_upstream_runs_one_suspect_at_a_time(self) -> None:
        """Another suspect waits until its timeout."""
        locks = SuspectLocks()
        lock = await locks.acquire(1, "u-1", 0.1)
        assert lock is not None
        self.assertIsNone(await locks.acquire(2, "u-1", 0.05))
        waiting = asyncio.ensure_future(locks.acquire(2, "u-1", 1.0))
        await asyncio.sleep(0)
        lock.release(None)
        self.assertIsNotNone(await waiting)

    async def test_suspect_runs_once_at_a_time(self) -> None:
        """Callers send it at once on many connections; the first run decides."""
        locks = SuspectLocks()
        lock = await locks.acquire(1, "u-1", 0.1)
        assert lock is not None
        crashed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        lock.release(crashed)
        self.assertIsNone(await locks.acquire(1, "u-2", 0.05))
        self.assertIsNotNone(await locks.acquire(2, "u-1", 0.05))
        crashed.set_result(True)
        self.assertIsNotNone(await locks.acquire(1, "u-2", 0.05))

    async def test_cancelled_wait_takes_no_lock(self) -> None:
        """A cancelled wait leaves no lock behind."""
        locks = SuspectLocks()
        lock = await locks.acquire(1, "u-1", 0.1)
        assert lock is not None
        waiting = asyncio.ensure_future(locks.acquire(2, "u-1", 1.0))
        await asyncio.sleep(0)
        waiting.cancel()
        lock.release(None)
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertIsNotNone(await locks.acquire(3, "u-1", 0.05))


class SuspectsTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = asyncio.get_running_loop().time
        self.deployment = Deployment(
            own_region="east", regions_by_zone={"a": "east"}, clock=clock
        )
        self.marks = CrashMarks(clock=clock)
        self.suspects = Suspects(
            deployment=self.deployment, marks=self.marks, rng=Random(1), clock=clock
        )
        self.context = make_context()
        self.upstream = ServiceUpstream(
            "u-1", "desk", "127.0.0.1:9", "a", born=1, sequence=1, slots=4
        )

    def mark(self, number: int, alone: int) -> None:
        for mark in make_marks(number, alone):
            self.marks.add(mark._replace(fingerprint=self.context.fingerprint))

    async def test_interrupted_send_whose_upstream_is_gone_marks_the_request(
        self,
    ) -> None:
        """Nothing listens at the upstream's address any more."""
        interrupted = Outcome(outcome_unknown("lost"), connection_lost=True)
        crashed = self.suspects.note_outcome(
            self.context, self.upstream, interrupted, apart=True
        )
        assert crashed is not None
        await crashed
        [mark] = self.marks.active_for(self.context.fingerprint)
        self.assertEqual((mark.run, mark.alone), (self.upstream.run, True))

    async def test_interrupted_sends_alone_make_no_suspect(self) -> None:
        """An upstream that resets connections is alive; its requests stay clear."""
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        for number in range(5):
            upstream = self.upstream._replace(
                id=f"u-{number}", address=f"127.0.0.1:{port}"
            )
            interrupted = Outcome(outcome_unknown("lost"), connection_lost=True)
            self.suspects.note_outcome(self.context, upstream, interrupted, apart=False)
            self.assertIs(self.suspects.verdict(self.context), Verdict.CLEAR)
        await asyncio.sleep(0.5)
        self.assertIs(self.suspects.verdict(self.context), Verdict.CLEAR)

    async def test_whole_answer_clears_a_request(self) -> None:
        """An error response of the upstream counts too; other entries are notified."""
        self.mark(5, alone=1)
        self.assertIs(self.suspects.verdict(self.context), Verdict.SUSPECT)
        self.suspects.note_outcome(self.context, self.upstream, DONE, apart=True)
        self.assertIs(self.suspects.verdict(self.context), Verdict.CLEAR)
        self.assertEqual({mark.withdrawn for mark in self.marks.take_pending()}, {True})

    async def test_refusal_is_final_and_true(self) -> None:
        """It states that the request didn't run, unless an earlier attempt may have."""
        self.mark(3, alone=2)
        self.assertIs(self.suspects.verdict(self.context), Verdict.QUARANTINED)
        refusal = self.suspects.refusal(self.context, 0.0)
        refused = self.context.refuse(refusal)
        self.assertEqual(
            (refused.status, refused.ran, refused.retry_after_seconds),
            (422, False, None),
        )
        self.context.note_upstream_outcome("u-1", Outcome(outcome_unknown("lost")))
        self.assertIsNone(self.context.refuse(refusal).ran)

    async def test_release_lets_it_run_again(self) -> None:
        """An operator's release reaches an entry as withdrawn marks."""
        self.mark(3, alone=2)
        for mark in self.marks.active_for(self.context.fingerprint):
            self.marks.add(mark._replace(withdrawn=True))
        self.assertIs(self.suspects.verdict(self.context), Verdict.CLEAR)
