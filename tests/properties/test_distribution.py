"""Property tests of configuration distribution under partitions, losses and crashes."""

import asyncio
import os
from random import Random
from unittest import TestCase

from poplarlug.virtualtime import run_virtual
from tests.distribution.cluster import Cluster, Process

SCHEDULES = 60
STEPS = 40
FIRST_SEED = int(os.environ.get("POPLARLUG_SEED", "1"))


class DistributionScheduleTests(TestCase):
    def test_versions_never_revert_and_all_converge(self) -> None:
        """Versions never decrease under faults, and all converge after a heal."""
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(f"POPLARLUG_SEED={seed}"):
                run_virtual(self.run_schedule(Random(seed)))

    async def run_schedule(self, rng: Random) -> None:
        cluster = Cluster(rng=rng)
        await cluster.start()
        watching = asyncio.ensure_future(self.watch(cluster))
        for _ in range(STEPS):
            await self.step(cluster, rng)
            await asyncio.sleep(rng.uniform(0.0, 1.5))
            if watching.done():
                break
        cluster.network.heal()
        cluster.network.quality = cluster.network.quality._replace(loss=0.0)
        cluster.is_leader = True
        for process in cluster.processes_by_name.values():
            if not process.is_up():
                process.start()
        cluster.change()
        await cluster.wait_converged(60)
        self.assertTrue(all(process.is_up() for process in cluster.running()))
        watching.cancel()
        results = await asyncio.gather(watching, return_exceptions=True)
        if isinstance(results[0], AssertionError):
            raise results[0]

    async def step(self, cluster: Cluster, rng: Random) -> None:
        """Change the configuration or inject a fault."""
        names = ["control", *cluster.processes_by_name]
        process = rng.choice(list(cluster.processes_by_name.values()))
        choice = rng.random()
        if choice < 0.45:
            for _ in range(rng.choice((1, 1, 1, 5, 300))):
                cluster.change()
        elif choice < 0.65:
            for _ in range(rng.randrange(1, 8)):
                cluster.network.cut(rng.choice(names), rng.choice(names))
        elif choice < 0.75:
            cluster.network.heal()
        elif choice < 0.85:
            await process.crash()
        elif choice < 0.93:
            if not process.is_up():
                process.start()
        elif choice < 0.97:
            loss = rng.choice((0.0, 0.1, 0.3))
            cluster.network.quality = cluster.network.quality._replace(loss=loss)
        else:
            cluster.is_leader = not cluster.is_leader

    async def watch(self, cluster: Cluster) -> None:
        """Continuously check the state that requests are served from."""
        served_by_name: dict[str, int] = {}
        while True:
            for process in cluster.running():
                self.check(cluster, process, served_by_name)
            await asyncio.sleep(0.02)

    def check(
        self,
        cluster: Cluster,
        process: Process,
        served_by_name: dict[str, int],
    ) -> None:
        follower = process.follower
        version = follower.version.value
        self.assertEqual(
            follower.catalog.state_hash(), cluster.hashes_by_version[version]
        )
        # With a disk, the guarantee also holds across restarts of the process.
        name = process.vm.name
        key = name if process.store is not None else f"{name}/{id(follower)}"
        if follower.can_serve:
            self.assertGreaterEqual(version, served_by_name.get(key, 0), name)
            served_by_name[key] = version
