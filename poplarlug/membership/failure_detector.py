"""Finds dead entries of the zone: pings, indirect probes, suspicion."""

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

PING_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 1.0
SUSPICION_SECONDS = 2.0
PROBERS = 2
MAX_UPDATES = 6
UPDATE_REPEATS = 12

PING_TOPIC = "membership.ping"
PROBE_TOPIC = "membership.probe"

_log = ComponentLogger(prefix="membership")


class FailureDetector:
    """
    Ping one entry of the zone each period and spread what changes.

    An entry that answers neither the ping nor other entries' pings is
    suspected; it is dead unless it refutes that in time. Dead entries are
    pinged too, so that a healed link is found.

    Parameters
    ----------
    describe : callable
        Returns the own load and the digest of the upstreams.
    on_mismatch : callable
        Called with an entry whose tables differ from the own ones.
    """

    def __init__(
        self,
        *,
        members: MemberTable,
        transport: Transport,
        rng: Random,
        describe: Callable[[], tuple[float, int]],
        on_mismatch: Callable[[VmName], None],
    ) -> None:
        self._members = members
        self._transport = transport
        self._rng = rng
        self._describe = describe
        self._on_mismatch = on_mismatch
        self._targets: list[VmName] = []
        self._repeats_by_name: dict[VmName, int] = {}
        self._suspicions_by_name: dict[VmName, asyncio.Task[None]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        transport.serve(PING_TOPIC, Heartbeat, self._serve_ping)
        transport.serve(PROBE_TOPIC, ProbeRequest, self._serve_probe)

    async def run(self) -> None:
        await asyncio.gather(*(self._ping(name) for name in self._members.others()))
        try:
            while True:
                await asyncio.sleep(PING_SECONDS * self._rng.uniform(0.9, 1.1))
                target = self._next_target()
                if target is not None:
                    self._spawn(self._probes, self._probe(target))
        finally:
            for task in (*self._probes, *self._suspicions_by_name.values()):
                task.cancel()
            self._suspicions_by_name.clear()

    async def ping_all(self) -> bool:
        """Ping all other entries at once; return whether each answered."""
        pinged = [self._ping(name) for name in self._members.reachable_others()]
        return all(await asyncio.gather(*pinged))

    def spread(self, change: Member) -> None:
        """Pass ``change`` on with the next heartbeats."""
        self._repeats_by_name[change.name] = UPDATE_REPEATS

    def take(self, updates: tuple[Member, ...]) -> None:
        """Take in other entries' updates and pass on what was news."""
        for change in self._members.take_all(updates):
            _log.info("entry changed", entry=change.name, state=change.state.name)
            self.spread(change)
            self._watch(change)

    def restart_suspicions(self) -> None:
        """Give suspected entries their whole time again, as after a pause."""
        for name in list(self._suspicions_by_name):
            member = self._members.get(name)
            if member is not None:
                self._watch(member)

    async def _probe(self, target: VmName) -> None:
        if await self._ping(target):
            return
        others = [name for name in self._members.alive() if name != target]
        others = [name for name in others if name != self._members.own]
        probers = self._rng.sample(others, min(PROBERS, len(others)))
        asked = [self._ask(prober, target) for prober in probers]
        if any(await asyncio.gather(*asked)):
            return
        held = self._members.get(target)
        if held is None:
            return
        if held.state is MemberState.ALIVE:
            self.take((held._replace(state=MemberState.SUSPECTED),))
        elif held.state is MemberState.LEAVING:
            self.take((held._replace(state=MemberState.DEAD),))

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
        self._take_heartbeat(target, reply.unwrap())
        return True

    async def _ask(self, prober: VmName, target: VmName) -> bool:
        reply = await self._transport.request(
            peer=prober,
            topic=PROBE_TOPIC,
            message=ProbeRequest(target),
            reply_type=ProbeReply,
            timeout_seconds=PROBE_TIMEOUT_SECONDS,
        )
        return isinstance(reply, Success) and reply.unwrap().reached

    async def _serve_ping(self, sender: VmName, message: Heartbeat) -> Heartbeat:
        self._take_heartbeat(sender, message)
        return self._heartbeat(sender)

    async def _serve_probe(self, sender: VmName, message: ProbeRequest) -> ProbeReply:
        if message.target not in self._members.others():
            return ProbeReply(False)
        return ProbeReply(await self._ping(message.target))

    def _heartbeat(self, target: VmName) -> Heartbeat:
        load, upstreams_digest = self._describe()
        members_digest = self._members.digest()
        return Heartbeat(
            load, members_digest, upstreams_digest, self._updates_for(target)
        )

    def _updates_for(self, target: VmName) -> tuple[Member, ...]:
        # The target always learns what is held of it, so that it can refute.
        held = self._members.get(target)
        updates = [self._members.own_member]
        if held is not None and held.state is not MemberState.ALIVE:
            updates.append(held)
        freshest = sorted(self._repeats_by_name, key=self._repeats_by_name.__getitem__)
        for name in reversed(freshest[-MAX_UPDATES:]):
            self._repeats_by_name[name] -= 1
            if self._repeats_by_name[name] <= 0:
                del self._repeats_by_name[name]
            member = self._members.get(name)
            if member is not None and member not in updates:
                updates.append(member)
        return tuple(updates)

    def _take_heartbeat(self, sender: VmName, heartbeat: Heartbeat) -> None:
        self.take(heartbeat.updates)
        self._members.set_load(sender, heartbeat.load)
        own = (self._members.digest(), self._describe()[1])
        if own != (heartbeat.members_digest, heartbeat.upstreams_digest):
            self._on_mismatch(sender)

    def _watch(self, change: Member) -> None:
        former = self._suspicions_by_name.pop(change.name, None)
        if former is not None:
            former.cancel()
        if change.state is MemberState.SUSPECTED:
            task = asyncio.ensure_future(self._declare_dead(change))
            self._suspicions_by_name[change.name] = task

    async def _declare_dead(self, suspected: Member) -> None:
        await asyncio.sleep(SUSPICION_SECONDS)
        self._suspicions_by_name.pop(suspected.name, None)
        self.take((suspected._replace(state=MemberState.DEAD),))

    def _next_target(self) -> VmName | None:
        if not self._targets:
            self._targets = self._members.others()
            self._rng.shuffle(self._targets)
        return self._targets.pop() if self._targets else None

    def _spawn(self, tasks: set[asyncio.Task[None]], coroutine: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
