"""In-memory catalog of all configuration objects with their versions."""

from collections.abc import Iterator
from typing import NamedTuple, TypeVar, cast

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from poplarlug.catalog.objects import (
    OBJECT_TYPES_BY_KIND,
    Account,
    CatalogObject,
    Kind,
    Model,
    Rank,
    Service,
)
from poplarlug.catalog.updates import CatalogImage, Delta, Update
from poplarlug.types import ConfigVersion

T = TypeVar("T")

MAX_DELETIONS = 10_000

_HASH_MODULUS = 2**64


class _StoredObject(NamedTuple):
    version: ConfigVersion
    # Stored as msgpack and decoded on each use: thousands of accounts take a third
    # of the memory that decoded objects would take.
    data: bytes


class Catalog:
    """
    Objects by kind and name, changed by updates with increasing versions.

    A version has the same :meth:`state_hash` in every process, whichever updates
    led to it.
    """

    def __init__(self) -> None:
        self.version: ConfigVersion = 0
        # Each inner dict is ordered by version: a change moves its object to the
        # end.
        self._objects_by_name_by_kind: dict[Kind, dict[str, _StoredObject]] = {
            kind: {} for kind in OBJECT_TYPES_BY_KIND
        }
        self._deletions_by_key: dict[tuple[Kind, str], ConfigVersion] = {}
        self._deletions_after: ConfigVersion = 0
        self._account_names_by_key_hash: dict[bytes, str] = {}
        self._hash = 0

    def apply(self, delta: Delta) -> bool:
        """Apply the next delta unless its version is already included."""
        return self.update(Update(self.version, delta.version, (delta,)))

    def update(self, update: Update) -> bool:
        """
        Apply ``update`` atomically.

        Returns
        -------
        bool
            ``False`` if nothing changed because the update isn't newer, its base is
            after the current version, or it contains an object that can't be
            decoded.
        """
        if update.version <= self.version:
            return False
        if not update.whole and update.base > self.version:
            return False
        new_deltas = [
            d for d in update.deltas if update.whole or d.version > self.version
        ]
        if not all(_is_readable(delta) for delta in new_deltas):
            return False
        if update.whole:
            self._clear(update.version)
        for delta in new_deltas:
            self._put(delta)
        self.version = update.version
        return True

    def update_after(self, version: ConfigVersion) -> Update:
        """
        Return the update from ``version`` to the current version.

        The work is bounded by the size of the update.
        """
        if version < self._deletions_after:
            return self.image().update
        deltas = list(self._deltas_after(version))
        deltas += self._deletions_since(version)
        deltas.sort(key=lambda delta: delta.version)
        return Update(version, max(version, self.version), tuple(deltas))

    def image(self) -> CatalogImage:
        """Return a complete image of the catalog for :meth:`restore`."""
        deltas = sorted(self._deltas_after(0), key=lambda delta: delta.version)
        update = Update(0, self.version, tuple(deltas), whole=True)
        deletions = reversed(list(self._deletions_since(0)))
        return CatalogImage(update, tuple(deletions), self._deletions_after)

    def restore(self, image: CatalogImage) -> None:
        """Replace the contents of the catalog with ``image``."""
        self._clear(image.update.version)
        for delta in image.update.deltas:
            self._put(delta)
        for delta in image.deletions:
            self._deletions_by_key[delta.kind, delta.name] = delta.version
        self._deletions_after = image.deletions_after
        self.version = image.update.version

    def state_hash(self) -> str:
        """Return a hexadecimal hash of the version and all objects."""
        return f"{(self._hash + self.version) % _HASH_MODULUS:016x}"

    def object_version(self, kind: Kind, name: str) -> ConfigVersion:
        """Return the version of an object, or 0 if it doesn't exist."""
        stored = self._objects_by_name_by_kind[kind].get(name)
        return stored.version if stored else 0

    def get(self, kind: Kind, name: str) -> CatalogObject | None:
        stored = self._objects_by_name_by_kind[kind].get(name)
        return _read(kind, stored.data) if stored else None

    def names(self, kind: Kind) -> list[str]:
        return sorted(self._objects_by_name_by_kind[kind])

    def count(self, kind: Kind) -> int:
        return len(self._objects_by_name_by_kind[kind])

    def values(self, kind: Kind) -> Iterator[CatalogObject]:
        """Iterate over all objects of ``kind`` in the order of their versions."""
        for stored in self._objects_by_name_by_kind[kind].values():
            yield _read(kind, stored.data)

    def account(self, name: str) -> Account | None:
        return cast(Account | None, self.get("account", name))

    def model(self, name: str) -> Model | None:
        return cast(Model | None, self.get("model", name))

    def rank(self, name: str) -> Rank | None:
        return cast(Rank | None, self.get("rank", name))

    def service(self, name: str) -> Service | None:
        return cast(Service | None, self.get("service", name))

    def account_by_key_hash(self, key_hash: str) -> Account | None:
        name = self._account_names_by_key_hash.get(_pack_key_hash(key_hash))
        return None if name is None else self.account(name)

    def _deltas_after(self, version: ConfigVersion) -> Iterator[Delta]:
        for kind, objects_by_name in self._objects_by_name_by_kind.items():
            for name, stored in reversed(objects_by_name.items()):
                if stored.version <= version:
                    break
                yield Delta(stored.version, kind, name, stored.data)

    def _deletions_since(self, version: ConfigVersion) -> Iterator[Delta]:
        for (kind, name), deleted in reversed(self._deletions_by_key.items()):
            if deleted <= version:
                break
            yield Delta(deleted, kind, name, None)

    def _clear(self, deletions_after: ConfigVersion) -> None:
        for objects_by_name in self._objects_by_name_by_kind.values():
            objects_by_name.clear()
        self._deletions_by_key.clear()
        self._deletions_after = deletions_after
        self._account_names_by_key_hash.clear()
        self._hash = 0

    def _put(self, delta: Delta) -> None:
        kind, name = delta.kind, delta.name
        objects_by_name = self._objects_by_name_by_kind[kind]
        previous = objects_by_name.pop(name, None)
        self._deletions_by_key.pop((kind, name), None)
        if previous is not None:
            self._hash -= _hash_object(kind, name, previous)
            for key_hash in _key_hashes(kind, previous.data):
                self._account_names_by_key_hash.pop(_pack_key_hash(key_hash), None)
        if delta.value is None:
            self._record_deletion(delta)
            return
        stored = _StoredObject(delta.version, delta.value)
        objects_by_name[name] = stored
        self._hash += _hash_object(kind, name, stored)
        for key_hash in _key_hashes(kind, stored.data):
            self._account_names_by_key_hash[_pack_key_hash(key_hash)] = name

    def _record_deletion(self, delta: Delta) -> None:
        self._deletions_by_key[delta.kind, delta.name] = delta.version
        if len(self._deletions_by_key) > MAX_DELETIONS:
            oldest = next(iter(self._deletions_by_key))
            self._deletions_after = self._deletions_by_key.pop(oldest)


