"""Test of a restart of all processes after hundreds of changes."""

from typing import Any

from examples.deployment import wait_until
from poplarlug.catalog import Account
from poplarlug.operators.client import OperatorClient
from poplarlug.schema import operators_pb2 as pb
from tests.processes.case import ProcessTestCase

CHANGES = 500


class RestartTests(ProcessTestCase):
    def test_same_state_everywhere_after_all_restart(self) -> None:
        """After 500 changes and a kill of all processes, state hashes are as before."""
        client = self.client()
        for number in range(CHANGES):
            account = Account(
                f"team-{number % 50}",
                "costa",
                ("costa", "austro"),
                models=("corn-7b",),
                profile=("cost", "urgent_tail")[number % 2],
            )
            self.change(client, account, delete=number % 50 == 7 and number > 50)
        accepted = self.wait_for_same_hash()
        self.kill_and_start_all()
        self.deployment.wait_ready()
        self.assertEqual(self.wait_for_same_hash(), accepted)

    def client(self, *servers: str) -> OperatorClient:
        listed = [vm.grpc for vm in self.deployment.topology.control]
        client = OperatorClient(
            servers=servers or listed, key=self.deployment.operator_key
        )
        self.addCleanup(client.close)
        return client

    def change(self, client: OperatorClient, account: Account, *, delete: bool) -> None:
        """Change or delete the account, expecting the version of its last change."""
        versions = self.__dict__.setdefault("versions", {})
        reply = client.change(
            "account",
            account,
            expected_version=versions.get(account.name, 0),
            delete=delete and versions.get(account.name, 0) > 0,
        ).unwrap()
        self.assertEqual(reply.status, pb.ChangeReply.ACCEPTED, reply.message)
        deleted = delete and versions.get(account.name, 0) > 0
        versions[account.name] = 0 if deleted else reply.version

    def wait_for_same_hash(self) -> tuple[int, str]:
        """Return version and state hash once all processes report the same."""
        replicas = [self.client(vm.grpc) for vm in self.deployment.topology.control]

        def same() -> Any:
            held = set()
            for replica in replicas:
                reply = replica.call(
                    lambda stub: stub.ConfigStatus, pb.ConfigStatusRequest()
                ).unwrap()
                held.add((reply.version, reply.state_hash))
                held |= {(vm.version, vm.state_hash) for vm in reply.vms}
                if not reply.vms:
                    return None
            return held if len(held) == 1 else None

        return wait_until(same, "the hashes differ").pop()
