"""Commands of the operators' client, one group a kind of object."""

import os
import sys
from pathlib import Path
from typing import Any, NoReturn, cast

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
from poplarlug.keys import generate_caller_key, generate_key_files, hash_caller_key
from poplarlug.operators.client import ClientError, OperatorClient
from poplarlug.operators.output import OutputFormat, print_rows
from poplarlug.schema import operators_pb2 as pb

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4

SERVERS_VARIABLE = "POPLARLUG_SERVERS"
KEY_FILE_VARIABLE = "POPLARLUG_KEY_FILE"


class Session:
    """Servers, key and output format of one run of the client."""

    def __init__(self, *, servers: str, key_file: str, output: OutputFormat) -> None:
        self.output = output
        self._servers = servers
        self._key_file = key_file

    def client(self) -> OperatorClient:
        servers = [part for part in _split(self._servers) if part]
        if not servers or not self._key_file:
            fail(
                EXIT_USAGE,
                f"set --servers and --key_file, or {SERVERS_VARIABLE} and "
                f"{KEY_FILE_VARIABLE}",
            )
        key = Path(self._key_file).read_text().strip()
        return OperatorClient(servers=servers, key=key)


class ObjectCommands:
    """List, show and delete the objects of one kind."""

    def __init__(self, session: Session, kind: Kind) -> None:
        self._session = session
        self._kind = kind

    def list(self) -> None:
        """List all objects of this kind."""
        self._print(pb.ListRequest(kind=self._kind))

    def show(self, name: str) -> None:
        """Show one object with its version."""
        self._print(pb.ListRequest(kind=self._kind, name=str(name)))

    def delete(self, name: str, expected_version: int = -1) -> None:
        """Delete an object; fails when it changed since EXPECTED_VERSION."""
        message = self._read(str(name))
        if message is None:
            fail(EXIT_REFUSED, f"no {self._kind} is named {name!r}")
        parsed = from_message(message)
        assert parsed is not None
        version = message.version if expected_version < 0 else expected_version
        self._change(parsed[1], version, delete=True)

    def _put(self, value: CatalogObject, expected_version: int) -> None:
        if expected_version < 0:
            message = self._read(value.name)
            expected_version = message.version if message is not None else 0
        self._change(value, expected_version, delete=False)

    def _read(self, name: str) -> Any:
        request = pb.ListRequest(kind=self._kind, name=name)
        reply = self._call(lambda stub: stub.List, request)
        return reply.objects[0] if reply.objects else None

    def _print(self, request: Any) -> None:
        reply = self._call(lambda stub: stub.List, request)
        rows = []
        for message in reply.objects:
            parsed = from_message(message)
            assert parsed is not None
            rows.append({**parsed[1]._asdict(), "version": message.version})
        print_rows(rows, self._session.output)

    def _change(self, value: CatalogObject, version: int, *, delete: bool) -> None:
        result = self._session.client().change(
            self._kind, value, expected_version=version, delete=delete
        )
        if isinstance(result, Failure):
            fail_with(result.failure())
        reply = result.unwrap()
        status = pb.ChangeReply.Status.Name(reply.status).lower()
        row = {"name": value.name, "status": status, "version": reply.version}
        print_rows([row], self._session.output)
        if reply.status == pb.ChangeReply.CONFLICT:
            fail(EXIT_CONFLICT, reply.message)
        if reply.status != pb.ChangeReply.ACCEPTED:
            fail(EXIT_REFUSED, reply.message)

    def _call(self, method: Any, request: Any) -> Any:
        result = self._session.client().call(method, request)
        if isinstance(result, Failure):
            fail_with(result.failure())
        return result.unwrap()


