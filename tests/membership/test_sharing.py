"""Tests of membership between entries, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any
from unittest import TestCase

from poplarlug.membership.members import MemberState
from poplarlug.membership.summaries import SUMMARY_TTL_SECONDS
from poplarlug.virtualtime import run_virtual
from tests.membership.simulation import Simulation, announcement, wait_for

FIRST = "z00-00"


def simulate(test: Callable[[Simulation], Awaitable[Any]], **sizes: int) -> Any:
    async def main() -> Any:
        simulation = Simulation(rng=Random(7), **sizes)
        await asyncio.sleep(4)
        return await test(simulation)

    return run_virtual(main())


class FailureDetectorTests(TestCase):
    def test_crash_is_found_and_restart_taken_in(self) -> None:
        """All others see a crashed entry as dead, and its next run as alive."""

        async def test(simulation: Simulation) -> None:
            await simulation.crash(FIRST)
            others = [e.membership.members for e in simulation.entries_by_name.values()]
            dead = MemberState.DEAD
            await wait_for(
                lambda: all(m.get(FIRST).state is dead for m in others), seconds=20
            )
            simulation.start(FIRST)
            await wait_for(lambda: all(FIRST in m.alive() for m in others), seconds=20)

        simulate(test, entries=5)

    def test_one_cut_link_declares_nobody_dead(self) -> None:
        """Indirect probes keep an entry alive that a single other entry can't reach."""

        async def test(simulation: Simulation) -> None:
            simulation.network.cut(FIRST, "z00-01")
            for _ in range(300):
                await asyncio.sleep(0.1)
                for entry in simulation.entries_by_name.values():
                    states = {m.state for m in entry.membership.members.all()}
                    self.assertNotIn(MemberState.DEAD, states)

        simulate(test, entries=4)

    def test_falsely_suspected_entry_refutes(self) -> None:
        """An entry reported as dead increments its incarnation and is alive again."""

        async def test(simulation: Simulation) -> None:
            members = simulation.membership("z00-01").members
            held = members.get(FIRST)
            reported_dead = held._replace(state=MemberState.DEAD)
            simulation.membership("z00-01").detector.apply_updates((reported_dead,))
            await wait_for(lambda: FIRST in members.alive(), seconds=5)
            self.assertGreater(members.get(FIRST).incarnation, held.incarnation)

        simulate(test)


class UpstreamSharingTests(TestCase):
    def test_leaving_is_known_to_all_when_acknowledged(self) -> None:
        """No entry serves the upstream once ``leaving`` is acknowledged by all."""

        async def test(simulation: Simulation) -> None:
            first = simulation.membership(FIRST)
            await first.announce(announcement())
            entries = simulation.entries_by_name.values()
            await wait_for(lambda: all(e.serving_ids() for e in entries), seconds=1)
            simulation.network.quality = simulation.network.quality._replace(loss=0.3)
            leaving = announcement(sequence=2, state="leaving")
            for _ in range(20):
                if (await first.announce(leaving)).shared:
                    break
                await asyncio.sleep(0.1)
            self.assertFalse(any(e.serving_ids() for e in entries))

        simulate(test, entries=4)

    def test_lost_notice_is_repaired(self) -> None:
        """A lost record is detected by the heartbeat digests and fetched."""

        async def test(simulation: Simulation) -> None:
            simulation.network.quality = simulation.network.quality._replace(loss=1.0)
            await simulation.membership(FIRST).announce(announcement())
            simulation.network.quality = simulation.network.quality._replace(loss=0.0)
            entries = simulation.entries_by_name.values()
            await wait_for(lambda: all(e.serving_ids() for e in entries), seconds=3)

        simulate(test)

    def test_restarted_entry_fetches_the_table(self) -> None:
        """An entry has the upstreams and tombstones before its tables are trusted."""

        async def test(simulation: Simulation) -> None:
            first = simulation.membership(FIRST)
            await first.announce(announcement("u1"))
            await first.announce(announcement("u2", state="leaving"))
            await simulation.crash("z00-02")
            started = simulation.start("z00-02")
            await wait_for(started.membership.is_trusted, seconds=3)
            self.assertEqual(started.serving_ids(), {"u1"})
            outcome = await started.membership.announce(announcement("u2", sequence=9))
            self.assertFalse(outcome.taken)

        simulate(test)


class ZoneSummaryTests(TestCase):
    def test_every_entry_learns_of_each_zone(self) -> None:
        """Summaries reach all entries and expire when their zone fails."""

        async def test(simulation: Simulation) -> None:
            await simulation.membership(FIRST).announce(announcement(capacity=4))
            names = [f"z02-{number:02}" for number in range(5)]
            remote = [simulation.membership(name) for name in names]
            loads = [("corn-7b", 1, 0, 0, 4)]

            def known() -> bool:
                loads_seen = [
                    [list(s.loads) for s in f.zone_summaries()] for f in remote
                ]
                return all(loads in seen for seen in loads_seen)

            await wait_for(known, seconds=8)
            for number in range(5):
                await simulation.crash(f"z00-{number:02}")
            await wait_for(
                lambda: all(
                    {s.zone for s in f.zone_summaries()} == {"z01"} for f in remote
                ),
                seconds=SUMMARY_TTL_SECONDS + 2,
            )

        simulate(test, zones=3, entries=5)
