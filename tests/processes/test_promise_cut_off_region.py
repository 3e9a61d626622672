"""Tests that a region cut off from all others keeps serving its callers."""

from examples.deployment import wait_until
from poplarlug.fakes.engine import tokens_of
from poplarlug.fakes.ledger import read_ledger
from poplarlug.keys import generate_caller_key
from poplarlug.soak.proxy import LinkMode
from tests.processes.case import ProcessTestCase
from tests.processes.workload import CallerAccount, put_account

REGIONS = ("sierra-norte", "austro", "costa")
HIGHLAND = CallerAccount("highland", generate_caller_key(), "austro", REGIONS)
CUT_OFF = ("cuenca-a-1", "cuenca-a-2", "control-cuenca-a")
SENDS = 20


class CutOffRegionTests(ProcessTestCase):
    entries_per_zone = 2

    @classmethod
    def start_upstreams(cls) -> None:
        cls.deployment.start_engine("e-cuenca", "cuenca-a", "corn-7b")
        cls.deployment.start_engine("e-quito", "quito-a", "corn-7b")
        cls.ledger = cls.deployment.start_service("s-cuenca", "cuenca-a", "depot")
        cls.deployment.start_service("s-quito", "quito-a", "depot")

    def setUp(self) -> None:
        self.addCleanup(self.proxy.heal)
        put_account(self.deployment, HIGHLAND)
        for vm in self.deployment.topology.entries:
            self.wait_for_upstreams(vm.name)
            self.wait_for_key(vm.name)

    def wait_for_key(self, entry: str) -> None:
        wait_until(
            lambda: self.call(entry, "/v1/models", key=HIGHLAND.key).status == 200,
            f"{entry} lacks the account",
        )

    def ask(self, entry: str, prompt: str) -> bool:
        """Return whether the complete answer to ``prompt`` was received."""
        messages = [{"role": "user", "content": prompt}]
        body = {"model": "corn-7b", "messages": messages, "max_tokens": 4}
        answer = self.call(entry, "/v1/chat/completions", body, key=HIGHLAND.key)
        if answer.status != 200:
            return False
        content = answer.json()["choices"][0]["message"]["content"]
        return content.split() == list(tokens_of(body))

    def test_chats_and_bookings_go_on_in_the_cut_off_region(self) -> None:
        """All calls of the region's own callers succeed; each booking runs once."""
        for mode in (LinkMode.SILENT, LinkMode.REFUSE):
            with self.subTest(mode=mode):
                self.proxy.isolate(*CUT_OFF, mode=mode)
                keys = [f"{mode.value}-{number}" for number in range(SENDS)]
                for number, key in enumerate(keys):
                    entry = CUT_OFF[number % 2]
                    self.assertTrue(self.ask(entry, key), f"{entry} {key}")
                    booked = self.book(entry, key, key=HIGHLAND.key)
                    self.assertEqual(booked.status, 200, booked.body)
                ran = self.ledger.read_text().split()
                self.assertEqual([ran.count(key) for key in keys], [1] * SENDS)
                self.proxy.heal()
        elsewhere = read_ledger(self.deployment.requests_file("s-quito"))
        self.assertEqual(elsewhere, [])

    def test_a_change_arrives_after_the_heal(self) -> None:
        """A change accepted during the cut comes into force there afterwards."""
        key = generate_caller_key()
        fresh = CallerAccount("fresh", key, "austro", REGIONS)
        self.proxy.isolate(*CUT_OFF)
        put_account(self.deployment, fresh)
        path = "/v1/models"
        wait_until(
            lambda: self.call("quito-a-1", path, key=key).status == 200,
            "the change is not in force outside the cut",
        )
        self.assertEqual(self.call("cuenca-a-1", path, key=key).status, 401)
        self.proxy.heal()
        for entry in CUT_OFF[:2]:
            wait_until(
                lambda entry=entry: self.call(entry, path, key=key).status == 200,
                f"{entry} lacks the change after the heal",
            )