class AccountCommands(ObjectCommands):
    """Accounts: regions, models and callers' keys."""

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
        """Create or replace an account; lists are separated by commas."""
        account = Account(
            name=str(name),
            home_region=home_region,
            regions=_split(regions),
            models=_split(models),
            adapters=_split(adapters),
            services=_split(services),
            key_hashes=_split(key_hashes),
            profile=cast(Any, profile),
        )
        self._put(account, expected_version)


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
        self._put(Region(str(name), _split(zones)), expected_version)


class RankCommands(ObjectCommands):
    """Ranks of work and their targets."""

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
    """Plain services and their calls that must not repeat."""

    def put(
        self, name: str, non_repeatable: Any = (), expected_version: int = -1
    ) -> None:
        """Create or replace a service; NON_REPEATABLE as 'POST /bookings'."""
        self._put(Service(str(name), _split(non_repeatable)), expected_version)


class PlacementCommands(ObjectCommands):
    """How many upstreams of a zone shall hold a model."""

    def put(
        self, zone: str, model: str, upstreams: int = 1, expected_version: int = -1
    ) -> None:
        """Create or replace the placement of a model in a zone."""
        placement = Placement(f"{zone}/{model}", zone, model, upstreams)
        self._put(placement, expected_version)


class ConfigCommands:
    """The configuration as a whole."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def status(self) -> None:
        """Show the version in force on each VM."""
        result = self._session.client().call(
            lambda stub: stub.ConfigStatus, pb.ConfigStatusRequest()
        )
        if isinstance(result, Failure):
            fail_with(result.failure())
        reply = result.unwrap()
        rows: list[dict[str, Any]] = [
            {"vm": "(accepted)", "region": "", "zone": "", "version": reply.version}
        ]
        for vm in reply.vms:
            rows.append(
                {
                    "vm": vm.vm,
                    "region": vm.region,
                    "zone": vm.zone,
                    "version": vm.version,
                }
            )
        print_rows(rows, self._session.output)


class KeyCommands:
    """Key files of processes and keys of callers and operators."""

    def generate(self, folder: str, names: Any) -> None:
        """Write a key pair for each of NAMES below FOLDER."""
        generate_key_files(Path(folder), _split(names))

    def caller(self) -> None:
        """Print a new key and its hash, separated by a space."""
        key = generate_caller_key()
        print(key, hash_caller_key(key))


class Commands:
    """
    Operate a poplarlug deployment.

    Servers and key come from --servers and --key_file, or from the variables
    POPLARLUG_SERVERS (gRPC addresses, separated by commas) and
    POPLARLUG_KEY_FILE. Exit codes: 0 done, 1 refused, 2 wrong usage,
    3 conflict with another change, 4 no control replica reached.
    """

    def __init__(
        self, servers: Any = "", key_file: str = "", output: str = "table"
    ) -> None:
        session = Session(
            servers=",".join(_split(servers)) or os.environ.get(SERVERS_VARIABLE, ""),
            key_file=key_file or os.environ.get(KEY_FILE_VARIABLE, ""),
            output=cast(OutputFormat, output),
        )
        self.account = AccountCommands(session, "account")
        self.model = ModelCommands(session, "model")
        self.adapter = AdapterCommands(session, "adapter")
        self.region = RegionCommands(session, "region")
        self.rank = RankCommands(session, "rank")
        self.service = ServiceCommands(session, "service")
        self.placement = PlacementCommands(session, "placement")
        self.config = ConfigCommands(session)
        self.keys = KeyCommands()


def fail(code: int, message: str) -> NoReturn:
    """Print ``message`` to standard error and exit with ``code``."""
    print(message, file=sys.stderr)
    raise SystemExit(code)


def fail_with(error: ClientError) -> NoReturn:
    code = EXIT_UNREACHABLE if error.code == "UNAVAILABLE" else EXIT_REFUSED
    fail(code, f"{error.code}: {error.message}")


def _split(value: Any) -> tuple[str, ...]:
    if isinstance(value, list | tuple):
        return tuple(str(item) for item in value)
    return tuple(part for part in str(value).split(",") if part)
