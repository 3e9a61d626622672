"""Tests of the operators' commands for the control replicas."""

from typing import Any

from examples.deployment import wait_until
from tests.processes.control_case import ControlTestCase


class ControlCommandTests(ControlTestCase):
    def status(self) -> dict[str, dict[str, Any]]:
        rows = self.deployment.operate("control", "status")
        return {row["name"]: row for row in rows}

    def test_replica_is_removed_and_added_again(self) -> None:
        """A removed replica is no member; wiped and added, it is a voter again."""
        leader = wait_until(self.leader, "no leader")
        removed, other = self.others(leader)
        self.deployment.operate("control", "remove", removed)
        self.assertEqual(self.status()[removed]["membership"], "none")
        self.deployment.kill(removed)
        self.change("without-one", client=self.client([leader, other]))
        refused = self.deployment.operate("control", "remove", leader, check=False)
        self.assertEqual(refused, 1)
        unreachable = self.deployment.operate("control", "add", removed, check=False)
        self.assertEqual(unreachable, 1)
        self.wipe(removed)
        self.deployment.start(removed)
        wait_until(lambda: self.replicas(removed), "no answer")
        wait_until(
            lambda: (
                self.deployment.operate("control", "add", removed, check=False) != 1
            ),
            "can't be added",
        )
        self.wait_until_healthy()
        self.assertEqual(self.status()[removed]["membership"], "voter")
        self.check_accepted()
