"""All objects of a configuration with the version of each."""

from collections.abc import Iterable
from typing import NamedTuple, TypeVar, cast

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from poplarlug.catalog.changes import Change, ChangeOutcome, ChangeStatus
from poplarlug.catalog.objects import (
    OBJECT_TYPES_BY_KIND,
    Account,
    CatalogObject,
    Kind,
    Model,
    Rank,
    Service,
)
from poplarlug.types import ConfigVersion

T = TypeVar("T")


class Delta(NamedTuple):
    """One object's state after the change with ``version``."""

    version: ConfigVersion
    kind: Kind
    name: str
    value: bytes | None


class Snapshot(NamedTuple):
    """A whole configuration."""

    version: ConfigVersion
    deltas: tuple[Delta, ...]


class _Versioned(NamedTuple):
    version: ConfigVersion
    value: CatalogObject
    data: bytes


class Catalog:
    """
    Objects by kind and name; grows by deltas of ever larger versions.

    The same deltas give the same :meth:`state_hash` on every process.
    """

    def __init__(self) -> None:
        self.version: ConfigVersion = 0
        self._objects_by_key: dict[tuple[Kind, str], _Versioned] = {}
        self._accounts_by_key_hash: dict[str, Account] = {}

    def check(self, change: Change) -> Result[None, ChangeOutcome]:
        """Return what speaks against ``change``, if anything does."""
        present = self.object_version(change.kind, change.name)
        if change.expected_version != present:
            return Failure(
                ChangeOutcome(
                    ChangeStatus.CONFLICT,
                    present,
                    f"expected version {change.expected_version}, "
                    f"{change.kind} {change.name!r} is at {present}; read it again",
                )
            )
        if change.value is None:
            return Success(None)
        value = decode_object(change.kind, change.value)
        if not isinstance(value, Success):
            return Failure(
                ChangeOutcome(ChangeStatus.INVALID, present, value.failure())
            )
        if value.unwrap().name != change.name or not change.name:
            return Failure(
                ChangeOutcome(
                    ChangeStatus.INVALID,
                    present,
                    f"got name {value.unwrap().name!r}, expected {change.name!r}",
                )
            )
        return Success(None)

    def apply(self, delta: Delta) -> bool:
        """Take in a delta; an older or equal version changes nothing."""
        if delta.version <= self.version:
            return False
        self._put(delta)
        self.version = delta.version
        return True

    def restore(self, snapshot: Snapshot) -> bool:
        """Replace all by ``snapshot`` unless it is older than what is held."""
        if snapshot.version < self.version:
            return False
        self._objects_by_key.clear()
        self._accounts_by_key_hash.clear()
        for delta in snapshot.deltas:
            self._put(delta)
        self.version = snapshot.version
        return True

    def snapshot(self) -> Snapshot:
        deltas = (
            Delta(held.version, kind, name, held.data)
            for (kind, name), held in self._objects_by_key.items()
        )
        return Snapshot(self.version, tuple(sorted(deltas, key=lambda d: d.version)))

    def state_hash(self) -> str:
        """Return a hash of the version and all objects, in hex."""
        return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(self.snapshot()))

    def object_version(self, kind: Kind, name: str) -> ConfigVersion:
        """Return the version of an object; 0 when there is none."""
        held = self._objects_by_key.get((kind, name))
        return held.version if held else 0

    def get(self, kind: Kind, name: str) -> CatalogObject | None:
        held = self._objects_by_key.get((kind, name))
        return held.value if held else None

    def names(self, kind: Kind) -> list[str]:
        return sorted(name for held, name in self._objects_by_key if held == kind)

    def account(self, name: str) -> Account | None:
        return cast(Account | None, self.get("account", name))

    def model(self, name: str) -> Model | None:
        return cast(Model | None, self.get("model", name))

    def rank(self, name: str) -> Rank | None:
        return cast(Rank | None, self.get("rank", name))

    def service(self, name: str) -> Service | None:
        return cast(Service | None, self.get("service", name))

    def account_by_key_hash(self, key_hash: str) -> Account | None:
        return self._accounts_by_key_hash.get(key_hash)

    def _put(self, delta: Delta) -> None:
        key = (delta.kind, delta.name)
        held = self._objects_by_key.pop(key, None)
        if held is not None and isinstance(held.value, Account):
            self._forget_keys(held.value.key_hashes)
        if delta.value is None:
            return
        value = decode_object(delta.kind, delta.value).unwrap()
        self._objects_by_key[key] = _Versioned(delta.version, value, delta.value)
        if isinstance(value, Account):
            for key_hash in value.key_hashes:
                self._accounts_by_key_hash[key_hash] = value

    def _forget_keys(self, key_hashes: Iterable[str]) -> None:
        for key_hash in key_hashes:
            self._accounts_by_key_hash.pop(key_hash, None)


def encode_object(value: CatalogObject) -> bytes:
    return msgspec.msgpack.encode(value)


def decode_object(kind: Kind, data: bytes) -> Result[CatalogObject, str]:
    """Return the object of ``kind`` in ``data`` or what is wrong with it."""
    try:
        return Success(msgspec.msgpack.decode(data, type=OBJECT_TYPES_BY_KIND[kind]))
    except (KeyError, msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(f"not a {kind}: {error}")
