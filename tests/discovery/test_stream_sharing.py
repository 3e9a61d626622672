"""Tests of records of streams across restarts and cuts."""

import asyncio

from poplarlug.discovery.messages import StreamFound, StreamLookup
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.discovery.software_versions import StreamKey, StreamStarts
from tests.discovery.fleet import REGIONS_BY_ZONE, Fleet, FleetTestCase

SPREAD_SECONDS = 1.0
"""A few round trips between regions."""


async def announce(fleet: Fleet) -> None:
    """Announce an upstream of each of two versions to all replicas."""
    for registrar in fleet.registrars.values():
        for born, version in ((5, "v1"), (9, "v2")):
            upstream = ServiceUpstream(
                f"u-{version}", "desk", f"10.0.0.{born}:80", "a", born, 1, 8
            )
            await registrar.receive_announcement(upstream._replace(version=version))


async def look_up(fleet: Fleet, zone: str, key: StreamKey) -> StreamFound | None:
    lookup = StreamLookup(key, "desk")
    return await fleet.subscribers_by_zone[zone].look_up_stream(lookup)


class StreamSharingTests(FleetTestCase):
    # Guards against streams that nobody knew after a restart of all replicas.
    def test_entries_report_streams_again_after_all_replicas_restarted(self) -> None:
        """Each entry still holds those that it began, of the default version too."""

        async def scenario(fleet: Fleet) -> None:
            await announce(fleet)
            await asyncio.sleep(2.0)
            fleet.streams_by_zone["a"].add([StreamStarts("v1", (1,))])
            await fleet.streams_by_zone["a"].add_and_queue(2, "v2")
            for zone in REGIONS_BY_ZONE:
                fleet.stop(f"control-{zone}")
            await asyncio.sleep(0.5)
            for zone in REGIONS_BY_ZONE:
                fleet.start_replica(zone)
            await announce(fleet)
            await asyncio.sleep(5.0)
            fleet.stop("entry-a")
            for key, version in ((1, "v1"), (2, "v2"), (3, None)):
                found = await look_up(fleet, "b", key)
                assert found is not None
                self.assertEqual((found.version, found.is_complete), (version, False))

        self.run_scenario(scenario)

    # Guards against joined streams that only a lost region's replica knew.
    def test_stream_is_recorded_once_a_majority_has_it(self) -> None:
        """A replica that is cut off can't record alone, as it may be lost then."""

        async def scenario(fleet: Fleet) -> None:
            await announce(fleet)
            await asyncio.sleep(2.0)
            fleet.cut_off("a")
            recorded = fleet.streams_by_zone["a"].add_and_queue(1, "v2")
            await asyncio.sleep(3.0)
            self.assertFalse(recorded.done())
            fleet.network.heal()
            await asyncio.wait_for(recorded, 5.0)
            fleet.stop("control-a")
            fleet.stop("entry-a")
            for zone in ("b", "c"):
                found = await look_up(fleet, zone, 1)
                assert found is not None
                self.assertEqual(found.version, "v2")

        self.run_scenario(scenario)

    def test_cut_off_replica_tells_no_version(self) -> None:
        """Other replicas may have records of streams, or know of other versions."""

        async def scenario(fleet: Fleet) -> None:
            await announce(fleet)
            await asyncio.sleep(65.0)
            await announce(fleet)
            found = await look_up(fleet, "a", 1)
            assert found is not None and found.versions is not None
            self.assertEqual((found.is_complete, found.versions.default), (True, "v1"))
            fleet.cut_off("a")
            await fleet.streams_by_zone["b"].add_and_queue(1, "v2")
            self.assertEqual(await look_up(fleet, "a", 1), StreamFound(None, False))
            found = await look_up(fleet, "c", 1)
            assert found is not None
            self.assertEqual(found.version, "v2")

        self.run_scenario(scenario)
