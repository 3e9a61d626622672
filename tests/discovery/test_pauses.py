"""Tests of what a process does after it stood still."""

import asyncio

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import PollReply
from poplarlug.discovery.pauses import HOLD_SECONDS, PAUSE_SECONDS, PauseWatch
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase

REPLY = PollReply(registry_id="r", revision=1, whole=False, current=True, zone="a")


class PauseWatchTests(QuietTestCase):
    def wait(self, *, paused: float, replies: list[tuple[float, float]]) -> float:
        """
        Return how long a request is held.

        Parameters
        ----------
        paused : float
            Seconds for which the process stood still before.
        replies : list of tuple
            When replies come, and when they were asked for, after the pause.
        """

        async def main() -> float:
            loop = asyncio.get_running_loop()
            uptime = 0.0
            deployment = Deployment(
                own_region="east", regions_by_zone={"a": "east"}, clock=loop.time
            )
            watch = PauseWatch(
                deployment=deployment, uptime=lambda: uptime, clock=loop.time
            )
            await asyncio.sleep(10.0)
            uptime = paused
            resumed_at = loop.time()
            for at, requested_at in replies:
                loop.call_at(
                    resumed_at + at,
                    deployment.apply_reply,
                    REPLY,
                    resumed_at + requested_at,
                )
            held = [
                asyncio.ensure_future(watch.wait_for_fresh_view()) for _ in range(3)
            ]
            await asyncio.gather(*held)
            first = loop.time() - resumed_at
            await watch.wait_for_fresh_view()
            assert loop.time() - resumed_at == first
            return first

        return run_virtual(main())

    def test_request_waits_for_an_answer_asked_for_after_the_pause(self) -> None:
        """One that was on its way may be as old as the pause."""
        replies = [(0.01, -5.0), (0.2, 0.01)]
        self.assertAlmostEqual(self.wait(paused=5.0, replies=replies), 0.2)

    def test_cut_off_zone_goes_on_with_what_it_has(self) -> None:
        """No replica answers; requests are held for a moment, once."""
        self.assertAlmostEqual(self.wait(paused=5.0, replies=[]), HOLD_SECONDS)

    def test_short_pauses_hold_nothing(self) -> None:
        """A busy loop is late now and then."""
        self.assertEqual(self.wait(paused=PAUSE_SECONDS - 0.1, replies=[]), 0.0)
