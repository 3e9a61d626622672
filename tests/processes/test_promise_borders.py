"""Tests that requests stay in their regions and are forwarded at most once."""

from examples.deployment import wait_until
from poplarlug.fakes.ledger import read_ledger
from poplarlug.keys import generate_caller_key
from tests.processes.case import Answer, ProcessTestCase
from tests.processes.rogue import forward_as, make_forwarded_request
from tests.processes.workload import CallerAccount, put_account

BOUND = CallerAccount("bound", generate_caller_key(), "sierra-norte", ("sierra-norte",))
SENDS = 20


class RegionBoundaryTests(ProcessTestCase):
    """Quito has no engine of corn-7b; Cuenca and Guayaquil have one each."""

    @classmethod
    def start_upstreams(cls) -> None:
        cls.deployment.start_engine("e-quito", "quito-a", "rare-7b")
        cls.deployment.start_engine("e-cuenca", "cuenca-a", "corn-7b")
        cls.deployment.start_engine("e-guayaquil", "guayaquil-a", "corn-7b")

    def setUp(self) -> None:
        put_account(self.deployment, BOUND)
        for vm in self.deployment.topology.entries:
            self.wait_for_upstreams(vm.name)
            wait_until(
                lambda vm=vm: (
                    self.call(vm.name, "/v1/models", key=BOUND.key).status == 200
                ),
                f"{vm.name} lacks the account",
            )

    def ask(self, entry: str, prompt: str) -> Answer:
        body = {
            "model": "corn-7b",
            "messages": [{"role": "user", "content": prompt}],
        }
        return self.call(entry, "/v1/chat/completions", body, key=BOUND.key)

    def upstreams_that_received(self, text: str) -> list[str]:
        """Return the upstreams that received a request whose name contains ``text``."""
        return [
            upstream
            for upstream in ("e-quito", "e-cuenca", "e-guayaquil")
            for line in read_ledger(self.deployment.requests_file(upstream))
            if text in line.name
        ]

    def test_sender_keeps_a_bound_account_in_its_region(self) -> None:
        """With no upstream in its region and two in others, the answer is "not run"."""
        for number in range(SENDS):
            answer = self.ask("quito-a-1", f"bound-home-{number}")
            self.assertEqual((answer.status, answer.error_type), (503, "not_run"))
            self.assertIs(answer.json()["error"]["ran"], False)
        self.assertEqual(self.upstreams_that_received("bound-home"), [])

    def test_entries_of_other_regions_refuse_a_bound_account(self) -> None:
        """Entries outside the account's regions accept none of its requests."""
        for entry in ("cuenca-a-1", "guayaquil-a-1"):
            answer = self.ask(entry, "bound-away")
            self.assertEqual(answer.error_type, "region_not_allowed")
        self.assertEqual(self.upstreams_that_received("bound-away"), [])

    def test_receiver_checks_the_region_again(self) -> None:
        """A request that another entry should not have forwarded is refused."""
        request = make_forwarded_request(
            id="smuggled", account="bound", origin="quito-a-1"
        )
        error, sink = forward_as(self.deployment, "quito-a-1", "guayaquil-a-1", request)
        assert error is not None
        self.assertEqual((error.type, error.ran), ("region_not_allowed", False))
        self.assertFalse(sink.started)
        self.assertEqual(self.upstreams_that_received("smuggled"), [])

    def test_a_forwarded_request_is_served(self) -> None:
        """One forward is allowed, so the refusals in other tests have other causes."""
        request = make_forwarded_request(id="once", origin="quito-a-1")
        error, sink = forward_as(self.deployment, "quito-a-1", "guayaquil-a-1", request)
        self.assertIsNone(error)
        assert sink.head is not None
        self.assertEqual(sink.head.status, 200)
        self.assertEqual(self.upstreams_that_received("once"), ["e-guayaquil"])

    def test_a_twice_forwarded_request_is_refused(self) -> None:
        """The receiver refuses a second forward with a separate error type."""
        request = make_forwarded_request(id="twice", hops=1, origin="quito-a-1")
        error, sink = forward_as(self.deployment, "quito-a-1", "guayaquil-a-1", request)
        assert error is not None
        self.assertEqual((error.type, error.ran), ("forwarded_twice", False))
        self.assertEqual(self.upstreams_that_received("twice"), [])

    def test_a_receiver_never_forwards_again(self) -> None:
        """An entry that lacks the model refuses, though another zone has it."""
        self.deployment.operate("model", "put", "rare-7b")
        self.deployment.operate(
            "account",
            "put",
            "wide",
            "--home_region=costa",
            "--regions=sierra-norte,austro,costa",
            "--models=rare-7b",
        )
        wait_until(self._knows_wide_account, "guayaquil-a-1 lacks the account")
        request = make_forwarded_request(
            id="onward", account="wide", model="rare-7b", origin="cuenca-a-1"
        )
        error, _ = forward_as(self.deployment, "cuenca-a-1", "guayaquil-a-1", request)
        assert error is not None
        self.assertIs(error.ran, False)
        self.assertEqual(self.upstreams_that_received("onward"), [])

    def _knows_wide_account(self) -> bool:
        probe = make_forwarded_request(id="probe", account="wide", model="none")
        error, _ = forward_as(self.deployment, "cuenca-a-1", "guayaquil-a-1", probe)
        return error is not None and error.type != "unknown_account"
