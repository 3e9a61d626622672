"""Tests of non-repeatable requests whose key was claimed by another entry before."""

import asyncio
from random import Random
from unittest import TestCase

from poplarlug.logs import configure_logs
from poplarlug.transport.memory import LinkQuality
from poplarlug.virtualtime import run_virtual
from tests.properties.claims_cluster import ClaimsCluster

KEY = "quito-a:late-release"
DELAYED = LinkQuality(min_delay=0.3, max_delay=0.3)
HEALS_SECONDS = 0.5
STARTED_SECONDS = 4.0
ATTEMPTED_SECONDS = 1.0


class AtMostOnceTests(TestCase):
    def setUp(self) -> None:
        configure_logs(log_format="json", level="error")

    def test_request_runs_once_an_unreachable_owner_released_the_key(self) -> None:
        """A request runs once a late release arrives from an unreachable owner."""
        # Guards against a 502 "may have run" for a key that was never owned: the
        # holders were not asked again after the owner had failed to reply.
        cluster = run_virtual(self.book_beside_a_late_release())
        refused, booked = cluster.outcomes
        self.assertEqual(refused.error and refused.error.type, "claims_unreachable")
        self.assertIsNone(booked.error)
        self.assertEqual([run.send_id for run in cluster.ledger], ["second"])

    async def book_beside_a_late_release(self) -> ClaimsCluster:
        cluster = ClaimsCluster(rng=Random(1), entries=3)
        cluster.network.duplicate_share = 0.0
        await asyncio.sleep(STARTED_SECONDS)
        owner, *others = [vm.name for vm in cluster.topology.entries]
        for other in others:
            cluster.network.cut(other, owner)
        first = asyncio.ensure_future(cluster.send(owner, KEY, "first"))
        await asyncio.sleep(ATTEMPTED_SECONDS)
        for other in others:
            cluster.network.quality_by_link[(owner, other)] = DELAYED
        await first
        await cluster.send(others[0], KEY, "second")
        return cluster

    # Guards against bookings that ran, and whose key says "may have run" for ever.
    def test_answer_is_kept_when_its_entry_ends(self) -> None:
        """It waits until a majority of the holders has the outcome."""
        cluster = run_virtual(self.end_behind_a_cut())
        first, repeated = cluster.outcomes
        self.assertEqual((first.error, repeated.error), (None, None))
        self.assertEqual(repeated.body, first.body)
        self.assertEqual([run.send_id for run in cluster.ledger], ["first"])

    async def end_behind_a_cut(self) -> ClaimsCluster:
        cluster = ClaimsCluster(rng=Random(1), entries=3)
        cluster.network.duplicate_share = 0.0
        await asyncio.sleep(STARTED_SECONDS)
        owner, *others = [vm.name for vm in cluster.topology.entries]
        booking = asyncio.ensure_future(cluster.send(owner, KEY, "first"))
        while not cluster.ledger:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        for other in others:
            cluster.network.cut(owner, other)
        await booking
        asyncio.get_running_loop().call_later(HEALS_SECONDS, cluster.network.heal)
        await cluster.entries[owner].owner.wait_until_reported(ATTEMPTED_SECONDS)
        cluster.crash(owner)
        await cluster.send(others[0], KEY, "second")
        return cluster
