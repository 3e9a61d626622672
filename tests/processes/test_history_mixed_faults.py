"""Tests of request histories under mixed faults."""

import os
from random import Random

from examples.deployment import wait_until
from poplarlug.fakes.ledger import read_ledger
from poplarlug.keys import generate_caller_key
from tests.processes.case import ProcessTestCase
from tests.processes.faults import FaultSchedule
from tests.processes.history import Run, check_history
from tests.processes.workload import (
    CallerAccount,
    Workload,
    count_outcomes,
    put_account,
)

SEEDS = [int(s) for s in os.environ.get("POPLARLUG_FAULT_SEEDS", "1,2").split(",")]
FAULT_SECONDS = float(os.environ.get("POPLARLUG_FAULT_SECONDS", "10"))
CALLERS = 9
ZONES = ("quito-a", "cuenca-a", "guayaquil-a")
REGIONS_BY_ZONE = {
    "quito-a": "sierra-norte",
    "cuenca-a": "austro",
    "guayaquil-a": "costa",
}
UPSTREAMS_BY_ZONE = {zone: (f"engine-{zone}", f"depot-{zone}") for zone in ZONES}
ACCOUNTS = (
    CallerAccount("everywhere", generate_caller_key(), "sierra-norte", ()),
    CallerAccount("highland", generate_caller_key(), "austro", ()),
    CallerAccount("coast", generate_caller_key(), "costa", ("costa",)),
)


class MixedFaultTests(ProcessTestCase):
    entries_per_zone = 3
    link_upstreams = True

    @classmethod
    def start_upstreams(cls) -> None:
        for zone, (engine, depot) in UPSTREAMS_BY_ZONE.items():
            cls.deployment.start_engine(
                engine, zone, "corn-7b", "--token_seconds=0.005"
            )
            cls.deployment.start_service(depot, zone, "depot", "--run_seconds=0.03")

    def setUp(self) -> None:
        everywhere, highland, coast = ACCOUNTS
        self.accounts = (
            everywhere._replace(regions=tuple(REGIONS_BY_ZONE.values())),
            highland._replace(regions=("austro", "sierra-norte")),
            coast,
        )
        for account in self.accounts:
            put_account(self.deployment, account)
        for vm in self.deployment.topology.entries:
            self.wait_for_upstreams(vm.name)
            for account in self.accounts:
                self.wait_for_account(vm.name, account)

    def wait_for_account(self, entry: str, account: CallerAccount) -> None:
        wait_until(
            lambda: self.call(entry, "/v1/models", key=account.key).status == 200,
            f"{entry} lacks account {account.name}",
        )

    def test_no_guarantee_is_violated_under_mixed_faults(self) -> None:
        """Kills, freezes, stops and network cuts violate no guarantee."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def run_seed(self, seed: int) -> None:
        workload = Workload(
            send=self.call,
            deployment=self.deployment,
            accounts=self.accounts,
            callers=CALLERS,
            seed=seed,
        )
        faults = FaultSchedule(
            deployment=self.deployment,
            proxy=self.proxy,
            upstreams_by_zone=UPSTREAMS_BY_ZONE,
            rng=Random(seed),
        )
        workload.start()
        try:
            faults.run(FAULT_SECONDS)
        finally:
            workload.stop()
        print(f"seed {seed}: {'; '.join(faults.log)}")
        print(f"seed {seed}: {count_outcomes(workload.history.calls)}")
        print(f"seed {seed}: operator's changes accepted {workload.accepted_number}")
        broken = check_history(
            workload.history, self.runs(seed), self.regions_by_account()
        )
        self.assertEqual(broken, [], f"seed {seed}: {faults.log}")
        self.assertGreater(workload.accepted_number, 0)
        self.check_recovery(workload)

    def check_recovery(self, workload: Workload) -> None:
        """Every entry serves again and has the last accepted change."""
        for vm in self.deployment.topology.entries:
            self.wait_for_upstreams(vm.name)
            wait_until(
                lambda vm=vm: (
                    (workload.number_at(vm.name) or 0) >= workload.accepted_number
                ),
                f"{vm.name} lacks {workload.accepted_number}",
            )

    def runs(self, seed: int) -> list[Run]:
        """Return the requests that the upstreams ran for this seed."""
        runs = []
        for zone, names in UPSTREAMS_BY_ZONE.items():
            for name in names:
                for line in read_ledger(self.deployment.requests_file(name)):
                    if line.name.startswith(f"s{seed}."):
                        runs.append(Run(name, REGIONS_BY_ZONE[zone], line))
        return runs

    def regions_by_account(self) -> dict[str, tuple[str, ...]]:
        return {account.name: account.regions for account in self.accounts}
