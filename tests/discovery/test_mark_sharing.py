"""Tests of distributing crash marks across partitions, restarts and releases."""

import asyncio

from poplarlug.discovery.crash_marks import CrashMark
from poplarlug.discovery.records import UpstreamRun
from tests.discovery.fleet import REGIONS_BY_ZONE, START_SECONDS, Fleet, FleetTestCase

SPREAD_SECONDS = 1.0
"""A few round trips between regions."""


def make_mark(number: int) -> CrashMark:
    return CrashMark(7, UpstreamRun(f"u-{number}", 1))


class MarkSharingTests(FleetTestCase):
    def test_crash_counts_at_all_entries(self) -> None:
        """Crash marks reach all regions within a second of the crash."""

        async def scenario(fleet: Fleet) -> None:
            fleet.marks_by_zone["a"].add_and_queue(make_mark(1))
            fleet.marks_by_zone["b"].add_and_queue(make_mark(2))
            await asyncio.sleep(SPREAD_SECONDS)
            self.assertEqual(fleet.active_mark_counts(), [2, 2, 2])

        self.run_scenario(scenario)

    def test_zone_that_was_cut_off_catches_up(self) -> None:
        """It uses its own marks meanwhile; the others receive these afterwards."""

        async def scenario(fleet: Fleet) -> None:
            fleet.cut_off("c")
            fleet.marks_by_zone["a"].add_and_queue(make_mark(1))
            fleet.marks_by_zone["c"].add_and_queue(make_mark(2))
            await asyncio.sleep(10.0)
            self.assertEqual(fleet.active_mark_counts(), [1, 1, 1])
            fleet.network.heal()
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.active_mark_counts(), [2, 2, 2])

        self.run_scenario(scenario)

    def test_started_entry_and_replica_learn_what_counts(self) -> None:
        """Marks survive the replacement of all entries and replicas, one by one."""

        async def scenario(fleet: Fleet) -> None:
            for number in range(2):
                fleet.marks_by_zone["a"].add_and_queue(make_mark(number))
            await asyncio.sleep(SPREAD_SECONDS)
            for zone in REGIONS_BY_ZONE:
                fleet.stop(f"entry-{zone}")
                fleet.start_entry(zone)
                await asyncio.sleep(START_SECONDS)
                fleet.stop(f"control-{zone}")
                fleet.start_replica(zone)
                await asyncio.sleep(START_SECONDS)
            self.assertEqual(fleet.active_mark_counts(), [2, 2, 2])

        self.run_scenario(scenario)

    def test_entries_tell_replicas_that_were_all_lost(self) -> None:
        """All replicas restart with empty disks."""

        async def scenario(fleet: Fleet) -> None:
            for number in range(2):
                fleet.marks_by_zone["a"].add_and_queue(make_mark(number))
            await asyncio.sleep(SPREAD_SECONDS)
            for zone in REGIONS_BY_ZONE:
                fleet.stop(f"control-{zone}")
            for zone in REGIONS_BY_ZONE:
                fleet.start_replica(zone)
            await asyncio.sleep(10.0)
            fleet.stop("entry-b")
            fleet.start_entry("b")
            await asyncio.sleep(START_SECONDS)
            self.assertEqual(fleet.active_mark_counts(), [2, 2, 2])

        self.run_scenario(scenario)

    def test_release_and_whole_answer_reach_all(self) -> None:
        """An operator's release at one replica, and an answer at one entry."""

        async def scenario(fleet: Fleet) -> None:
            for number in range(2):
                fleet.marks_by_zone["a"].add_and_queue(make_mark(number))
            await asyncio.sleep(SPREAD_SECONDS)
            self.assertEqual(fleet.registrars["b"].release(7), 2)
            await asyncio.sleep(SPREAD_SECONDS)
            self.assertEqual(fleet.active_mark_counts(), [0, 0, 0])
            fleet.marks_by_zone["a"].add_and_queue(make_mark(5))
            await asyncio.sleep(SPREAD_SECONDS)
            fleet.marks_by_zone["c"].withdraw(7)
            await asyncio.sleep(SPREAD_SECONDS)
            self.assertEqual(fleet.active_mark_counts(), [0, 0, 0])

        self.run_scenario(scenario)
