"""Property tests of claims under random crashes, losses and resends."""

import asyncio
import os
import traceback
from collections import Counter
from random import Random
from unittest import TestCase

from poplarlug.logs import configure_logs
from poplarlug.virtualtime import run_virtual
from tests.properties.claims_cluster import ClaimsCluster

SCHEDULES = int(os.environ.get("CLAIMS_SCHEDULES", "500"))
FIRST_SEED = int(os.environ.get("CLAIMS_FIRST_SEED", "1"))
KEYS = 4
SENDS_PER_KEY = 4


async def run_schedule(rng: Random) -> ClaimsCluster:
    """Send each booking several times while faults are injected."""
    cluster = ClaimsCluster(rng=rng, entries=rng.choice((3, 3, 4, 5)))
    names = [vm.name for vm in cluster.topology.entries]
    cluster.draw_failure = lambda: rng.choice(("", "", "", "not_run", "broken"))
    await asyncio.sleep(4.0)
    faults = asyncio.ensure_future(cluster.inject_faults())

    async def call(key: str, send_id: str) -> None:
        await asyncio.sleep(rng.uniform(0, 8))
        await cluster.send(rng.choice(names), key, send_id)

    calls = [
        call(f"key-{number}", f"{number}.{send_id}")
        for number in range(KEYS)
        for send_id in range(SENDS_PER_KEY)
    ]
    await asyncio.gather(*calls)
    faults.cancel()
    return cluster


def violations(cluster: ClaimsCluster) -> list[str]:
    """Return contradictions between callers' results and the upstream's ledger."""
    found = []
    runs_by_key = Counter(run.key for run in cluster.ledger)
    found += [
        f"{key} ran {runs} times" for key, runs in runs_by_key.items() if runs > 1
    ]
    for outcome in cluster.outcomes:
        ran = [run for run in cluster.ledger if run.key == outcome.key]
        if outcome.error is None and outcome.body.decode() not in [
            r.send_id for r in ran
        ]:
            found.append(
                f"{outcome.send_id} was told another's answer {outcome.body!r}"
            )
        if outcome.error is not None and outcome.error.ran is False:
            earlier = [run for run in ran if run.at <= outcome.at]
            if earlier:
                found.append(f"{outcome.send_id} was told not run, ran: {earlier}")
    return found


def check_seeds(seeds: range) -> list[str]:
    """Run the schedules of ``seeds``; return all violations with their seeds."""
    found = []
    for seed in seeds:
        try:
            cluster = run_virtual(run_schedule(Random(seed)))
            found += [f"seed {seed}: {text}" for text in violations(cluster)]
        except Exception:
            found.append(f"seed {seed}: {traceback.format_exc()}")
    return found


class ClaimsScheduleTests(TestCase):
    """Schedules in four parts, so that the test runner can run them in parallel."""

    def setUp(self) -> None:
        configure_logs(log_format="json", level="error")

    def check_part(self, part: int) -> None:
        first = FIRST_SEED + part * SCHEDULES
        self.assertEqual(check_seeds(range(first, first + SCHEDULES)), [])

    def test_no_key_runs_twice_first_part(self) -> None:
        """No key runs twice and no caller is told "not run" of one that ran."""
        self.check_part(0)

    def test_no_key_runs_twice_second_part(self) -> None:
        """No key runs twice and no caller is told "not run" of one that ran."""
        self.check_part(1)

    def test_no_key_runs_twice_third_part(self) -> None:
        """No key runs twice and no caller is told "not run" of one that ran."""
        self.check_part(2)

    def test_no_key_runs_twice_fourth_part(self) -> None:
        """No key runs twice and no caller is told "not run" of one that ran."""
        self.check_part(3)

    def test_bookings_run_without_faults(self) -> None:
        """Without faults, each key runs exactly once and resends get its answer."""

        async def main() -> ClaimsCluster:
            cluster = ClaimsCluster(rng=Random(5), entries=3)
            names = [vm.name for vm in cluster.topology.entries]
            await asyncio.sleep(4.0)
            await asyncio.gather(
                *(
                    cluster.send(name, f"key-{number}", f"{number}.{name}")
                    for number in range(20)
                    for name in names
                )
            )
            return cluster

        cluster = run_virtual(main())
        self.assertEqual(len(cluster.ledger), 20)
        self.assertEqual({outcome.error for outcome in cluster.outcomes}, {None})
        self.assertEqual(violations(cluster), [])
