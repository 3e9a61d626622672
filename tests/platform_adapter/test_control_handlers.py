"""Tests of announcements that a control replica reads late, over its HTTP interface."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import ClientSession, ClientTimeout, web

from poplarlug.control.routing_service import RoutingService
from poplarlug.control.standstill import StandstillWatch
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.discovery.registrar import Registrar
from poplarlug.discovery.registry import Registry
from poplarlug.platform.control import ControlHandlers
from poplarlug.platform.encoding import encode_heartbeat
from poplarlug.platform.names import UPSTREAM_PATH
from tests.control.quiet import QuietTestCase
from tests.control.test_routing_service import ROUND_TRIP_SECONDS

FORMER = ServiceUpstream(
    id="u-1",
    service="desk",
    address="10.0.0.1:8300",
    zone="quito-a",
    born=1,
    sequence=1,
    slots=8,
    phase="serving",
)
LATER = FORMER._replace(born=2)
FAREWELL = UPSTREAM_PATH.replace("{id}", FORMER.id)


class RegistryOnly:
    """The part of a registrar that applies announcements."""

    def __init__(self, *, registry: Registry) -> None:
        self.registry = registry

    async def receive_announcement(self, record: ServiceUpstream) -> bool:
        self.registry.apply_report(record)
        return True


class LateAnnouncementTests(QuietTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspended = 0.0

    def run_replica(
        self, main: Callable[[ClientSession, str], Awaitable[None]]
    ) -> Registry:
        """Return the registry of a replica after ``main(session, url)``."""

        async def run() -> Registry:
            loop = asyncio.get_running_loop()
            registry = Registry(clock=loop.time, announcement_seconds=1.2)
            registry.apply_report(FORMER)
            self.registry = registry
            standstill = StandstillWatch(uptime=lambda: loop.time() + self.suspended)
            assert not standstill.may_read_late
            handlers = ControlHandlers(
                routing=cast(RoutingService, None),
                registrar=cast(Registrar, cast(Any, RegistryOnly(registry=registry))),
                standstill=standstill,
            )
            runner = web.AppRunner(handlers.build(), access_log=None)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            _, port = runner.addresses[0][:2]
            try:
                async with ClientSession() as session:
                    await main(session, f"http://127.0.0.1:{port}")
            finally:
                await runner.cleanup()
            return registry

        return asyncio.run(run())

    def phase(self, registry: Registry) -> str:
        record = registry.upstream(FORMER.id)
        assert record is not None
        return record.phase

    # Guards against farewells that end a later run for good.
    def test_farewell_read_after_a_standstill_ends_nothing(self) -> None:
        """The replica has heard of the later run before it reads the farewell."""

        async def main(session: ClientSession, url: str) -> None:
            self.registry.apply_report(LATER)
            self.suspended = 7.0
            async with session.delete(url + FAREWELL) as answer:
                self.assertEqual(answer.status, 503)

        self.assertEqual(self.phase(self.run_replica(main)), "serving")

    def test_farewell_ends_no_run_that_is_heard_of_after_it(self) -> None:
        """It names the run that was known when it was read."""

        async def main(session: ClientSession, url: str) -> None:
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self.registry.apply_report, LATER)
            async with session.delete(url + FAREWELL) as answer:
                self.assertEqual(answer.status, 200)

        self.assertEqual(self.phase(self.run_replica(main)), "serving")

    # Guards against farewells that are taken after their sender has gone elsewhere.
    def test_farewell_whose_sender_left_ends_nothing(self) -> None:
        """Its bytes were held up on the way; another replica has got it."""

        async def main(session: ClientSession, url: str) -> None:
            for seconds in (0.03, ROUND_TRIP_SECONDS):
                timeout = ClientTimeout(total=seconds)
                with self.assertRaises(TimeoutError):
                    await session.delete(url + FAREWELL, timeout=timeout)
            await asyncio.sleep(0.5)

        self.assertEqual(self.phase(self.run_replica(main)), "serving")

    def test_farewell_ends_the_run_that_sent_it(self) -> None:
        """Without a delay, it is acknowledged at once."""

        async def main(session: ClientSession, url: str) -> None:
            async with session.delete(url + FAREWELL) as answer:
                self.assertEqual(answer.status, 200)

        self.assertEqual(self.phase(self.run_replica(main)), "gone")

    def test_heartbeat_read_after_a_standstill_is_no_sign_of_life(self) -> None:
        """Its upstream may have crashed meanwhile."""

        async def main(session: ClientSession, url: str) -> None:
            path, body = encode_heartbeat(FORMER._replace(sequence=2))
            for suspended, status in ((0.0, 200), (7.0, 503)):
                self.suspended = suspended
                async with session.put(url + path, data=body) as answer:
                    self.assertEqual(answer.status, status)

        self.run_replica(main)
