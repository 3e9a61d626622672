"""Tests of experiments in virtual time."""

import tempfile
from pathlib import Path
from unittest import TestCase

import msgspec

from poplarlug.load.experiment import RunKey, run_experiment
from poplarlug.load.measures import measure, percentile
from poplarlug.load.report import plot, table, to_json

SECONDS = 30.0


def key(scenario: str, policy: str, seconds: float = SECONDS) -> RunKey:
    return RunKey("markisenwerk", scenario, policy, 1, seconds)


class ExperimentTests(TestCase):
    def test_seed_gives_the_same_measures(self) -> None:
        """Two runs with the same key have the same measures."""
        runs = [
            measure(run_experiment(key("normal-day", "expected_finish")))
            for _ in range(2)
        ]
        self.assertEqual(runs[0], runs[1])

    def test_every_request_has_one_outcome_within_its_borders(self) -> None:
        """Under a partition and a flood, each request has one outcome and none leaves
        its allowed regions."""
        result = run_experiment(key("flood-and-cut", "expected_finish"))
        requests = [outcome.request for outcome in result.outcomes]
        self.assertEqual(len(set(map(id, requests))), len(requests))
        self.assertGreater(len(requests), 50)
        for outcome in result.outcomes:
            if outcome.forwarded:
                self.assertGreater(len(outcome.request.account.regions), 1)

    def test_patient_flood_spares_urgent_work(self) -> None:
        """During a flood of patient requests, nearly all urgent requests meet their
        target and nearly all refused requests are patient."""
        result = run_experiment(key("patient-flood", "expected_finish", 90.0))
        refused = [o for o in result.outcomes if o.refused]
        patient = [o for o in refused if o.request.rank.name == "patient"]
        self.assertGreater(len(refused), 20)
        self.assertGreater(len(patient), 0.95 * len(refused))
        self.assertGreater(measure(result).measures.urgent_met, 0.97)

    def test_report_has_all_runs(self) -> None:
        """The table and the JSON contain the given run, and a plot is written."""
        run = measure(run_experiment(key("normal-day", "random")))
        self.assertIn("random", table([run]))
        self.assertEqual(msgspec.json.decode(to_json([run]))[0]["policy"], "random")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "runs.png"
            plot([run], path)
            self.assertGreater(path.stat().st_size, 1000)

    def test_percentile_takes_the_nearest_rank(self) -> None:
        """The 99th of 100 values is the second largest."""
        self.assertEqual(percentile(range(1, 101), 0.99), 99)
        self.assertEqual(percentile([], 0.5), 0.0)
