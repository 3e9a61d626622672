"""Tests of the quarantine of requests after crashes, and of suspect locks."""

import asyncio
from itertools import count
from random import Random
from typing import Any, cast
from unittest import IsolatedAsyncioTestCase, TestCase

from poplarlug.discovery.crash_marks import (
    PART_FLAG,
    CrashMark,
    CrashMarks,
    format_fingerprint,
    parse_fingerprint,
)
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.errors import outcome_unknown, truncated_answer
from poplarlug.relay.context import DONE, Outcome, RequestContext
from poplarlug.relay.ended_runs import EndedRuns
from poplarlug.relay.fingerprint import fingerprint_of, part_keys_of
from poplarlug.relay.requests import Prompt, PromptPart
from poplarlug.relay.suspects import (
    MAX_PARTS_PER_CRASH,
    PRESUMED_SECONDS,
    SuspectLocks,
    Suspects,
    Verdict,
    compute_verdict,
)
from poplarlug.relay.trace import RelayTrace
from tests.relay.test_view import make_request


def make_suspects(deployment: Deployment) -> Suspects:
    clock = deployment._clock
    return Suspects(
        deployment=deployment,
        marks=CrashMarks(clock=clock),
        ended_runs=EndedRuns(deployment=deployment, clock=clock),
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


def make_prompt(*parts: str) -> Prompt:
    """Return a prompt with these parts, the last of which is its own."""
    return Prompt("m", 10, 5, tuple(PromptPart(part, 10) for part in parts))


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
        self.assertIs(compute_verdict(make_marks(5, apart=3)), Verdict.SUSPECT)
        self.assertIs(compute_verdict(make_marks(6, apart=4)), Verdict.QUARANTINED)


class PartKeyTests(TestCase):
    def test_part_is_the_same_in_all_prompts_of_a_model(self) -> None:
        """The caller, the route and the other parts make no difference."""
        first, second = make_prompt("a", "d", "e1"), make_prompt("b", "d", "e2")
        self.assertEqual(part_keys_of(first)[1], part_keys_of(second)[1])
        other_model = first._replace(model="n")
        self.assertNotEqual(part_keys_of(first)[1], part_keys_of(other_model)[1])

    def test_last_part_has_no_key(self) -> None:
        """It belongs to the request itself or its session."""
        self.assertEqual([key.id for key in part_keys_of(make_prompt("a", "e"))], ["a"])
        self.assertEqual(part_keys_of(make_prompt("e")), ())

    def test_parts_and_requests_have_names_of_their_own(self) -> None:
        """Operators release them by these names."""
        part = part_keys_of(make_prompt("a", "e"))[0].fingerprint
        request = fingerprint_of(make_request())
        for fingerprint, prefix in ((part, "p-"), (request, "r-")):
            name = format_fingerprint(fingerprint)
            self.assertTrue(name.startswith(prefix))
            self.assertEqual(parse_fingerprint(name), fingerprint)


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
    async def test_only_the_charged_suspect_waits_for_a_crash_check(self) -> None:
        """Requests that share the other suspects may clear them meanwhile."""
        locks = SuspectLocks()
        lock = await locks.acquire([5, 4], "u-1", 0.1)
        assert lock is not None
        self.assertIsNone(await locks.acquire([4], "u-2", 0.05))
        lock.release(asyncio.get_running_loop().create_future())
        self.assertIsNotNone(await locks.acquire([4], "u-2", 0.05))
        self.assertIsNone(await locks.acquire([5], "u-1", 0.05))

    async def test_upstream_runs_one_suspect_at_a_time(self) -> None:
        """Another suspect waits until its timeout."""
        locks = SuspectLocks()
        lock = await locks.acquire([1], "u-1", 0.1)
        assert lock is not None
        self.assertIsNone(await locks.acquire([2], "u-1", 0.05))
        waiting = asyncio.ensure_future(locks.acquire([2], "u-1", 1.0))
        await asyncio.sleep(0)
        lock.release(None)
        self.assertIsNotNone(await waiting)

    async def test_suspect_runs_once_at_a_time(self) -> None:
        """Callers send it at once on many connections; the first run decides."""
        locks = SuspectLocks()
        lock = await locks.acquire([1], "u-1", 0.1)
        assert lock is not None
        crashed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        lock.release(crashed)
        self.assertIsNone(await locks.acquire([1], "u-2", 0.05))
        self.assertIsNotNone(await locks.acquire([2], "u-1", 0.05))
        crashed.set_result(True)
        self.assertIsNotNone(await locks.acquire([1], "u-2", 0.05))

    async def test_cancelled_wait_takes_no_lock(self) -> None:
        """A cancelled wait leaves no lock behind."""
        locks = SuspectLocks()
        lock = await locks.acquire([1], "u-1", 0.1)
        assert lock is not None
        waiting = asyncio.ensure_future(locks.acquire([2], "u-1", 1.0))
        await asyncio.sleep(0)
        waiting.cancel()
        lock.release(None)
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertIsNotNone(await locks.acquire([3], "u-1", 0.05))


class SuspectsTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = asyncio.get_running_loop().time
        self.deployment = Deployment(
            own_region="east", regions_by_zone={"a": "east"}, clock=clock
        )
        self.marks = CrashMarks(clock=clock)
        self.suspects = Suspects(
            deployment=self.deployment,
            marks=self.marks,
            ended_runs=EndedRuns(deployment=self.deployment, clock=clock),
            rng=Random(1),
            clock=clock,
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

    async def test_spoiled_answer_tells_nothing_of_a_request(self) -> None:
        """Its upstream lived; it neither crashed nor answered."""
        self.mark(5, alone=1)
        spoiled = Outcome(truncated_answer("spoiled"), is_foreign=True)
        checked = self.suspects.note_outcome(
            self.context, self.upstream, spoiled, apart=True
        )
        self.assertIsNone(checked)
        self.assertEqual(len(self.marks.active_for(self.context.fingerprint)), 5)

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


class PartTests(IsolatedAsyncioTestCase):
    """Crashes are counted against the shared parts of prompts."""

    async def asyncSetUp(self) -> None:
        self.now = 100.0
        self.deployment = Deployment(
            own_region="east", regions_by_zone={"a": "east"}, clock=lambda: self.now
        )
        self.marks = CrashMarks(clock=lambda: self.now)
        self.suspects = Suspects(
            deployment=self.deployment,
            marks=self.marks,
            ended_runs=EndedRuns(deployment=self.deployment, clock=lambda: self.now),
            rng=Random(1),
            clock=lambda: self.now,
        )
        self.numbers = count()

    def context(self, *parts: str) -> RequestContext:
        """Return a request unlike any other, with these shared parts."""
        number = next(self.numbers)
        return make_context(
            prompt=make_prompt(*parts, f"e{number}"), body=b"%d" % number
        )

    async def crash(self, context: RequestContext, *, apart: bool = False) -> None:
        """Crash an upstream, where nothing listens any more, under a request."""
        upstream = ServiceUpstream(
            f"u-{next(self.numbers)}", "desk", "127.0.0.1:9", "a", 1, 1, 4
        )
        if apart:
            lock = await self.suspects.acquire_lock(context, upstream, 0.1)
            assert lock is not None
            lock.release(None)
        lost = Outcome(outcome_unknown("lost"), connection_lost=True)
        checked = self.suspects.note_outcome(context, upstream, lost, apart=apart)
        assert checked is not None
        await checked

    def answer(self, context: RequestContext, status: int = 200) -> None:
        upstream = ServiceUpstream("u-x", "desk", "127.0.0.1:9", "a", 1, 1, 4)
        outcome = DONE._replace(status=status)
        self.suspects.note_outcome(context, upstream, outcome, apart=False)

    def verdict(self, *parts: str) -> Verdict:
        """Return the verdict on a new request with these shared parts."""
        return self.suspects.verdict(self.context(*parts))

    async def test_part_of_several_crashed_requests_is_a_suspect(self) -> None:
        """No two of the requests are alike."""
        await self.crash(self.context("a", "d"))
        self.assertIs(self.verdict("a", "d"), Verdict.CLEAR)
        await self.crash(self.context("a", "d"))
        self.answer(self.context("a", "b"))
        self.assertIs(self.verdict("a", "d"), Verdict.SUSPECT)
        self.assertIs(self.verdict("a", "b"), Verdict.CLEAR)

    async def test_crash_in_isolation_is_charged_to_the_last_suspected_part(
        self,
    ) -> None:
        """The parts before it are shared with healthy requests."""
        for _ in range(2):
            await self.crash(self.context("a", "d"))
        for _ in range(2):
            await self.crash(self.context("a", "d"), apart=True)
        self.assertIs(self.verdict("d"), Verdict.QUARANTINED)
        self.assertIs(self.verdict("a", "b"), Verdict.SUSPECT)
        self.answer(self.context("a", "b"))
        self.assertIs(self.verdict("a", "b"), Verdict.CLEAR)
        self.assertIs(self.verdict("a", "d"), Verdict.QUARANTINED)
        refusal = self.suspects.refusal(self.context("a", "d"), self.now)
        self.assertEqual(refusal.status, 422)
        self.assertIn("'d'", refusal.message)

    async def test_repeated_request_is_charged_before_its_parts(self) -> None:
        """Other requests with its parts may be healthy."""
        repeated = self.context("a", "d")
        for apart in (False, False, True, True):
            await self.crash(repeated, apart=apart)
        self.assertIs(self.suspects.verdict(repeated), Verdict.QUARANTINED)
        self.assertIs(self.verdict("a", "d"), Verdict.SUSPECT)

    async def test_crash_soon_after_a_success_does_not_count(self) -> None:
        """Parts that all requests of a route share succeed many times a second."""
        for _ in range(3):
            self.answer(self.context("a"))
            await self.crash(self.context("a", "d"))
        self.assertIs(self.verdict("a"), Verdict.CLEAR)
        self.now += PRESUMED_SECONDS
        for _ in range(2):
            await self.crash(self.context("a"))
        self.assertIs(self.verdict("a"), Verdict.SUSPECT)

    async def test_success_here_withdraws_marks_of_other_entries(self) -> None:
        """The entry that saw the crash may have had no success with the part."""
        self.answer(self.context("a"))
        part = self.context("a").part_keys[0].fingerprint
        for number in range(2):
            self.marks.add(CrashMark(part, UpstreamRun(f"v-{number}", 1)))
        self.assertIs(self.verdict("a"), Verdict.CLEAR)
        self.assertEqual({mark.withdrawn for mark in self.marks.take_pending()}, {True})

    async def test_error_does_not_clear_a_part(self) -> None:
        """The upstream may have failed the request before it began to answer."""
        for _ in range(2):
            await self.crash(self.context("d"))
        self.answer(self.context("d"), status=504)
        self.assertIs(self.verdict("d"), Verdict.SUSPECT)

    async def test_parts_marked_for_a_crash_are_bounded(self) -> None:
        """Callers may list parts without limit; known suspects are marked first."""
        await self.crash(self.context("d"))
        await self.crash(self.context("d", *(f"x{n}" for n in range(300))))
        self.assertIs(self.verdict("d"), Verdict.SUSPECT)
        found = self.marks.active_by_fingerprint(1)
        self.assertEqual(sum(f >= PART_FLAG for f in found), MAX_PARTS_PER_CRASH)

    async def test_all_requests_of_a_suspected_part_run_at_one_entry(self) -> None:
        """The entry is chosen by the first suspect of a prompt."""
        for _ in range(2):
            await self.crash(self.context("a", "d"))
        broadest = {
            self.suspects.broadest_suspect(self.context("a", "d", part))
            for part in ("b1", "b2")
        }
        self.assertEqual(broadest, {self.context("a").part_keys[0].fingerprint})
