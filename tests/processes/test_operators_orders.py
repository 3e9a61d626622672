"""Tests of orders and placements with real engines."""

import json
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, ClassVar

from examples.deployment import wait_until
from poplarlug.operators.client import OperatorClient
from poplarlug.schema import operators_pb2 as pb
from poplarlug.soak.proxy import LinkMode
from tests.processes.case import ProcessTestCase


class OrderTests(ProcessTestCase):
    ledgers_by_name: ClassVar[dict[str, Path]]

    @classmethod
    def start_upstreams(cls) -> None:
        cls.ledgers_by_name = {}
        for name, zone, checks in (
            ("e1", "quito-a", "True"),
            ("e2", "cuenca-a", "False"),
        ):
            ledger = cls.deployment.folder / f"{name}.orders"
            cls.ledgers_by_name[name] = ledger
            cls.deployment.start_engine(
                name,
                zone,
                "corn-7b",
                f"--checks_fencing={checks}",
                f"--order_ledger={ledger}",
            )

    def setUp(self) -> None:
        self.addCleanup(self.proxy.heal)
        wait_until(
            lambda: len(self.deployment.operate("upstream", "list")) == 2,
            "the engines are not listed",
        )

    def carried_out(self, name: str) -> list[dict[str, Any]]:
        """Return the orders that an engine executed, according to its ledger."""
        ledger = self.ledgers_by_name[name]
        lines = ledger.read_text().splitlines() if ledger.exists() else []
        return [json.loads(line) for line in lines]

    def models(self, name: str) -> list[str]:
        rows = self.deployment.operate("upstream", "list")
        return next((row["models"] for row in rows if row["id"] == name), [])

    def test_orders_run_once_with_growing_numbers(self) -> None:
        """A resent order runs once; fencing numbers increase with each order."""
        load = ("order", "load", "quito-a", "e1", "secret-7b", "--order_id=o1")
        first = self.deployment.operate(*load)[0]
        again = self.deployment.operate(*load)[0]
        self.assertEqual(first["fencing_number"], again["fencing_number"])
        self.deployment.operate("order", "role", "quito-a", "e1", "decode")
        self.deployment.operate("order", "unload", "quito-a", "e1", "secret-7b")
        orders = self.carried_out("e1")[-3:]
        self.assertEqual([o["action"] for o in orders], ["load", "role", "unload"])
        numbers = [tuple(o["fencing"]) for o in orders]
        self.assertEqual(numbers, sorted(set(numbers)))

    def test_old_number_is_refused_by_an_engine_that_checks(self) -> None:
        """A former leader's order is refused by an engine that checks numbers."""
        self.deployment.operate("order", "role", "quito-a", "e1", "decode")
        self.deployment.operate("order", "role", "cuenca-a", "e2", "decode")
        self.assertEqual(self.send_old_order("e1"), 409)
        self.assertEqual(self.send_old_order("e2"), 200)

    def send_old_order(self, name: str) -> int:
        rows = self.deployment.operate("upstream", "list")
        address = next(row["address"] for row in rows if row["id"] == name)
        body = {"order_id": "old", "action": "role", "fencing": [0, 1]}
        request = urllib.request.Request(
            f"http://{address}/orders", data=json.dumps(body).encode()
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status
        except urllib.error.HTTPError as error:
            return error.code

    def test_used_id_with_another_order_is_refused(self) -> None:
        """An order id can't be used for two orders; the second one isn't sent."""
        client = OperatorClient(
            servers=[vm.grpc for vm in self.deployment.topology.control],
            key=self.deployment.operator_key,
        )
        self.addCleanup(client.close)
        request = pb.OrderRequest(
            order_id="o2", upstream_id="e1", zone="quito-a", action="role", argument="a"
        )
        self.assertEqual(client.order(request).unwrap().status, pb.OrderReply.DONE)
        request.argument = "b"
        self.assertEqual(client.order(request).unwrap().status, pb.OrderReply.REFUSED)
        arguments = [o["argument"] for o in self.carried_out("e1")]
        self.assertNotIn("b", arguments)

    def test_placement_is_reconciled_and_a_cut_leaves_serving_alone(self) -> None:
        """Loaded models follow the placement; a cut-off zone keeps its models."""
        operate = self.deployment.operate
        operate("placement", "put", "cuenca-a", "secret-7b")
        wait_until(
            lambda: "secret-7b" in self.models("e2"), "the placement is not reached"
        )
        inside = ("cuenca-a-1", "control-cuenca-a")
        self.proxy.isolate(*inside, mode=LinkMode.SILENT)
        before = len(self.carried_out("e2"))
        operate("placement", "put", "cuenca-a", "secret-7b", "--upstreams=0")
        self.assertEqual(self.chat("cuenca-a-1", "still here").status, 200)
        self.assertEqual(len(self.carried_out("e2")), before)
        self.proxy.heal()
        wait_until(
            lambda: "secret-7b" not in self.models("e2"), "the surplus is not unloaded"
        )
        self.assertEqual(self.chat("cuenca-a-1", "and still").status, 200)
