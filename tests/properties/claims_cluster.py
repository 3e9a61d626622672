"""Simulated entries of one zone in virtual time, with seeded random faults."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from poplarlug.catalog import Account
from poplarlug.claims import ClaimHolder, ClaimOwner, ClaimTable
from poplarlug.errors import GatewayError, not_run, outcome_unknown
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.at_most_once import AtMostOnce
from poplarlug.serving.requests import GatewayRequest
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.transport.memory import LinkQuality

ZONE = "quito-a"
ACCOUNT = Account("verde", "sierra", ("sierra",))


class DuplicatingNetwork(MemoryNetwork):
    """Network that duplicates some requests and delivers copies late and reordered."""

    duplicate_share = 0.1
    max_delay_seconds = 4.0

    def _transmit(
        self, source: Any, target: str, incarnation: Any, header: Any, payload: bytes
    ) -> None:
        super()._transmit(source, target, incarnation, header, payload)
        if incarnation is None and self.rng.random() < self.duplicate_share:
            delay = self.rng.uniform(0, self.max_delay_seconds)
            asyncio.get_running_loop().call_later(
                delay, self._deliver, source, target, None, header, payload
            )


class CollectingSink(AnswerSink):
    def __init__(self) -> None:
        super().__init__()
        self.body = b""

    async def start(self, head: AnswerHead) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        pass


class Execution(NamedTuple):
    """One execution in the ledger of the upstream."""

    key: str
    send_id: str
    at: float


class CallerOutcome(NamedTuple):
    """Result that a caller received for one send of a booking."""

    key: str
    send_id: str
    error: GatewayError | None
    body: bytes
    at: float


class SimulatedEntry:
    """One incarnation of an entry process."""

    def __init__(self, *, name: str, cluster: "ClaimsCluster", first: bool) -> None:
        loop = asyncio.get_running_loop()
        incarnation = str(cluster.rng.random())
        self.transport = MemoryTransport(name=name, network=cluster.network)
        self.holder = ClaimHolder(
            own=cluster.topology.entry(name),
            topology=cluster.topology,
            transport=self.transport,
            table=ClaimTable(clock=loop.time),
            clock=loop.time,
            incarnation=incarnation,
            trust_empty_zone=first,
        )
        self.owner = ClaimOwner(
            incarnation=incarnation,
            topology=cluster.topology,
            transport=self.transport,
            holder=self.holder,
            clock=loop.time,
            rng=cluster.rng,
        )
        self.at_most_once = AtMostOnce(
            owner=self.owner, topology=cluster.topology, rng=cluster.rng
        )
        # A list, because the order of cancellation is part of the seeded schedule.
        self.tasks = [
            asyncio.ensure_future(self.transport.run()),
            asyncio.ensure_future(self.holder.run()),
        ]

    def crash(self) -> None:
        """Stop immediately: cancel all tasks and send no more frames."""
        self.transport._send = lambda *a: False  # type: ignore[method-assign]
        self.transport._reply = lambda *a: None  # type: ignore[method-assign]
        for task in (*self.tasks, *self.owner._updates):
            task.cancel()


class ClaimsCluster:
    """Entries of a zone, an upstream with a ledger, and callers that resend."""

    def __init__(self, *, rng: Random, entries: int) -> None:
        self.rng = rng
        self.network = DuplicatingNetwork(rng=rng)
        names = [f"{ZONE}-{number}" for number in range(entries)]
        vms = tuple(EntryVm(n, "sierra", ZONE, "http", "peers") for n in names)
        self.topology = Topology("test", vms, ())
        self.entries = {
            name: SimulatedEntry(name=name, cluster=self, first=True) for name in names
        }
        self.ledger: list[Execution] = []
        self.outcomes: list[CallerOutcome] = []
        self.run_seconds = 0.2
        self.draw_failure: Callable[[], str] = lambda: ""

    def crash(self, name: str) -> None:
        self.entries.pop(name).crash()

    def restart(self, name: str) -> None:
        """Restart an entry with empty memory."""
        self.entries[name] = SimulatedEntry(name=name, cluster=self, first=False)

    async def send(self, name: str, key: str, send_id: str) -> CallerOutcome | None:
        """Send a booking; return ``None`` if its entry is down or crashes meanwhile."""
        entry = self.entries.get(name)
        if entry is None:
            return None
        task = asyncio.ensure_future(self._send(entry, key, send_id))
        entry.tasks.append(task)
        await asyncio.wait({task})
        entry.tasks.remove(task)
        if task.cancelled():
            return None
        self.outcomes.append(task.result())
        return task.result()

    async def _send(
        self, entry: SimulatedEntry, key: str, send_id: str
    ) -> CallerOutcome:
        request = GatewayRequest(
            send_id, "verde", "urgent", "POST", "/bookings", b"{}", "json", "e"
        )._replace(key=key, repeatable=False)
        sink = CollectingSink()

        async def run(
            request: GatewayRequest, answer: AnswerSink
        ) -> GatewayError | None:
            return await self._run_at_upstream(key, send_id, answer)

        error = await entry.at_most_once.serve(request, ACCOUNT, sink, run)
        now = asyncio.get_running_loop().time()
        return CallerOutcome(key, send_id, error, sink.body, now)

    async def _run_at_upstream(
        self, key: str, send_id: str, answer: AnswerSink
    ) -> GatewayError | None:
        await asyncio.sleep(self.rng.uniform(0, 0.05))
        failure = self.draw_failure()
        if failure == "not_run":
            return not_run("no upstream", 1.0)
        self.ledger.append(Execution(key, send_id, asyncio.get_running_loop().time()))
        await asyncio.sleep(self.rng.uniform(0, self.run_seconds))
        if failure == "broken":
            return outcome_unknown("lost")
        await answer.start(AnswerHead(200, "text/plain"))
        await answer.write(send_id.encode())
        return None

    async def inject_faults(self) -> None:
        """Inject crashes, restarts, partitions, slow links and heals until cancelled."""
        rng = self.rng
        names = [vm.name for vm in self.topology.entries]
        while True:
            await asyncio.sleep(rng.expovariate(1 / 0.6))
            fault = rng.choice(("crash", "crash", "cut", "cut", "slow", "heal"))
            if fault == "crash" and len(self.entries) > 1:
                name = rng.choice(sorted(self.entries))
                self.crash(name)
                asyncio.get_running_loop().call_later(
                    rng.uniform(0, 3), self.restart, name
                )
            elif fault == "cut":
                one, other = rng.sample(names, 2)
                self.network.cut(one, other)
                if rng.random() < 0.5:
                    self.network.cut(other, one)
            elif fault == "slow":
                self.network.quality = LinkQuality(
                    0.0, rng.choice((0.002, 0.3, 1.0)), rng.choice((0, 0.05, 0.3))
                )
            else:
                self.network.heal()
                self.network.quality = LinkQuality()
