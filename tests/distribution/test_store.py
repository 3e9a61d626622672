"""Tests of the configuration file on an entry's disk."""

import asyncio
import tempfile
from pathlib import Path
from unittest import TestCase, mock

from poplarlug.catalog import Catalog, Delta, Model, Update
from poplarlug.catalog.catalog import encode_object
from poplarlug.distribution import store as store_module
from poplarlug.distribution.store import FileStore
from poplarlug.logs import configure_logs

configure_logs(log_format="json", level="error")


def update(version: int, *, size: int = 1) -> Update:
    value = encode_object(Model("corn", version="v" * size))
    return Update(version - 1, version, (Delta(version, "model", "corn", value),))


class FileStoreTests(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"
        self.file = self.folder / "configuration"
        self.store = FileStore(folder=self.folder)
        self.assertEqual(self.load(self.store), [])
        for version in (1, 2, 3):
            asyncio.run(self.store.append(update(version)))

    def load(self, store: FileStore) -> list[Update]:
        return asyncio.run(store.load())

    def versions(self) -> list[int]:
        """Return the versions that a restarted process loads."""
        return [kept.version for kept in self.load(FileStore(folder=self.folder))]

    def test_updates_outlive_the_process(self) -> None:
        """Appended updates are loaded again in order."""
        self.assertEqual(self.versions(), [1, 2, 3])

    def test_torn_tail_is_cut(self) -> None:
        """A partially written record is dropped, and later appends succeed."""
        for missing_bytes in (1, 10, 30):
            with self.subTest(missing_bytes=missing_bytes):
                data = self.file.read_bytes()
                self.file.write_bytes(data[:-missing_bytes])
                again = FileStore(folder=self.folder)
                self.assertEqual([u.version for u in self.load(again)], [1, 2])
                asyncio.run(again.append(update(3)))
                self.assertEqual(self.versions(), [1, 2, 3])

    def test_loading_stops_at_damage(self) -> None:
        """Loading stops at the first damaged record."""
        data = bytearray(self.file.read_bytes())
        data[len(data) // 2] ^= 0xFF
        self.file.write_bytes(bytes(data))
        self.assertEqual(self.versions(), [1])

    def test_long_file_is_replaced_by_the_whole(self) -> None:
        """A file beyond the size limit is compacted to one whole update."""
        with mock.patch.object(store_module, "MIN_COMPACTION_BYTES", 500):
            self.assertFalse(self.store.needs_compaction)
            asyncio.run(self.store.append(update(4, size=600)))
            self.assertTrue(self.store.needs_compaction)
            whole = Update(0, 4, update(4).deltas, whole=True)
            asyncio.run(self.store.compact(whole))
            self.assertFalse(self.store.needs_compaction)
        self.assertEqual(self.load(FileStore(folder=self.folder)), [whole])
        catalog = Catalog()
        self.assertTrue(catalog.update(whole))

    def test_failed_write_asks_for_a_replacement(self) -> None:
        """A disk error is not raised, and the next compaction recovers from it."""
        with mock.patch("os.fsync", side_effect=OSError("no space left")):
            asyncio.run(self.store.append(update(4)))
        self.assertTrue(self.store.needs_compaction)
        whole = Update(0, 5, update(5).deltas, whole=True)
        asyncio.run(self.store.compact(whole))
        self.assertFalse(self.store.needs_compaction)
        self.assertEqual(self.versions(), [5])
