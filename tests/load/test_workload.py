"""Tests of workload generation."""

from unittest import TestCase

from poplarlug.load.deployments import CASCARA_VERDE, MARKISENWERK
from poplarlug.load.faults import SCENARIOS_BY_NAME
from poplarlug.load.workload import Workload, WorkRequest


def draw(scenario: str, seed: int = 1) -> list[WorkRequest]:
    return Workload(
        plan=CASCARA_VERDE,
        scenario=SCENARIOS_BY_NAME[scenario],
        seconds=60.0,
        seed=seed,
    ).requests()


class WorkloadTests(TestCase):
    def test_seed_decides(self) -> None:
        """The same seed yields the same requests, another seed different ones."""
        self.assertEqual(draw("normal-day"), draw("normal-day"))
        self.assertNotEqual(draw("normal-day"), draw("normal-day", seed=2))

    def test_flood_adds_to_the_normal_day(self) -> None:
        """Without the requests of the flood, the workload equals a normal day."""
        flooded = draw("patient-flood")
        normal = [request for request in flooded if not request.flood]
        self.assertEqual(normal, draw("normal-day"))
        flood = [request for request in flooded if request.flood]
        self.assertEqual({request.rank.name for request in flood}, {"patient"})
        self.assertGreater(len(flood), len(normal))

    def test_accounts_share_prefixes_and_some_stay_home(self) -> None:
        """Requests of an account and rank share a prefix; some accounts are bound to
        their home region."""
        first_by_key: dict[tuple[str, str], set[int]] = {}
        for request in draw("normal-day"):
            key = (request.account.name, request.rank.name)
            first_by_key.setdefault(key, set()).add(request.prefix_hashes[0])
        self.assertTrue(all(len(first) == 1 for first in first_by_key.values()))
        for plan in (CASCARA_VERDE, MARKISENWERK):
            accounts = plan.accounts(plan.zones[0])
            bound = [a for a in accounts if a.regions == (plan.zones[0].region,)]
            self.assertTrue(0 < len(bound) < len(accounts))
