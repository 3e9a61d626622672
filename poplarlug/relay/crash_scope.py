"""Distinguishes the crash of a single upstream from a widespread outage."""

import asyncio
from collections.abc import Callable, Container
from random import Random

from poplarlug.discovery.deployment import Deployment, RunStatus
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.relay.probing import ProbeResult, probe

MAX_PEERS = 6
"""Other upstreams checked after a crash; half of them down indicates a zone outage."""

WIDESPREAD_SHARE = 0.5
"""Share of the other upstreams that crashed, from which a common cause is likely."""

CONFIRM_SECONDS = 2.0
"""Upstreams that restart at once announce their new run within this time."""


class CrashScope:
    """
    Check other upstreams after one of them crashed.

    Load pattern: a zone loses power, or a bad release terminates one upstream after
    another, while a harmless request runs on one of them.

    Parameters
    ----------
    rng : random.Random
        Samples the upstreams to check.
    """

    def __init__(self, *, deployment: Deployment, rng: Random) -> None:
        self._deployment = deployment
        self._rng = rng

    async def is_widespread(
        self,
        crashed: ServiceUpstream,
        excluded_runs: Callable[[], Container[UpstreamRun]],
    ) -> bool:
        """
        Return whether other upstreams crashed together with ``crashed``.

        The result is immediate if they no longer accept connections, otherwise it takes
        :data:`CONFIRM_SECONDS`.

        Parameters
        ----------
        excluded_runs : callable
            Returns the other upstreams that don't count because the same suspect
            crashed them; called again after the wait.
        """
        peers = self._peers(crashed, excluded_runs())
        if not peers:
            return False
        own = self._deployment.region_of(crashed.zone)
        near = [p for p in peers if self._deployment.region_of(p.zone) == own]
        results = await asyncio.gather(*(probe(peer.address) for peer in near))
        unreachable = {
            peer.run
            for peer, result in zip(near, results, strict=True)
            if result is not ProbeResult.ACCEPTED
        }
        if not self._exceeds_share(unreachable, peers):
            await asyncio.sleep(CONFIRM_SECONDS)
        excluded = excluded_runs()
        peers = [peer for peer in peers if peer.run not in excluded]
        return bool(peers) and self._exceeds_share(unreachable, peers)

    def _exceeds_share(
        self, unreachable: Container[UpstreamRun], peers: list[ServiceUpstream]
    ) -> bool:
        ended = (RunStatus.REPLACED, RunStatus.LOST)
        crashed = sum(
            peer.run in unreachable or self._deployment.run_status(peer) in ended
            for peer in peers
        )
        return crashed >= WIDESPREAD_SHARE * len(peers)

    def _peers(
        self, crashed: ServiceUpstream, excluded: Container[UpstreamRun]
    ) -> list[ServiceUpstream]:
        """Sample the service's upstreams in the same zone, else region, else all."""
        region_of = self._deployment.region_of
        others = [
            upstream
            for upstream in self._deployment.upstreams_of(crashed.service)
            if upstream.run != crashed.run
            and upstream.address != crashed.address
            and upstream.run not in excluded
        ]
        zone = [one for one in others if one.zone == crashed.zone]
        region = [
            one for one in others if region_of(one.zone) == region_of(crashed.zone)
        ]
        nearest = zone or region or others
        return self._rng.sample(nearest, min(MAX_PEERS, len(nearest)))
