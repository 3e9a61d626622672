"""Commands for the objects of the configuration, one group per kind."""

import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Any, cast

from returns.result import Failure

from poplarlug.catalog import (
    Account,
    Adapter,
    CatalogObject,
    Kind,
    Model,
    Placement,
    Rank,
    Region,
    Service,
)
from poplarlug.control.conversion import from_message
from poplarlug.keys import generate_caller_key, hash_caller_key
from poplarlug.operators.client import RETRYABLE_STATUSES
from poplarlug.operators.output import print_rows
from poplarlug.operators.session import (
    EXIT_CONFLICT,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Session,
    fail,
    split,
    unwrap_or_exit,
)
from poplarlug.schema import operators_pb2 as pb


class ObjectCommands:
    """List, show and delete the objects of one kind."""

    def __init__(self, session: Session, kind: Kind) -> None:
        self._session = session
        self._kind = kind

    def list(self) -> None:
        """List all objects of this kind with their versions."""
        messages = self._session.client().list(self._kind)
        self._print([unwrap_or_exit(message) for message in messages])

    def show(self, name: str) -> None:
        """Show one object with its version."""
        message = self._read(str(name))
        if message is None:
            fail(EXIT_REFUSED, f"no {self._kind} is named {str(name)!r}")
        self._print([message])

    def delete(self, name: str, expected_version: int = -1) -> None:
        """Delete an object; fails if it changed since EXPECTED_VERSION."""
        message = self._read(str(name))
        if message is None:
            fail(EXIT_REFUSED, f"no {self._kind} is named {str(name)!r}")
        version = message.version if expected_version < 0 else expected_version
        self._change(_to_object(message), version, delete=True)

    def _put(self, value: CatalogObject, expected_version: int) -> None:
        if expected_version < 0:
            self._check_no_change_id()
            message = self._read(value.name)
            expected_version = message.version if message is not None else 0
        self._change(value, expected_version, delete=False)

    def _check_no_change_id(self) -> None:
        if self._session.options.change_id:
            fail(
                EXIT_USAGE, "--change_id needs the --expected_version of the first try"
            )

    def _read(self, name: str) -> Any:
        request = pb.ListRequest(kind=self._kind, name=name)
        reply = self._session.call(lambda stub: stub.List, request)
        return reply.objects[0] if reply.objects else None

    def _print(self, messages: Sequence[Any]) -> None:
        rows = [
            {**_to_object(message)._asdict(), "version": message.version}
            for message in messages
        ]
        print_rows(rows, self._session.options.output)

    def _change(
        self,
        value: CatalogObject,
        version: int,
        *,
        delete: bool,
        extra_columns: Mapping[str, Any] | None = None,
    ) -> None:
        options = self._session.options
        change_id = options.change_id or uuid.uuid4().hex
        resend = f"resend with --change_id={change_id} --expected_version={version}"
        result = self._session.client().change(
            self._kind,
            value,
            expected_version=version,
            delete=delete,
            change_id=change_id,
            wait_seconds=options.wait_seconds,
        )
        if isinstance(result, Failure) and result.failure().code in RETRYABLE_STATUSES:
            fail(EXIT_UNREACHABLE, f"{result.failure().message}; {resend}")
        reply = unwrap_or_exit(result)
        if reply.status == pb.ChangeReply.CONFLICT:
            fail(EXIT_CONFLICT, reply.message)
        if reply.status == pb.ChangeReply.UNKNOWN:
            fail(EXIT_UNKNOWN, f"{reply.message}; {resend}")
        if reply.status != pb.ChangeReply.ACCEPTED:
            fail(EXIT_REFUSED, reply.message)
        row = {"name": value.name, "status": "accepted", "version": reply.version}
        row.update(extra_columns or {})
        if options.wait_seconds > 0:
            row["in_force"] = tuple(reply.zones_in_force)
            row["zones_not_reached"] = tuple(reply.zones_not_reached)
            row["vms_not_reached"] = tuple(reply.vms_not_reached)
        print_rows([row], options.output)