def encode_object(value: CatalogObject) -> bytes:
    return msgspec.msgpack.encode(value)


def decode_object(kind: Kind, data: bytes) -> Result[CatalogObject, str]:
    """Decode an object of ``kind`` from ``data``, or return the error."""
    try:
        return Success(msgspec.msgpack.decode(data, type=OBJECT_TYPES_BY_KIND[kind]))
    except (KeyError, ValueError, TypeError, RecursionError) as error:
        return Failure(f"not a {kind}: {error}")


def _is_readable(delta: Delta) -> bool:
    if delta.value is None:
        return True
    return isinstance(decode_object(delta.kind, delta.value), Success)


def _read(kind: Kind, data: bytes) -> CatalogObject:
    return decode_object(kind, data).unwrap()


def _key_hashes(kind: Kind, data: bytes) -> tuple[str, ...]:
    if kind != "account":
        return ()
    return cast(Account, _read(kind, data)).key_hashes


def _hash_object(kind: Kind, name: str, stored: _StoredObject) -> int:
    head = f"{kind}/{name}/{stored.version}/".encode()
    return xxhash.xxh3_64_intdigest(head + stored.data)


def _pack_key_hash(key_hash: str) -> bytes:
    """Return a hexadecimal key hash as raw bytes, half its size; encode others."""
    try:
        return bytes.fromhex(key_hash)
    except ValueError:
        return key_hash.encode()
