"""Tests of restoring a registry after a restart."""

import asyncio
from random import Random
from typing import Any
from unittest import TestCase

import msgspec

from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.discovery.crash_marks import CrashMark, CrashMarks
from poplarlug.discovery.records import UpstreamRun
from poplarlug.discovery.registry import RECALLED_TTL_SECONDS, Registry
from poplarlug.discovery.registry_file import FILE_NAME, RegistryFile
from poplarlug.discovery.software_versions import SoftwareVersions, VersionSpan
from poplarlug.virtualtime import run_virtual
from tests.discovery.test_registry import make_entry, make_upstream


def make_file(
    disk: MemoryDisk,
    registry: Registry,
    marks: CrashMarks,
    versions: SoftwareVersions | None = None,
) -> RegistryFile:
    if versions is None:
        versions = SoftwareVersions(clock=lambda: 0.0)
    return RegistryFile(disk=disk, registry=registry, marks=marks, versions=versions)


class RegistryFileTests(TestCase):
    def test_records_come_back_for_a_while(self) -> None:
        """Restored records wait to be confirmed, and expire if not heard from."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            disk = MemoryDisk(rng=Random(1))
            first = Registry(clock=clock, announcement_seconds=1.2)
            marks = CrashMarks(clock=clock)
            writing = asyncio.ensure_future(make_file(disk, first, marks).run())
            first.apply_report(make_upstream())
            first.apply_report(make_entry())
            await asyncio.sleep(3.0)
            writing.cancel()
            second = Registry(clock=clock, announcement_seconds=1.2)
            restored = CrashMarks(clock=clock)
            make_file(disk, second, restored).load()
            self.assertEqual(second.present().all, [])
            self.assertEqual(len(second.recalled().all), 2)
            self.assertEqual(second.confirm(), 2)
            self.assertEqual(len(second.present().all), 2)
            await asyncio.sleep(RECALLED_TTL_SECONDS + 0.1)
            second.expire()
            self.assertEqual(second.present().all, [])

        run_virtual(main())

    # Guards against a file that stays old after the disk was full.
    def test_records_are_written_once_the_disk_has_room(self) -> None:
        """Also if nothing changes any more."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            disk = MemoryDisk(rng=Random(1))
            disk.is_full = True
            registry = Registry(clock=clock, announcement_seconds=1.2)
            marks = CrashMarks(clock=clock)
            writing = asyncio.ensure_future(make_file(disk, registry, marks).run())
            registry.apply_report(make_upstream())
            await asyncio.sleep(5.0)
            disk.is_full = False
            await asyncio.sleep(2.0)
            writing.cancel()
            restored = Registry(clock=clock, announcement_seconds=1.2)
            make_file(disk, restored, marks).load()
            self.assertEqual(len(restored.recalled().all), 1)

        run_virtual(main())

    def test_crash_marks_come_back(self) -> None:
        """The marks of a suspect request survive a power failure of all replicas."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            disk = MemoryDisk(rng=Random(1))
            registry = Registry(clock=clock, announcement_seconds=1.2)
            marks = CrashMarks(clock=clock)
            file = make_file(disk, registry, marks)
            writing = asyncio.ensure_future(file.run())
            marks.add(CrashMark(7, UpstreamRun("u-1", 1), alone=True))
            marks.add(CrashMark(7, UpstreamRun("u-2", 1)))
            marks.add(CrashMark(8, UpstreamRun("u-1", 1)))
            await asyncio.sleep(3.0)
            # The alone flag is learned later than the crash itself.
            marks.add(CrashMark(7, UpstreamRun("u-2", 1), alone=True))
            await asyncio.sleep(3.0)
            writing.cancel()
            restored = CrashMarks(clock=clock)
            make_file(disk, registry, restored).load()
            self.assertEqual(
                [mark.alone for mark in restored.active_for(7)], [True, True]
            )
            self.assertEqual(restored.active_for(8), [])

        run_virtual(main())

    def test_software_versions_come_back(self) -> None:
        """A version whose upstreams have all left may have begun streams."""

        async def main() -> None:
            clock = asyncio.get_running_loop().time
            disk = MemoryDisk(rng=Random(1))
            registry = Registry(clock=clock, announcement_seconds=1.2)
            marks = CrashMarks(clock=clock)
            versions = SoftwareVersions(clock=clock)
            for span in (VersionSpan("desk", "v1", 5), VersionSpan("desk", "v2", 9)):
                versions.add(span)
            writing = asyncio.ensure_future(
                make_file(disk, registry, marks, versions).run()
            )
            registry.apply_report(make_upstream())
            await asyncio.sleep(3.0)
            writing.cancel()
            restored = SoftwareVersions(clock=clock)
            make_file(disk, registry, marks, restored).load()
            [mixed] = restored.mixed(has_all_streams=True)
            self.assertEqual((mixed.default, mixed.others), ("v1", ("v2",)))

        run_virtual(main())

    def test_file_of_an_earlier_version_is_read(self) -> None:
        """It has no software versions, neither of services nor of upstreams."""

        async def main() -> None:
            disk = MemoryDisk(rng=Random(1))
            former = tuple(make_upstream())[:-1]
            await disk.replace(FILE_NAME, msgspec.msgpack.encode(((), (former,))))
            registry = Registry(clock=lambda: 0.0, announcement_seconds=1.2)
            make_file(disk, registry, CrashMarks(clock=lambda: 0.0)).load()
            [upstream] = registry.recalled().upstreams
            self.assertEqual(upstream.version, "")

        run_virtual(main())

    def test_damaged_file_is_passed_over(self) -> None:
        """A file that can't be decoded is treated as missing."""

        async def main() -> None:
            disk = MemoryDisk(rng=Random(1))
            await disk.replace(FILE_NAME, b"\xc1damaged")
            registry = Registry(clock=lambda: 0.0, announcement_seconds=1.2)
            marks = CrashMarks(clock=lambda: 0.0)
            make_file(disk, registry, marks).load()
            self.assertEqual(registry.present().all, [])

        run_virtual(main())

    # Guards against a replica that restarts without any record because of one.
    def test_unreadable_records_are_ignored_one_by_one(self) -> None:
        """Odd records stand between sound ones in each of the file's lists."""

        def encode(entry: Any, upstream: Any, mark: Any) -> bytes:
            span = VersionSpan("engine", "v1", 5)
            content = (
                [entry, make_entry()],
                [upstream, make_upstream()],
                [mark, CrashMark(7, UpstreamRun("e-1", 5))],
                [upstream, span],
            )
            return msgspec.msgpack.encode(content)

        deep: list[Any] = []
        for _ in range(500):
            deep = [deep]
        unreadable = (
            (None, None, None),
            ({}, {"id": "x"}, "x"),
            ([1], [*make_upstream()[:-4], "resting"], [2**64 - 1]),
            (deep, deep, deep),
            (make_entry(name="\x00"), make_upstream(address="10.0.0.1:0"), ["x"]),
        )
        for records in unreadable:
            with self.subTest(records=str(records)[:60]):
                disk = MemoryDisk(rng=Random(1))
                asyncio.run(disk.replace(FILE_NAME, encode(*records)))
                registry = Registry(clock=lambda: 0.0, announcement_seconds=1.2)
                marks = CrashMarks(clock=lambda: 0.0)
                versions = SoftwareVersions(clock=lambda: 0.0)
                self.assertTrue(make_file(disk, registry, marks, versions).load())
                recalled = registry.recalled()
                self.assertEqual(recalled.all, [make_entry(), make_upstream()])
                self.assertEqual(len(marks.active_for(7)), 1)
                self.assertEqual([s.version for s in versions.spans()], ["v1"])
