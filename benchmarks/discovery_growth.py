"""
Measures what a control replica's discovery costs by the size of the deployment.

Run ``python -m benchmarks.discovery_growth``. One of six replicas in three regions, with
its share of the entries and upstreams, in virtual time and without a network. HTTP and
the transport's frames aren't included.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, NamedTuple

import msgspec
from returns.result import Result, Success

from poplarlug.control.routing_state import RoutingState
from poplarlug.discovery.control_peers import ControlPeers
from poplarlug.discovery.crash_marks import CrashMarks
from poplarlug.discovery.messages import (
    GOSSIP_TOPIC,
    POLL_TOPIC,
    Gossip,
    GossipReply,
    Poll,
    Tables,
    TablesRequest,
)
from poplarlug.discovery.records import EntryRecord, ServiceUpstream, UpstreamLoad
from poplarlug.discovery.registrar import Registrar
from poplarlug.discovery.registry import Registry
from poplarlug.discovery.software_versions import SoftwareVersions
from poplarlug.logs import configure_logs
from poplarlug.transport.base import Transport
from poplarlug.transport.errors import TransportError
from poplarlug.transport.frames import Header
from poplarlug.types import Seconds, VmName
from poplarlug.virtualtime import run_virtual

REPLICAS = tuple(f"control-{number}" for number in range(6))
REGIONS = ("east", "west", "south")
UPSTREAMS_PER_ENTRY = 10
ENGINES_IN_USE_PER_ENTRY = 40
POLLS_PER_SECOND = 4
WARM_UP_SECONDS = 8
SECONDS = 4


class LocalTransport(Transport):
    """Keeps the handlers, and acknowledges what is sent."""

    def __init__(self) -> None:
        super().__init__(name=REPLICAS[0])
        self.handlers_by_topic: dict[str, Callable[[VmName, Any], Awaitable[Any]]] = {}
        self.sent_bytes = 0

    def serve(self, topic: str, message_type: Any, handler: Any) -> None:
        self.handlers_by_topic[topic] = handler

    async def request(
        self,
        *,
        peer: VmName,
        topic: str,
        message: Any,
        reply_type: Any,
        timeout_seconds: Seconds,
    ) -> Result[Any, TransportError]:
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        await asyncio.sleep(0.01)
        if isinstance(message, TablesRequest):
            return Success(Tables((), (), REPLICAS, settled=True))
        return Success(GossipReply())

    async def run(self) -> None: ...

    def _send(self, peer: VmName, header: Header, payload: bytes) -> bool:
        return False

    def _reply(self, connection: Any, header: Header, payload: bytes) -> None: ...


class Cost(NamedTuple):
    """Processor time in microseconds, and bytes sent to replicas in a second."""

    poll_us: float
    reply_bytes: int
    reply_loads: int
    heartbeat_us: float
    processor_percent: float
    gossip_bytes: float


class Replica:
    """One replica with its share of a deployment's entries and upstreams."""

    def __init__(self, entries: int) -> None:
        clock = asyncio.get_running_loop().time
        rng = Random(1)
        self.transport = LocalTransport()
        self.entries = [
            EntryRecord(
                f"entry-{i}",
                REGIONS[i % 3],
                REGIONS[i % 3],
                "10.0.0.1:80",
                "10.0.0.1:81",
                1,
            )
            for i in range(entries)
        ]
        self.upstreams = [
            ServiceUpstream(
                f"engine-{i:06x}", "chat", f"10.1.0.9:{i + 1}", REGIONS[i % 3], 1, 1, 16
            )
            for i in range(entries * UPSTREAMS_PER_ENTRY)
        ]
        self.registrar = Registrar(
            zone=REGIONS[0],
            regions_by_zone={region: region for region in REGIONS},
            registry=Registry(clock=clock, announcement_seconds=1.2),
            marks=CrashMarks(clock=clock),
            versions=SoftwareVersions(clock=clock),
            peers=ControlPeers(
                own=REPLICAS[0],
                seeds=REPLICAS,
                members=lambda: REPLICAS,
                voters=lambda: REPLICAS,
                clock=clock,
                is_address=lambda address: address in REPLICAS,
            ),
            routing=RoutingState(),
            transport=self.transport,
            is_current=lambda: True,
            flush=_flush,
            rng=rng,
            clock=clock,
        )
        self.registrar.note_first_start()
        local = [one.id for one in self.upstreams if one.zone == REGIONS[0]]
        self.own_entries = self.entries[: 3 * (entries // 6) : 3]
        self.polls = [
            Poll(
                record,
                self.registrar.id,
                0,
                0,
                loads=tuple(
                    UpstreamLoad(one, 2, 0, 30, 4000, 400, 500, 120, 2400)
                    for one in rng.sample(
                        local, min(len(local), ENGINES_IN_USE_PER_ENTRY)
                    )
                ),
            )
            for record in self.own_entries
        ]
        self.poll_seconds: list[float] = []
        self.replies: list[Any] = []
        self.heartbeat_seconds: list[float] = []

    async def measure(self) -> Cost:
        started = 0.0
        running = asyncio.ensure_future(self.registrar.run())
        tags = tuple(one.tag for one in self.upstreams)
        gossip = self.transport.handlers_by_topic[GOSSIP_TOPIC]
        await gossip(
            REPLICAS[1],
            Gossip(REGIONS[1], tuple(self.entries), tuple(self.upstreams)),
        )
        for second in range(WARM_UP_SECONDS + SECONDS):
            if second == WARM_UP_SECONDS:
                self.poll_seconds.clear()
                self.heartbeat_seconds.clear()
                self.transport.sent_bytes = 0
                started = time.process_time()
            await self._play_second(second, tags)
        spent = time.process_time() - started
        running.cancel()
        reply = self.replies[-1]
        return Cost(
            _mean_us(self.poll_seconds),
            len(msgspec.msgpack.encode(reply)),
            len(reply.loads),
            _mean_us(self.heartbeat_seconds),
            spent / SECONDS * 100,
            self.transport.sent_bytes / SECONDS,
        )

    async def _play_second(self, second: int, tags: tuple[int, ...]) -> None:
        gossip = self.transport.handlers_by_topic[GOSSIP_TOPIC]
        serve_poll = self.transport.handlers_by_topic[POLL_TOPIC]
        own = self.upstreams[::6]
        for step in range(POLLS_PER_SECOND):
            for number, poll in enumerate(self.polls):
                known = self.registrar.registry.revision.value
                # Not held, as it lacks the marks.
                poll = poll._replace(known=known, marks_known=-1)
                started = time.process_time()
                reply = await serve_poll(poll.record.name, poll)
                msgspec.msgpack.encode(reply)
                self.poll_seconds.append(time.process_time() - started)
                if number == 0:
                    self.replies = [reply]
            for upstream in own[step::POLLS_PER_SECOND]:
                beat = upstream._replace(sequence=second + 2)
                started = time.process_time()
                await self.registrar.receive_announcement(beat)
                self.heartbeat_seconds.append(time.process_time() - started)
            await asyncio.sleep(1 / POLLS_PER_SECOND)
        for number, peer in enumerate(REPLICAS[1:], 1):
            heard = tags[number::6]
            if number == 1:
                heard += tuple(one.tag for one in self.entries)
            await gossip(peer, Gossip(REGIONS[number % 3], heard=heard))


async def _flush() -> bool:
    return True


def _mean_us(seconds: list[float]) -> float:
    return sum(seconds) / len(seconds) * 1e6


def main() -> None:
    configure_logs(log_format="json", level="error")
    print(
        "| entries | us a poll | reply, KB | loads | us a heartbeat | % | gossip, KB/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for entries in (64, 200, 300):

        async def run(entries: int = entries) -> Cost:
            return await Replica(entries).measure()

        cost = run_virtual(run())
        print(
            f"| {entries} | {cost.poll_us:.0f} | {cost.reply_bytes / 1e3:.1f} "
            f"| {cost.reply_loads} | {cost.heartbeat_us:.0f} "
            f"| {cost.processor_percent:.1f} | {cost.gossip_bytes / 1e3:.1f} |"
        )


if __name__ == "__main__":
    main()
