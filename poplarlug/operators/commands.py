"""All command groups of the operators' client."""

import os
from pathlib import Path
from typing import Any, cast, get_args

from returns.result import Failure

from poplarlug.keys import generate_caller_key, generate_key_files, hash_caller_key
from poplarlug.operators.control_commands import ControlCommands
from poplarlug.operators.object_commands import (
    AccountCommands,
    AdapterCommands,
    ModelCommands,
    PlacementCommands,
    RankCommands,
    RegionCommands,
    ServiceCommands,
)
from poplarlug.operators.order_commands import OrderCommands, UpstreamCommands
from poplarlug.operators.output import OutputFormat
from poplarlug.operators.routing_commands import RouteCommands, ZoneCommands
from poplarlug.operators.session import (
    CA_FILE_VARIABLE,
    EXIT_USAGE,
    KEY_FILE_VARIABLE,
    SERVERS_VARIABLE,
    Session,
    SessionOptions,
    fail,
    split,
)
from poplarlug.operators.status_commands import ConfigCommands, print_status
from poplarlug.operators.suspect_commands import SuspectCommands
from poplarlug.settings import load_settings
from poplarlug.topology import Topology


class KeyCommands:
    """Key files of processes and keys of callers and operators."""

    def generate(self, folder: str, names: Any = (), topology: str = "") -> None:
        """Write a key pair for each of NAMES and each VM of TOPOLOGY under FOLDER."""
        key_names = split(names)
        if topology:
            loaded = load_settings(Path(topology), Topology)
            if isinstance(loaded, Failure):
                fail(EXIT_USAGE, "\n".join(str(error) for error in loaded.failure()))
            key_names += tuple(loaded.unwrap().peer_addresses_by_name())
        if not key_names:
            fail(EXIT_USAGE, "set NAMES or --topology, a topology file")
        generate_key_files(Path(folder), key_names)
        print(f"{len(key_names)} key pairs below {folder}")

    def caller(self) -> None:
        """Print a new key and its hash, separated by a space."""
        key = generate_caller_key()
        print(key, hash_caller_key(key))


class Commands:
    """
    Operate a poplarlug deployment.

    Options before the command:

    --servers: gRPC addresses of the control replicas, separated by commas, or
    POPLARLUG_SERVERS. --key_file: file with the operator's key, or
    POPLARLUG_KEY_FILE. --ca_file: certificates to trust, for servers with TLS, or
    POPLARLUG_CA_FILE; --server_name: the name in their certificate. --output: table
    or json. --wait_seconds: maximum wait until a change is in force in all zones;
    the zones that were not reached are shown. --change_id: resend a change whose
    outcome is unknown; needs --expected_version.

    Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict with another change,
    4 no control replica reached, 5 outcome unknown.
    """

    def __init__(
        self,
        servers: Any = "",
        key_file: str = "",
        output: str = "table",
        ca_file: str = "",
        server_name: str = "",
        change_id: str = "",
        wait_seconds: float = 0.0,
    ) -> None:
        if output not in get_args(OutputFormat):
            fail(EXIT_USAGE, f"got --output={output}, expected table or json")
        addresses = split(servers) or split(os.environ.get(SERVERS_VARIABLE, ""))
        options = SessionOptions(
            servers=addresses,
            key_file=key_file or os.environ.get(KEY_FILE_VARIABLE, ""),
            output=cast(OutputFormat, output),
            ca_file=ca_file or os.environ.get(CA_FILE_VARIABLE, ""),
            server_name=server_name,
            change_id=str(change_id),
            wait_seconds=float(wait_seconds),
        )
        self._session = session = Session(options=options)
        self.account = AccountCommands(session, "account")
        self.model = ModelCommands(session, "model")
        self.adapter = AdapterCommands(session, "adapter")
        self.region = RegionCommands(session, "region")
        self.rank = RankCommands(session, "rank")
        self.service = ServiceCommands(session, "service")
        self.placement = PlacementCommands(session, "placement")
        self.upstream = UpstreamCommands(session)
        self.order = OrderCommands(session)
        self.config = ConfigCommands(session)
        self.control = ControlCommands(session)
        self.routes = RouteCommands(session)
        self.zones = ZoneCommands(session)
        self.suspects = SuspectCommands(session)
        self.keys = KeyCommands()

    def status(self) -> None:
        """Show each zone: entries, version in force, lag, upstreams, leader."""
        print_status(self._session)
