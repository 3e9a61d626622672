"""Tests of requests that arrive while a deployment that lost its power comes back."""

import asyncio

from poplarlug.discovery.deployment import DISCOVERY_SECONDS
from poplarlug.errors import GatewayError
from poplarlug.relay.dispatcher import LocalTarget
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase
from tests.relay.test_limiter import UPSTREAMS, Entry

CALLERS = 40
COMPARING_SECONDS = 0.7
"""Time from an entry's first contact until the control replicas have compared their
records, with 160 ms for a round trip between regions."""


class CommonStartTests(QuietTestCase):
    # Guards against windows in which every returning caller is refused.
    def test_requests_wait_until_upstreams_are_known(self) -> None:
        """All callers are served at once when the control replicas agree."""

        async def run() -> None:
            entry = Entry(settled=False, upstreams=())
            running = asyncio.ensure_future(entry.dispatcher.run())
            sent = [asyncio.ensure_future(entry.send()) for _ in range(CALLERS)]
            await asyncio.sleep(COMPARING_SECONDS)
            self.assertFalse(any(one.done() for one in sent))
            entry.deployment.apply_reply(
                entry.reply._replace(
                    revision=2, whole=False, upstreams=UPSTREAMS, routing=None
                )
            )
            known_at = entry.clock()
            for target in await asyncio.gather(*sent):
                self.assertIsInstance(target, LocalTarget)
            self.assertLess(entry.clock() - known_at, 0.2)
            running.cancel()

        run_virtual(run())

    def test_service_without_upstreams_refuses_at_once_later(self) -> None:
        """No request waits longer than control replicas need to compare records."""

        async def run() -> None:
            entry = Entry(settled=False, upstreams=())
            running = asyncio.ensure_future(entry.dispatcher.run())
            first = await entry.send()
            assert isinstance(first, GatewayError)
            self.assertLess(entry.refused_after[0], DISCOVERY_SECONDS + 0.1)
            self.assertIsInstance(await entry.send(), GatewayError)
            self.assertEqual(entry.refused_after[1], 0.0)
            running.cancel()

        run_virtual(run())

    def test_single_restarted_entry_refuses_at_once(self) -> None:
        """A settled control replica knows that there is no upstream."""

        async def run() -> None:
            entry = Entry(upstreams=())
            self.assertIsInstance(await entry.send(), GatewayError)
            self.assertEqual(entry.refused_after, [0.0])

        run_virtual(run())

    def test_caller_with_little_time_left_waits_as_long_as_it_can(self) -> None:
        """Returning callers have spent most of their time before the start."""

        async def run() -> None:
            entry = Entry(settled=False, upstreams=())
            running = asyncio.ensure_future(entry.dispatcher.run())
            short = asyncio.ensure_future(entry.send(deadline=entry.clock() + 1.9))
            await asyncio.sleep(COMPARING_SECONDS)
            entry.deployment.apply_reply(
                entry.reply._replace(
                    revision=2, whole=False, upstreams=UPSTREAMS, routing=None
                )
            )
            self.assertIsInstance(await short, LocalTarget)
            running.cancel()

        run_virtual(run())

    def test_hurried_request_is_refused_at_once(self) -> None:
        """It would be too late for its caller once upstreams are known."""

        async def run() -> None:
            entry = Entry(settled=False, upstreams=())
            hurried = await entry.send(deadline=entry.clock() + 1.0)
            self.assertIsInstance(hurried, GatewayError)
            self.assertEqual(entry.refused_after, [0.0])

        run_virtual(run())
