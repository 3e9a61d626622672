"""Tests of distributing rate limits to all entries across partitions and restarts."""

import asyncio

from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import UpstreamRun
from tests.discovery.fleet import START_SECONDS, Fleet, FleetTestCase

RUN = UpstreamRun("u-1", 1)
SPREAD_SECONDS = 1.0
"""A few round trips between regions; the users' requirement allows five seconds."""

ALL_ZONES = {"a", "b", "c"}


def now() -> float:
    return asyncio.get_running_loop().time()


class LimitSharingTests(FleetTestCase):
    def rates_by_zone(self, fleet: Fleet) -> dict[str, float | None]:
        return {zone: limits.rate(RUN) for zone, limits in fleet.limits_by_zone.items()}

    def observe(self, limits: NamedLimits, rate: float | None) -> None:
        limits.observe(RUN, rate, now())

    def test_limit_reaches_all_entries_at_once(self) -> None:
        """So do changes of the limit and its end."""

        async def scenario(fleet: Fleet) -> None:
            for zone, rate in (("a", 2.0), ("b", 1.0), ("c", None)):
                self.observe(fleet.limits_by_zone[zone], rate)
                await asyncio.sleep(SPREAD_SECONDS)
                self.assertEqual(
                    self.rates_by_zone(fleet), dict.fromkeys(ALL_ZONES, rate)
                )

        self.run_scenario(scenario)

    def test_limit_is_known_after_starts(self) -> None:
        """Restarted entries and replicas learn the limit from the others."""

        async def scenario(fleet: Fleet) -> None:
            self.observe(fleet.limits_by_zone["a"], 2.0)
            await asyncio.sleep(SPREAD_SECONDS)
            fleet.stop("entry-b")
            fleet.start_entry("b")
            await asyncio.sleep(SPREAD_SECONDS)
            self.assertEqual(self.rates_by_zone(fleet), dict.fromkeys(ALL_ZONES, 2.0))
            for zone in ALL_ZONES:
                fleet.stop(f"control-{zone}")
            for zone in ALL_ZONES:
                fleet.start_replica(zone)
            await asyncio.sleep(START_SECONDS)
            fleet.stop("entry-c")
            fleet.start_entry("c")
            await asyncio.sleep(SPREAD_SECONDS)
            self.assertEqual(self.rates_by_zone(fleet), dict.fromkeys(ALL_ZONES, 2.0))

        self.run_scenario(scenario)

    def test_cut_off_zone_brings_no_old_limit_back(self) -> None:
        """It learns of the end when the partition heals, and nothing reverts it."""

        async def scenario(fleet: Fleet) -> None:
            self.observe(fleet.limits_by_zone["c"], 2.0)
            await asyncio.sleep(SPREAD_SECONDS)
            fleet.cut_off("c")
            self.observe(fleet.limits_by_zone["a"], None)
            await asyncio.sleep(START_SECONDS)
            self.assertEqual(
                self.rates_by_zone(fleet), {"a": None, "b": None, "c": 2.0}
            )
            fleet.network.heal()
            await asyncio.sleep(START_SECONDS)
            self.assertEqual(self.rates_by_zone(fleet), dict.fromkeys(ALL_ZONES))

        self.run_scenario(scenario)

    def test_limit_named_in_a_cut_off_zone_is_known_after_it(self) -> None:
        """Limits that couldn't be sent are sent when the partition heals."""

        async def scenario(fleet: Fleet) -> None:
            fleet.cut_off("c")
            await asyncio.sleep(SPREAD_SECONDS)
            self.observe(fleet.limits_by_zone["c"], 2.0)
            await asyncio.sleep(START_SECONDS)
            self.assertEqual(
                self.rates_by_zone(fleet), {"a": None, "b": None, "c": 2.0}
            )
            fleet.network.heal()
            await asyncio.sleep(START_SECONDS)
            self.assertEqual(self.rates_by_zone(fleet), dict.fromkeys(ALL_ZONES, 2.0))

        self.run_scenario(scenario)
