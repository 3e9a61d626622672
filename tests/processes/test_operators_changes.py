"""Tests of concurrent, resent and unauthorized operators' changes."""

import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import grpc
from returns.result import Failure, Success

from examples.deployment import wait_until
from poplarlug.catalog import Model, Region
from poplarlug.operators.client import OperatorClient
from poplarlug.schema import operators_pb2 as pb
from poplarlug.schema.operators_pb2_grpc import OperatorsStub
from poplarlug.soak.proxy import LinkMode
from tests.processes.case import ProcessTestCase

OPERATORS = 20
ROUNDS = 5


class ChangeAttempt(NamedTuple):
    """One attempted change: the expected version and the reply."""

    expected_version: int
    status: int
    version: int


class OperatorChangeTests(ProcessTestCase):
    def client(self, index: int = 0, *, key: str | None = None) -> OperatorClient:
        """Return a client that calls the replica ``index`` first."""
        servers = [vm.grpc for vm in self.deployment.topology.control]
        client = OperatorClient(
            servers=servers[index % 3 :] + servers[: index % 3],
            key=key or self.deployment.operator_key,
        )
        self.addCleanup(client.close)
        return client

    def read(self, client: OperatorClient, kind: str, name: str) -> Any:
        request = pb.ListRequest(kind=kind, name=name)
        return client.call(lambda stub: stub.List, request).unwrap().objects[0]

    def test_one_of_concurrent_changes_is_accepted(self) -> None:
        """Of 20 concurrent changes to each version, exactly one is accepted."""
        clients = [self.client(index) for index in range(OPERATORS)]
        barrier = threading.Barrier(OPERATORS)
        first = clients[0].change("model", Model("raced"), expected_version=0)
        version = first.unwrap().version

        def run(index: int) -> list[ChangeAttempt]:
            known, history = version, []
            for turn in range(ROUNDS):
                barrier.wait(60)
                value = Model("raced", version=f"{index}-{turn}")
                reply = (
                    clients[index]
                    .change("model", value, expected_version=known)
                    .unwrap()
                )
                history.append(ChangeAttempt(known, reply.status, reply.version))
                barrier.wait(60)
                known = self.read(clients[index], "model", "raced").version
            return history

        with ThreadPoolExecutor(OPERATORS) as pool:
            histories = list(pool.map(run, range(OPERATORS)))
        attempts = [line for history in histories for line in history]
        won = [line for line in attempts if line.status == pb.ChangeReply.ACCEPTED]
        lost = [line for line in attempts if line.status == pb.ChangeReply.CONFLICT]
        self.assertEqual(len(won) + len(lost), OPERATORS * ROUNDS)
        successes = Counter(line.expected_version for line in won)
        self.assertEqual(set(successes.values()), {1}, successes)
        self.assertEqual(len(successes), ROUNDS)
        winners = {line.expected_version: line.version for line in won}
        for line in lost:
            self.assertEqual(line.version, winners[line.expected_version])

    def test_cut_off_replica_does_not_list_what_may_be_old(self) -> None:
        """A replica cut off from the leader fails reads, unless they may be stale."""
        writer = self.client()
        leader = (
            writer.call(lambda stub: stub.ConfigStatus, pb.ConfigStatusRequest())
            .unwrap()
            .leader
        )
        cut = next(vm for vm in self.deployment.topology.control if vm.name != leader)
        reader = OperatorClient(
            servers=[cut.grpc], key=self.deployment.operator_key, resend_seconds=0.0
        )
        self.addCleanup(reader.close)
        first = writer.change("model", Model("linear"), expected_version=0).unwrap()
        self.assertEqual(self.read(reader, "model", "linear").version, first.version)
        self.addCleanup(self.proxy.heal)
        self.proxy.isolate(cut.name)
        changed = Model("linear", version="2")
        second = writer.change("model", changed, expected_version=first.version)
        self.assertEqual(second.unwrap().status, pb.ChangeReply.ACCEPTED)
        request = pb.ListRequest(kind="model", name="linear")
        read = reader.call(lambda stub: stub.List, request)
        assert isinstance(read, Failure)
        self.assertEqual(read.failure().code, "UNAVAILABLE")
        request.may_be_old = True
        old = reader.call(lambda stub: stub.List, request).unwrap()
        self.assertEqual(old.objects[0].version, first.version)
        self.proxy.heal()
        request.may_be_old = False
        wait_until(
            lambda: (
                isinstance(r := reader.call(lambda stub: stub.List, request), Success)
                and r.unwrap().objects[0].version == second.unwrap().version
            ),
            "the replica does not catch up",
        )

    def test_lost_answer_and_resend_apply_once(self) -> None:
        """A change whose reply was lost returns its first outcome when resent."""
        vm = self.deployment.topology.control[0]
        address = self.proxy.link("operator", vm.name, vm.grpc)
        lossy = OperatorClient(servers=[address], key=self.deployment.operator_key)
        self.addCleanup(lossy.close)
        created = lossy.change("region", Region("lost"), expected_version=0)
        version = created.unwrap().version
        self.set_operator_link(LinkMode.LOSE_BACK)
        outcome: list[Any] = []
        change = threading.Thread(
            target=lambda: outcome.append(
                lossy.change(
                    "region",
                    Region("lost", ("z",)),
                    expected_version=version,
                    change_id="lost-answer",
                )
            )
        )
        change.start()
        direct = self.client()
        changed = wait_until(
            lambda: (m := self.read(direct, "region", "lost")).version > version and m,
            "the change did not come through",
        )
        self.set_operator_link(LinkMode.PASS)
        change.join(60)
        self.assertEqual(outcome[0].unwrap().status, pb.ChangeReply.ACCEPTED)
        self.assertEqual(outcome[0].unwrap().version, changed.version)
        for resender in (self.client(0), self.client(1), self.client(2)):
            again = resender.change(
                "region",
                Region("lost", ("z",)),
                expected_version=version,
                change_id="lost-answer",
            )
            self.assertEqual(again.unwrap().version, changed.version)
        self.assertEqual(self.read(direct, "region", "lost").version, changed.version)

    def test_used_id_with_other_content_is_refused(self) -> None:
        """A change id can't be used for two changes."""
        client = self.client()
        client.change("model", Model("one"), expected_version=0, change_id="used")
        reply = client.change(
            "model", Model("two"), expected_version=0, change_id="used"
        ).unwrap()
        self.assertEqual(reply.status, pb.ChangeReply.INVALID)
        self.assertIn("used before", reply.message)

    def test_wrong_operator_key_is_refused(self) -> None:
        """Every method refuses a call without an operator's key."""
        calls: list[tuple[Callable[[Any], Any], Any]] = [
            (lambda stub: stub.Change, pb.ChangeRequest()),
            (lambda stub: stub.List, pb.ListRequest(kind="account")),
            (lambda stub: stub.ConfigStatus, pb.ConfigStatusRequest()),
            (lambda stub: stub.Order, pb.OrderRequest()),
            (lambda stub: stub.Upstreams, pb.UpstreamsRequest()),
        ]
        wrong = self.client(key="wrong")
        for method, request in calls:
            result = wrong.call(method, request)
            assert isinstance(result, Failure)
            self.assertEqual(result.failure().code, "UNAUTHENTICATED")
        server = self.deployment.topology.control[0].grpc
        with (
            grpc.insecure_channel(server) as channel,
            self.assertRaises(grpc.RpcError) as caught,
        ):
            OperatorsStub(channel).List(pb.ListRequest(kind="account"), timeout=10)
        self.assertIs(caught.exception.code(), grpc.StatusCode.UNAUTHENTICATED)

    def test_command_line_covers_the_operations(self) -> None:
        """Each command group works, with exit codes that scripts can use."""
        operate = self.deployment.operate
        account = operate("account", "add-key", "verde")[0]
        self.assertEqual(len(operate("account", "show", "verde")[0]["key_hashes"]), 2)
        self.assertEqual(
            self.wait_for_key(account["key"]), 200, "the new key is not in force"
        )
        hashes = operate("account", "show", "verde")[0]["key_hashes"]
        operate("account", "remove-key", "verde", hashes[1])
        self.assertEqual(
            operate("account", "show", "verde")[0]["key_hashes"], hashes[:1]
        )
        waited = operate("--wait_seconds=20", "model", "put", "waited")[0]
        self.assertEqual(len(waited["in_force"]), 3, waited)
        operate("placement", "put", "quito-a", "waited", "--upstreams=0")
        self.assertEqual(operate("placement", "list")[0]["name"], "quito-a/waited")
        self.assertEqual(operate("upstream", "list"), [])
        zones = operate("status")
        self.assertEqual({row["leader"] != "" for row in zones}, {True})
        self.assertEqual(len(operate("config", "status")), 4)
        conflict = ("model", "put", "waited", "--expected_version=1")
        self.assertEqual(operate(*conflict, check=False), 3)
        self.assertEqual(operate("model", "delete", "waited", check=False), 1)
        self.assertEqual(operate("--output=xml", "model", "list", check=False), 2)
        self.assertEqual(operate("model", "put", check=False), 2)

    def set_operator_link(self, mode: LinkMode) -> None:
        self.proxy.set_mode(mode, matching=lambda source, target: source == "operator")

    def wait_for_key(self, key: str) -> int:
        def ask() -> int:
            status = self.call("cuenca-a-1", "/v1/models", key=key).status
            return status if status != 401 else 0

        return wait_until(ask, "the key is unknown")