class AccountCommands(ObjectCommands):
    """Accounts with their regions, models and callers' keys."""

    def put(
        self,
        name: str,
        home_region: str,
        regions: Any,
        models: Any = (),
        adapters: Any = (),
        services: Any = (),
        key_hashes: Any = (),
        profile: str = "cost",
        expected_version: int = -1,
    ) -> None:
        """Create or replace an account; lists are comma-separated."""
        account = Account(
            name=str(name),
            home_region=home_region,
            regions=split(regions),
            models=split(models),
            adapters=split(adapters),
            services=split(services),
            key_hashes=split(key_hashes),
            profile=cast(Any, profile),
        )
        self._put(account, expected_version)

    def add_key(self, name: str, key_hash: str = "") -> None:
        """
        Add a key to an account; generates and prints one unless KEY_HASH is given.

        Callers send the key as 'Authorization: Bearer KEY'. Only its SHA-256
        hash is stored, so note the key down.
        """
        key = "" if key_hash else generate_caller_key()
        added = str(key_hash) or hash_caller_key(key)
        extra_columns = {"key": key} if key else {}
        self._change_keys(
            str(name), lambda key_hashes: (*key_hashes, added), extra_columns
        )

    def remove_key(self, name: str, key_hash: str) -> None:
        """Remove a key from an account; 'account show' lists the values of KEY_HASH."""
        removed = str(key_hash)

        def without_removed(key_hashes: tuple[str, ...]) -> tuple[str, ...]:
            if removed not in key_hashes:
                fail(EXIT_REFUSED, f"account {name!r} has no key hash {removed!r}")
            return tuple(item for item in key_hashes if item != removed)

        self._change_keys(str(name), without_removed, {})

    def _change_keys(
        self,
        name: str,
        change: Callable[[tuple[str, ...]], tuple[str, ...]],
        extra_columns: dict[str, Any],
    ) -> None:
        self._check_no_change_id()
        message = self._read(name)
        if message is None:
            fail(EXIT_REFUSED, f"no account is named {name!r}")
        account = cast(Account, _to_object(message))
        changed = account._replace(key_hashes=change(account.key_hashes))
        self._change(
            changed, message.version, delete=False, extra_columns=extra_columns
        )


class ModelCommands(ObjectCommands):
    """Models by name and version."""

    def put(
        self,
        name: str,
        version: str = "1",
        max_tokens: int = 4096,
        expected_version: int = -1,
    ) -> None:
        """Create or replace a model."""
        self._put(Model(str(name), str(version), max_tokens), expected_version)


class AdapterCommands(ObjectCommands):
    """Adapters of models."""

    def put(
        self, name: str, model: str, version: str = "1", expected_version: int = -1
    ) -> None:
        """Create or replace an adapter."""
        self._put(Adapter(str(name), model, str(version)), expected_version)


class RegionCommands(ObjectCommands):
    """Regions and their availability zones."""

    def put(self, name: str, zones: Any = (), expected_version: int = -1) -> None:
        """Create or replace a region."""
        self._put(Region(str(name), split(zones)), expected_version)


class RankCommands(ObjectCommands):
    """Ranks of requests and their targets."""

    def put(
        self,
        name: str,
        priority: int = 1,
        first_token_target_seconds: float = 1.9,
        target_seconds: float = 60.0,
        floor_share: float = 0.0,
        objective: float = 0.99,
        expected_version: int = -1,
    ) -> None:
        """Create or replace a rank."""
        rank = Rank(
            name=str(name),
            priority=priority,
            first_token_target_seconds=float(first_token_target_seconds),
            target_seconds=float(target_seconds),
            floor_share=float(floor_share),
            objective=float(objective),
        )
        self._put(rank, expected_version)


class ServiceCommands(ObjectCommands):
    """Plain services and their calls that must not be repeated."""

    def put(
        self, name: str, non_repeatable: Any = (), expected_version: int = -1
    ) -> None:
        """Create or replace a service; NON_REPEATABLE as 'POST /bookings'."""
        self._put(Service(str(name), split(non_repeatable)), expected_version)


class PlacementCommands(ObjectCommands):
    """How many upstreams of a zone should have a model loaded."""

    def put(
        self, zone: str, model: str, upstreams: int = 1, expected_version: int = -1
    ) -> None:
        """Create or replace the placement of a model in a zone."""
        placement = Placement(f"{zone}/{model}", zone, model, upstreams)
        self._put(placement, expected_version)


def _to_object(message: Any) -> CatalogObject:
    parsed = from_message(message)
    assert parsed is not None
    return parsed[1]
