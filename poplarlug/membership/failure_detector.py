"""SWIM-style failure detection in a zone: pings, indirect probes and suspicion."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from returns.result import Success

from poplarlug.logs import ComponentLogger
from poplarlug.membership.members import Member, MemberState, MemberTable
from poplarlug.membership.messages import Heartbeat, ProbeReply, ProbeRequest
from poplarlug.transport import Transport
from poplarlug.types import VmName

PING_INTERVAL_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 1.0
SUSPICION_TIMEOUT_SECONDS = 2.0
INDIRECT_PROBES = 2
MAX_UPDATES_PER_HEARTBEAT = 6
UPDATE_TRANSMISSIONS = 12

PING_TOPIC = "membership.ping"
PROBE_TOPIC = "membership.probe"

_log = ComponentLogger(prefix="membership")


class FailureDetector:
    """
    Ping one entry of the zone per interval and gossip member updates.

    An entry that answers neither a direct ping nor an indirect probe is suspected, and
    declared dead unless it refutes the suspicion in time. Dead entries are pinged as
    well, to detect that a link has recovered.

    Parameters
    ----------
    local_state : callable
        Returns the load of this entry and the digest of its upstream table.
    on_mismatch : callable
        Called with the name of an entry whose table digests differ from the local ones.
    """

    def __init__(
        self,
        *,
        members: MemberTable,
        transport: Transport,
        rng: Random,
        local_state: Callable[[], tuple[float, int]],
        on_mismatch: Callable[[VmName], None],
    ) -> None:
        self._members = members
        self._transport = transport
        self._rng = rng
        self._local_state = local_state
        self._on_mismatch = on_mismatch
        self._targets: list[VmName] = []
        self._transmissions_left_by_name: dict[VmName, int] = {}
        self._suspicions_by_name: dict[VmName, asyncio.Task[None]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        transport.serve(PING_TOPIC, Heartbeat, self._serve_ping)
        transport.serve(PROBE_TOPIC, ProbeRequest, self._serve_probe)

    async def run(self) -> None:
        await asyncio.gather(*(self._ping(name) for name in self._members.others()))
        try:
            while True:
                await asyncio.sleep(PING_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1))
                target = self._next_target()
                if target is not None:
                    self._spawn(self._probes, self._probe(target))
        finally:
            for task in (*self._probes, *self._suspicions_by_name.values()):
                task.cancel()
            self._suspicions_by_name.clear()

    async def ping_all(self) -> bool:
        """Ping all reachable entries concurrently; return whether each answered."""
        pings = [self._ping(name) for name in self._members.reachable_others()]
        return all(await asyncio.gather(*pings))

    def queue_update(self, update: Member) -> None:
        """Include ``update`` in the next heartbeats."""
        self._transmissions_left_by_name[update.name] = UPDATE_TRANSMISSIONS

    def apply_updates(self, updates: tuple[Member, ...]) -> None:
        """Apply member updates and gossip those that changed the table."""
        for update in self._members.apply_all(updates):
            _log.info("entry changed", entry=update.name, state=update.state.name)
            self.queue_update(update)
            self._update_suspicion(update)

    def restart_suspicions(self) -> None:
        """Restart the timeout of each suspicion, as after a pause of this process."""
        for name in list(self._suspicions_by_name):
            member = self._members.get(name)
            if member is not None:
                self._update_suspicion(member)

    async def _probe(self, target: VmName) -> None:
        if await self._ping(target):
            return
        others = [name for name in self._members.alive() if name != target]
        others = [name for name in others if name != self._members.own]
        probers = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        requests = [self._request_probe(prober, target) for prober in probers]
        if any(await asyncio.gather(*requests)):
            return
        current = self._members.get(target)
        if current is None:
            return
        if current.state is MemberState.ALIVE:
            self.apply_updates((current._replace(state=MemberState.SUSPECTED),))
        elif current.state is MemberState.LEAVING:
            self.apply_updates((current._replace(state=MemberState.DEAD),))

    async def _ping(self, target: VmName) -> bool:
        reply = await self._transport.request(
            peer=target,
            topic=PING_TOPIC,
            message=self._heartbeat(target),
            reply_type=Heartbeat,
            timeout_seconds=PING_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, Success):
            return False
        self._apply_heartbeat(target, reply.unwrap())
        return True

    async def _request_probe(self, prober: VmName, target: VmName) -> bool:
        reply = await self._transport.request(
            peer=prober,
            topic=PROBE_TOPIC,
            message=ProbeRequest(target),
            reply_type=ProbeReply,
            timeout_seconds=PROBE_TIMEOUT_SECONDS,
        )
        return isinstance(reply, Success) and reply.unwrap().reached

    async def _serve_ping(self, sender: VmName, message: Heartbeat) -> Heartbeat:
        self._apply_heartbeat(sender, message)
        return self._heartbeat(sender)

    async def _serve_probe(self, sender: VmName, message: ProbeRequest) -> ProbeReply:
        if message.target not in self._members.others():
            return ProbeReply(False)
        return ProbeReply(await self._ping(message.target))

    def _heartbeat(self, target: VmName) -> Heartbeat:
        load, upstreams_digest = self._local_state()
        members_digest = self._members.digest()
        return Heartbeat(
            load, members_digest, upstreams_digest, self._updates_for(target)
        )

    def _updates_for(self, target: VmName) -> tuple[Member, ...]:
        # A target that isn't alive here is always told so, to be able to refute it.
        current = self._members.get(target)
        updates = [self._members.own_member]
        if current is not None and current.state is not MemberState.ALIVE:
            updates.append(current)
        sorted_names = sorted(
            self._transmissions_left_by_name,
            key=self._transmissions_left_by_name.__getitem__,
        )
        for name in reversed(sorted_names[-MAX_UPDATES_PER_HEARTBEAT:]):
            self._transmissions_left_by_name[name] -= 1
            if self._transmissions_left_by_name[name] <= 0:
                del self._transmissions_left_by_name[name]
            member = self._members.get(name)
            if member is not None and member not in updates:
                updates.append(member)
        return tuple(updates)

    def _apply_heartbeat(self, sender: VmName, heartbeat: Heartbeat) -> None:
        self.apply_updates(heartbeat.updates)
        self._members.set_load(sender, heartbeat.load)
        own = (self._members.digest(), self._local_state()[1])
        if own != (heartbeat.members_digest, heartbeat.upstreams_digest):
            self._on_mismatch(sender)

    def _update_suspicion(self, update: Member) -> None:
        previous = self._suspicions_by_name.pop(update.name, None)
        if previous is not None:
            previous.cancel()
        if update.state is MemberState.SUSPECTED:
            task = asyncio.ensure_future(self._declare_dead(update))
            self._suspicions_by_name[update.name] = task

    async def _declare_dead(self, suspected: Member) -> None:
        await asyncio.sleep(SUSPICION_TIMEOUT_SECONDS)
        self._suspicions_by_name.pop(suspected.name, None)
        self.apply_updates((suspected._replace(state=MemberState.DEAD),))

    def _next_target(self) -> VmName | None:
        if not self._targets:
            self._targets = self._members.others()
            self._rng.shuffle(self._targets)
        return self._targets.pop() if self._targets else None

    def _spawn(self, tasks: set[asyncio.Task[None]], coroutine: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
