"""Tests of holding requests after a pause of the process."""

import asyncio

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import PollReply
from poplarlug.discovery.pauses import (
    CHECK_INTERVAL_SECONDS,
    FRESH_VIEW_TIMEOUT_SECONDS,
    MIN_LAG_SECONDS,
    MIN_PAUSE_SECONDS,
    PauseWatch,
)
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
            Duration of the preceding pause in seconds.
        replies : list of tuple
            Times of the replies and of their polls, relative to the end of the pause.
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
        """A reply to an earlier poll may be as old as the pause."""
        replies = [(0.01, -5.0), (0.2, 0.01)]
        self.assertAlmostEqual(self.wait(paused=5.0, replies=replies), 0.2)

    def test_cut_off_zone_goes_on_with_what_it_has(self) -> None:
        """Without a reply, requests are held only once and for a limited time."""
        self.assertAlmostEqual(
            self.wait(paused=5.0, replies=[]), FRESH_VIEW_TIMEOUT_SECONDS
        )

    def test_short_pauses_hold_nothing(self) -> None:
        """The event loop of a busy process lags occasionally."""
        self.assertEqual(self.wait(paused=MIN_PAUSE_SECONDS - 0.1, replies=[]), 0.0)

    # Guards against probes that are trusted after a pause that nobody has waited for.
    def test_pause_is_known_to_all_who_began_before_it(self) -> None:
        """It stays known after requests have waited for a fresh view."""

        async def main() -> None:
            loop = asyncio.get_running_loop()
            uptime = 0.0
            deployment = Deployment(
                own_region="east", regions_by_zone={"a": "east"}, clock=loop.time
            )
            watch = PauseWatch(
                deployment=deployment, uptime=lambda: uptime, clock=loop.time
            )
            await asyncio.sleep(10.0)
            before = loop.time() - 1.0
            self.assertFalse(watch.stood_still_since(before))
            uptime = 2 * MIN_PAUSE_SECONDS
            self.assertTrue(watch.stood_still_since(before))
            await watch.wait_for_fresh_view()
            self.assertTrue(watch.stood_still_since(before))
            self.assertFalse(watch.stood_still_since(loop.time()))

        run_virtual(main())

    # Guards against ends of connections that a short pause hid, and a successor since.
    def test_short_pause_is_known_right_behind_it(self) -> None:
        """What is read right behind a short pause may have happened before it."""

        async def main() -> None:
            loop = asyncio.get_running_loop()
            uptime = 0.0
            watch = PauseWatch(
                deployment=Deployment(
                    own_region="east", regions_by_zone={"a": "east"}, clock=loop.time
                ),
                uptime=lambda: uptime,
                clock=loop.time,
            )
            uptime = MIN_LAG_SECONDS - 0.01
            self.assertFalse(watch.stood_still_since(loop.time()))
            uptime += MIN_LAG_SECONDS
            self.assertTrue(watch.stood_still_since(loop.time()))
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.assertFalse(watch.stood_still_since(loop.time()))

        run_virtual(main())
