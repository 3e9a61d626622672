"""Base class of the tests that inject faults into control replicas."""

import shutil
import tempfile
import threading
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, ClassVar
from unittest import TestCase

import grpc
from returns.result import Failure

from examples.deployment import Deployment, wait_until
from poplarlug.catalog import Region
from poplarlug.operators.client import OperatorClient
from poplarlug.schema import operators_pb2 as pb
from poplarlug.schema.operators_pb2_grpc import OperatorsStub
from poplarlug.soak.proxy import FaultProxy
from poplarlug.topology import ControlVm

CALL_SECONDS = 5.0
WRITERS = 8


class ControlTestCase(TestCase):
    """Control replicas behind a fault-injecting proxy; no entries run."""

    deployment: ClassVar[Deployment]
    proxy: ClassVar[FaultProxy]

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.proxy = FaultProxy()
        cls.addClassCleanup(cls.proxy.close)
        cls.deployment = Deployment(
            folder=Path(folder.name), entries_per_zone=1, link=cls.proxy.link
        )
        cls.addClassCleanup(cls.deployment.close)
        cls.vms = cls.deployment.topology.control
        cls.names = [vm.name for vm in cls.vms]
        cls.channels_by_name = {
            vm.name: grpc.insecure_channel(vm.grpc) for vm in cls.vms
        }
        for channel in cls.channels_by_name.values():
            cls.addClassCleanup(channel.close)
        cls.deployment.start_control()
        wait_until(cls.is_healthy, "the group is not whole")

    def setUp(self) -> None:
        self.accepted_versions: dict[str, int] = {}
        self.change(self._testMethodName)

    @classmethod
    def call_replica(cls, name: str, method: str, request: Any) -> Any:
        """Return one replica's own reply, ``None`` if the call fails."""
        stub = OperatorsStub(cls.channels_by_name[name])
        key = cls.deployment.operator_key
        try:
            return getattr(stub, method)(
                request,
                metadata=(("authorization", f"Bearer {key}"),),
                timeout=CALL_SECONDS,
            )
        except grpc.RpcError:
            return None

    @classmethod
    def replicas(cls, name: str) -> dict[str, Any]:
        """Return the states of all replicas as ``name`` sees them."""
        reply = cls.call_replica(name, "ControlStatus", pb.ControlStatusRequest())
        return {state.name: state for state in reply.replicas} if reply else {}

    @classmethod
    def leader(cls, names: Sequence[str] = ()) -> str | None:
        """Return which of ``names`` reports itself as leader."""
        for name in names or cls.names:
            own = cls.replicas(name).get(name)
            if own is not None and own.role == "leader":
                return name
        return None

    @classmethod
    def is_healthy(cls) -> bool:
        """Return whether there is a leader and all replicas are reachable voters."""
        leader = cls.leader()
        if leader is None:
            return False
        states = cls.replicas(leader).values()
        return len(states) == len(cls.names) and all(
            state.membership == "voter" and state.role != "unreachable"
            for state in states
        )

    def vm(self, name: str) -> ControlVm:
        vm = self.deployment.topology.control_vm(name)
        assert vm is not None
        return vm

    def client(self, names: Sequence[str] = ()) -> OperatorClient:
        """Return a client of ``names``, or of all replicas."""
        servers = [self.vm(name).grpc for name in names or self.names]
        client = OperatorClient(servers=servers, key=self.deployment.operator_key)
        self.addCleanup(client.close)
        return client

    def change(self, name: str, *, client: OperatorClient | None = None) -> None:
        """Create the region ``name`` and record its version."""
        client = client or self.client()
        result = client.change("region", Region(name), expected_version=0)
        if isinstance(result, Failure):
            raise AssertionError(f"{name}: {result.failure()}")
        reply = result.unwrap()
        self.assertEqual(reply.status, pb.ChangeReply.ACCEPTED, (name, reply))
        self.accepted_versions[name] = reply.version

    def start_changes(self, prefix: str, count: int) -> Callable[[], None]:
        """Make ``count`` changes in threads; return a function that waits for them."""
        errors: list[BaseException] = []

        def write(writer: int) -> None:
            try:
                client = self.client(self.names[writer % 3 :] + self.names)
                for number in range(writer, count, WRITERS):
                    self.change(f"{prefix}-{number}", client=client)
            except BaseException as error:
                errors.append(error)

        threads = [threading.Thread(target=write, args=(w,)) for w in range(WRITERS)]
        for thread in threads:
            thread.start()

        def join() -> None:
            for thread in threads:
                thread.join()
            if errors:
                raise errors[0]

        return join

    def wait_until_healthy(self) -> None:
        wait_until(self.is_healthy, "the group is not whole")

    def region_versions(self, name: str) -> dict[str, int] | None:
        """Return the versions of all regions at one replica."""
        request = pb.ListRequest(kind="region", may_be_old=True)
        reply = self.call_replica(name, "List", request)
        if reply is None:
            return None
        return {message.region.name: message.version for message in reply.objects}

    def check_accepted(self, names: Sequence[str] = ()) -> None:
        """Check that each replica has each accepted change once, and the same state."""
        for name in names or self.names:

            def has_all(name: str = name) -> bool:
                region_versions = self.region_versions(name)
                return (
                    region_versions is not None
                    and self.accepted_versions.keys() <= region_versions.keys()
                )

            wait_until(has_all, f"{name} lacks accepted changes")
            region_versions = self.region_versions(name) or {}
            own = {region: region_versions[region] for region in self.accepted_versions}
            self.assertEqual(own, self.accepted_versions)
        hashes = {self.state_hash(name) for name in names or self.names}
        self.assertEqual(len(hashes), 1, hashes)

    def state_hash(self, name: str) -> str:
        reply = self.call_replica(name, "ConfigStatus", pb.ConfigStatusRequest())
        assert reply is not None, name
        return f"{reply.version} {reply.state_hash}"

    def data_folder(self, name: str) -> Path:
        return self.deployment.folder / "data" / name

    def wipe(self, name: str) -> None:
        """Delete the data of a stopped replica."""
        shutil.rmtree(self.data_folder(name))

    def others(self, *names: str) -> list[str]:
        return [name for name in self.names if name not in names]
