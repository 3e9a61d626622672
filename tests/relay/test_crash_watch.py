"""Tests of the evidence for and against a crash of an upstream."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import PollReply
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.relay.crash_watch import Crash, CrashWatch, InterruptedSend
from poplarlug.relay.ended_runs import EndedRuns
from poplarlug.relay.probing import (
    FIRST_PROBE_SECONDS,
    PROBE_SECONDS,
    SECOND_PROBE_SECONDS,
)

PROBED_SECONDS = 2 * (FIRST_PROBE_SECONDS + SECOND_PROBE_SECONDS + PROBE_SECONDS)


class CrashWatchTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = asyncio.get_running_loop().time
        self.deployment = Deployment(
            own_region="east", regions_by_zone={"a": "east"}, clock=clock
        )
        self.crashes: list[Crash] = []
        self.returned: list[UpstreamRun] = []
        self.ended_runs = EndedRuns(deployment=self.deployment, clock=clock)
        self.watch = CrashWatch(
            deployment=self.deployment,
            clock=clock,
            on_crash=self.crashes.append,
            on_return=self.returned.append,
            ended_runs=self.ended_runs,
        )
        self.server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1", 0
        )
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.upstream = ServiceUpstream(
            "u-1", "desk", f"127.0.0.1:{port}", "a", born=10, sequence=1, slots=4
        )
        self.take(self.upstream)

    def take(self, *upstreams: ServiceUpstream) -> None:
        reply = PollReply("r", 1, False, True, "a", upstreams=upstreams)
        self.deployment.apply_reply(reply)

    def note_interrupted_send(
        self, fingerprint: int = 1, *, is_silent: bool = False
    ) -> "asyncio.Future[bool]":
        send = InterruptedSend(fingerprint, self.upstream, is_silent)
        return self.watch.note_interrupted_send(send)

    async def test_closed_port_is_a_crash_under_all_interrupted_sends(self) -> None:
        """Nothing listens any more at the address of the interrupted sends."""
        self.server.close()
        crashed = [self.note_interrupted_send(1), self.note_interrupted_send(2)]
        self.assertEqual(await asyncio.gather(*crashed), [True, True])
        self.assertEqual(self.crashes[0].fingerprints, (1, 2))
        self.assertTrue(self.ended_runs.has(self.upstream))

    async def test_later_interrupted_sends_of_a_crashed_run_count_at_once(self) -> None:
        """Its connections may break at different times."""
        self.server.close()
        await self.note_interrupted_send(1)
        self.assertTrue(self.note_interrupted_send(2).done())
        self.assertEqual(len(self.crashes), 2)

    async def test_reset_connection_is_no_crash(self) -> None:
        """The upstream accepts connections and keeps its run."""
        crashed = self.note_interrupted_send()
        await asyncio.sleep(PROBED_SECONDS)
        self.take(self.upstream._replace(sequence=2, cold_seconds=1.0))
        self.assertFalse(crashed.done())
        self.assertEqual(self.crashes, [])
        self.assertFalse(self.ended_runs.has(self.upstream))

    async def test_refused_connection_shows_the_end_of_a_run(self) -> None:
        """No request was interrupted, but nothing listens at the address."""
        self.watch.note_unreachable(self.upstream)
        await asyncio.sleep(PROBED_SECONDS)
        self.assertFalse(self.ended_runs.has(self.upstream))
        self.server.close()
        self.watch.note_unreachable(self.upstream)
        await asyncio.sleep(PROBED_SECONDS)
        self.assertTrue(self.ended_runs.has(self.upstream))
        self.assertEqual(self.crashes, [])

    async def test_new_id_at_the_address_is_a_crash(self) -> None:
        """It restarts before a probe could fail."""
        crashed = self.note_interrupted_send()
        await asyncio.sleep(PROBED_SECONDS)
        gone = self.upstream._replace(phase="gone")
        self.take(gone, self.upstream._replace(id="u-2", born=20))
        self.assertTrue(await crashed)

    async def test_later_run_under_the_same_id_is_a_crash(self) -> None:
        """Upstreams may restart under the same id."""
        crashed = self.note_interrupted_send(is_silent=True)
        self.take(self.upstream._replace(born=20))
        self.assertTrue(await crashed)

    async def test_announced_departure_is_no_crash(self) -> None:
        """An upstream that announced its departure may terminate in any way."""
        self.take(self.upstream._replace(sequence=2, phase="leaving"))
        self.server.close()
        self.assertFalse(await self.note_interrupted_send())
        self.assertFalse(await self.note_interrupted_send(2, is_silent=True))
        gone = self.upstream._replace(phase="gone")
        self.take(gone, self.upstream._replace(id="u-2", born=20))
        self.assertFalse(await self.note_interrupted_send(3))
        self.assertEqual(self.crashes, [])

    async def test_departure_announced_while_watched_is_no_crash(self) -> None:
        """The announcement may arrive after the connections have ended."""
        crashed = self.note_interrupted_send(is_silent=True)
        self.take(self.upstream._replace(phase="gone"))
        self.assertFalse(await crashed)

    async def test_crash_is_withdrawn_after_a_partition(self) -> None:
        """A silent upstream that returns with the same run was only unreachable."""
        crashed = self.note_interrupted_send(is_silent=True)
        self.take(self.upstream._replace(phase="lost"))
        self.assertTrue(await crashed)
        self.take(self.upstream._replace(sequence=9))
        self.assertEqual(self.returned, [self.upstream.run])

    async def test_complete_response_withdraws_a_silent_crash(self) -> None:
        """An upstream that was only lost to control is alive if it responds."""
        crashed = self.note_interrupted_send(is_silent=True)
        self.take(self.upstream._replace(phase="lost"))
        self.assertTrue(await crashed)
        self.assertFalse(self.crashes[0].has_ended)
        self.watch.note_response(self.upstream)
        self.assertEqual(self.returned, [self.upstream.run])

    # Guards against crashes that the answers of the next run withdrew.
    async def test_complete_response_of_a_successor_withdraws_no_crash(self) -> None:
        """Nothing listened any more, so a run that control hasn't heard of answers."""
        self.server.close()
        await self.note_interrupted_send()
        self.assertTrue(self.crashes[0].has_ended)
        self.watch.note_response(self.upstream)
        self.assertEqual(self.returned, [])

    # Guards against marks of requests that ran at a sound successor.
    async def test_successor_that_is_heard_of_has_not_crashed(self) -> None:
        """A send to it had been broken before its first heartbeat."""
        self.server.close()
        await self.note_interrupted_send()
        self.watch.note_response(self.upstream)
        broken = self.note_interrupted_send(2, is_silent=True)
        self.take(self.upstream._replace(born=20))
        self.assertFalse(await broken)
        self.assertEqual(len(self.crashes), 1)

    async def test_crash_of_an_unheard_successor_is_another_one(self) -> None:
        """Its heartbeats are late; sends that it interrupts need evidence of their own."""
        port = self.server.sockets[0].getsockname()[1]
        self.server.close()
        await self.note_interrupted_send()
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1", port
        )
        self.addCleanup(server.close)
        self.watch.note_response(self.upstream)
        reset = self.note_interrupted_send(2)
        await asyncio.sleep(PROBED_SECONDS)
        self.assertFalse(reset.done())
        server.close()
        self.assertTrue(await self.note_interrupted_send(3))
        runs = [crash.run for crash in self.crashes]
        self.assertEqual(runs[0], self.upstream.run)
        self.assertNotIn(self.upstream.run, runs[1:])
