"""Tests of distinguishing the crash of one upstream from a widespread outage."""

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import PollReply
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.relay.crash_scope import CONFIRM_SECONDS, CrashScope

REGIONS_BY_ZONE = {"a": "east", "b": "east", "c": "west"}


class CrashScopeTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.deployment = Deployment(
            own_region="east",
            regions_by_zone=REGIONS_BY_ZONE,
            clock=asyncio.get_running_loop().time,
        )
        self.scope = CrashScope(deployment=self.deployment, rng=Random(1))
        self.servers: dict[str, asyncio.Server] = {}
        self.crashed = await self.add("crashed", "a")
        self.servers["crashed"].close()

    async def add(self, name: str, zone: str) -> ServiceUpstream:
        """Start an upstream that accepts connections and announce it."""
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        self.servers[name] = server
        port = server.sockets[0].getsockname()[1]
        upstream = ServiceUpstream(
            name, "desk", f"127.0.0.1:{port}", zone, born=10, sequence=1, slots=4
        )
        self.take(upstream)
        return upstream

    def take(self, *upstreams: ServiceUpstream) -> None:
        self.deployment.apply_reply(
            PollReply("r", 1, False, True, "a", upstreams=upstreams)
        )

    async def is_widespread(self, *excluded: UpstreamRun) -> tuple[bool, float]:
        """Return the result of the check and its duration."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        wide = await self.scope.is_widespread(self.crashed, lambda: excluded)
        return wide, loop.time() - started

    async def test_others_that_stay_up_show_a_crash_of_one(self) -> None:
        """They are checked a second time after a delay."""
        for name in ("u-1", "u-2"):
            await self.add(name, "a")
        wide, seconds = await self.is_widespread()
        self.assertFalse(wide)
        self.assertGreaterEqual(seconds, CONFIRM_SECONDS)

    async def test_half_of_the_others_down_show_a_wide_crash(self) -> None:
        """The result is immediate, so that a suspect needn't wait."""
        for name in ("u-1", "u-2"):
            await self.add(name, "a")
        self.servers["u-1"].close()
        wide, seconds = await self.is_widespread()
        self.assertTrue(wide)
        self.assertLess(seconds, CONFIRM_SECONDS)

    async def test_others_that_are_back_as_new_show_a_wide_crash(self) -> None:
        """They accept connections again before they are probed."""
        upstream = await self.add("u-1", "a")
        asking = asyncio.ensure_future(self.is_widespread())
        await asyncio.sleep(0.2)
        self.take(upstream._replace(phase="gone"), upstream._replace(id="n", born=20))
        self.assertTrue((await asking)[0])

    async def test_nearest_others_are_checked(self) -> None:
        """Outages in other zones don't count if the same zone has other upstreams."""
        await self.add("u-1", "a")
        for number in range(4):
            await self.add(f"far-{number}", "b")
            self.servers[f"far-{number}"].close()
        self.assertFalse((await self.is_widespread())[0])

    async def test_others_that_the_request_crashed_say_nothing(self) -> None:
        """A request that causes crashes may run at several upstreams at once."""
        upstream = await self.add("u-1", "a")
        self.servers["u-1"].close()
        self.assertTrue((await self.is_widespread())[0])
        self.assertFalse((await self.is_widespread(upstream.run))[0])

    async def test_upstreams_of_other_regions_are_not_connected_to(self) -> None:
        """They accept only connections from their own region; their records count."""
        upstream = await self.add("u-1", "c")
        self.servers["u-1"].close()
        self.assertFalse((await self.is_widespread())[0])
        self.take(upstream._replace(phase="lost"))
        self.assertFalse((await self.is_widespread())[0], "it isn't there any more")
