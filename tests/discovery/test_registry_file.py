"""Tests of a registry that comes back after a restart."""

import asyncio
from random import Random
from unittest import TestCase

from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.discovery.registry import RECALL_SECONDS, Registry
from poplarlug.discovery.registry_file import FILE_NAME, RegistryFile
from poplarlug.virtualtime import run_virtual
from tests.discovery.test_registry import make_entry, make_upstream


class RegistryFileTests(TestCase):
    def test_records_come_back_for_a_while(self) -> None:
        """What was there before is used at once, and forgotten without a sign."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            disk = MemoryDisk(rng=Random(1))
            first = Registry(clock=clock, beat_seconds=1.2)
            writing = asyncio.ensure_future(
                RegistryFile(disk=disk, registry=first).run()
            )
            first.hear(make_upstream())
            first.hear(make_entry())
            await asyncio.sleep(3.0)
            writing.cancel()
            second = Registry(clock=clock, beat_seconds=1.2)
            RegistryFile(disk=disk, registry=second).load()
            self.assertEqual(len(second.present().all), 2)
            await asyncio.sleep(RECALL_SECONDS + 0.1)
            second.expire()
            self.assertEqual(second.present().all, [])

        run_virtual(main())

    def test_damaged_file_is_passed_over(self) -> None:
        """A file that can't be read is as none."""

        async def main() -> None:
            disk = MemoryDisk(rng=Random(1))
            await disk.replace(FILE_NAME, b"\xc1damaged")
            registry = Registry(clock=lambda: 0.0, beat_seconds=1.2)
            RegistryFile(disk=disk, registry=registry).load()
            self.assertEqual(registry.present().all, [])

        run_virtual(main())
