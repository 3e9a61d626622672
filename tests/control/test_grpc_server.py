"""Tests of the operators' gRPC server with TLS."""

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, cast
from unittest import TestCase

from returns.result import Failure, Result

from poplarlug.catalog import ChangeOutcome, Delta, Model
from poplarlug.catalog.catalog import encode_object
from poplarlug.control.control_group import ControlGroup
from poplarlug.control.grpc_server import TlsFiles, build_server
from poplarlug.control.operations import ControlServices
from poplarlug.control.replicated_log import LogEntry, ProposeError, ReplicatedLog
from poplarlug.control.state import ControlState
from poplarlug.keys import hash_caller_key
from poplarlug.operators.client import OperatorClient, TlsOptions
from poplarlug.schema import operators_pb2 as pb
from poplarlug.topology import Topology
from poplarlug.transport import MemoryNetwork, MemoryTransport

CERTIFICATES = Path(__file__).parent / "certificates"
KEY = "operator-key"
MODELS = 4500


class SingleReplicaLog(ReplicatedLog):
    """A log with a single replica, which commits immediately."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._log_index = 0

    @property
    def leader(self) -> str | None:
        return "control"

    @property
    def is_leader(self) -> bool:
        return True

    @property
    def is_current(self) -> bool:
        return True

    async def propose(self, command: bytes) -> Result[ChangeOutcome, ProposeError]:
        self._log_index += 1
        outcome = self._state.apply(LogEntry(1, self._log_index, command))
        return Result.from_value(outcome)

    async def run(self) -> None:
        await asyncio.get_running_loop().create_future()


def change_and_list(client: OperatorClient) -> list[Any]:
    """Return the results of a change and of a list call."""
    change = client.change("model", Model("corn"), expected_version=0)
    listed = client.call(lambda stub: stub.List, pb.ListRequest(kind="model"))
    return [change, listed]


class TlsTests(TestCase):
    def setUp(self) -> None:
        self.state = ControlState()

    def run_calls(
        self,
        tls: TlsOptions | None,
        calls: Callable[[OperatorClient], list[Any]] = change_and_list,
    ) -> list[Any]:
        """Return the result of ``calls`` with a client of a TLS server."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"

        def call() -> list[Any]:
            client = OperatorClient(
                servers=[address], key=KEY, tls=tls, resend_seconds=1.0
            )
            try:
                return calls(client)
            finally:
                client.close()

        async def main() -> list[Any]:
            state = self.state
            log = SingleReplicaLog(state=state)
            network = MemoryNetwork(rng=Random(1))
            services = ControlServices(
                log=log,
                state=state,
                topology=Topology("test", (), ()),
                transport=MemoryTransport(name="control", network=network),
                propose=log.propose,
                rng=Random(1),
                # These tests make no calls about the control group.
                group=cast(ControlGroup, None),
            )
            files = TlsFiles(
                str(CERTIFICATES / "server.crt"), str(CERTIFICATES / "server.key")
            )
            server = build_server(
                service=services.operator_service,
                address=address,
                key_hashes=[hash_caller_key(KEY)],
                tls=files,
            )
            await server.start()
            try:
                return await asyncio.to_thread(call)
            finally:
                await server.stop(0)

        return asyncio.run(main())

    def test_operator_who_trusts_the_certificate_is_served(self) -> None:
        """Changes and lists work over TLS."""
        trusted = TlsOptions(str(CERTIFICATES / "server.crt"), "control")
        change, listed = self.run_calls(trusted)
        assert isinstance(change, Result) and isinstance(listed, Result)
        self.assertEqual(change.unwrap().version, 1)
        self.assertEqual(listed.unwrap().objects[0].model.name, "corn")

    def test_long_lists_come_in_pages(self) -> None:
        """A client lists more objects than fit into one reply."""
        trusted = TlsOptions(str(CERTIFICATES / "server.crt"), "control")
        for number in range(MODELS):
            value = encode_object(Model(f"m{number:05d}"))
            delta = Delta(number + 1, "model", f"m{number:05d}", value)
            self.state.catalog.apply(delta)
        self.state.version.set(MODELS)

        def call(client: OperatorClient) -> list[object]:
            return [held.unwrap().model.name for held in client.list("model")]

        names = self.run_calls(trusted, call)
        self.assertEqual(names, [f"m{number:05d}" for number in range(MODELS)])

    def test_call_without_tls_is_refused(self) -> None:
        """A server with a certificate accepts no unencrypted calls."""
        change, _ = self.run_calls(None)
        assert isinstance(change, Failure)
        self.assertEqual(change.failure().code, "UNAVAILABLE")

    def test_wrong_name_in_the_certificate_is_refused(self) -> None:
        """A client rejects a server certificate with another name."""
        change, _ = self.run_calls(TlsOptions(str(CERTIFICATES / "server.crt"), "x"))
        assert isinstance(change, Failure)
        self.assertEqual(change.failure().code, "UNAVAILABLE")
