"""Tests of lost and damaged disks of control replicas."""

import resource

from examples.deployment import wait_until
from poplarlug.control.main import EXIT_DAMAGED_DATA
from tests.processes.control_case import ControlTestCase

CHANGES = 500
PART_BYTES = 10
CHANGES_WHILE_FULL = 10


class DiskFaultTests(ControlTestCase):
    def test_second_loss_right_after_a_repair(self) -> None:
        """A wiped replica is added again; then the leader is killed."""
        leader = wait_until(self.leader, "no leader")
        wiped, other = self.others(leader)
        join = self.start_changes("before", 40)
        join()
        self.deployment.kill(wiped)
        self.wipe(wiped)
        self.change("while-one-disk-is-lost", client=self.client([leader, other]))
        self.deployment.start(wiped)
        self.wait_until_healthy()
        self.deployment.kill(leader)
        self.change("after-the-second-loss", client=self.client([wiped, other]))
        self.check_accepted([wiped, other])
        self.deployment.start(leader)
        self.wait_until_healthy()
        self.check_accepted()

    def test_wiped_replica_elects_no_leader_that_lacks_a_change(self) -> None:
        """While the only holder of a change is down, the others elect no leader."""
        leader = wait_until(self.leader, "no leader")
        lagging, wiped = self.others(leader)
        self.deployment.kill(lagging)
        self.change("held-by-two", client=self.client([leader, wiped]))
        self.deployment.kill(leader)
        self.deployment.kill(wiped)
        self.wipe(wiped)
        self.deployment.start(lagging)
        self.deployment.start(wiped)
        wait_until(lambda: self.replicas(lagging), "no answer")
        wait_until(
            lambda: self.replicas(lagging)[wiped].membership == "lost disk",
            "the wiped replica is not seen",
        )
        self.assertIsNone(self.leader([lagging, wiped]))
        self.deployment.start(leader)
        self.wait_until_healthy()
        self.check_accepted()

    def test_all_killed_after_many_changes_and_restarted(self) -> None:
        """Every replica restarts with all 500 changes and the same state hash."""
        self.start_changes("many", CHANGES)()
        for name in self.names:
            self.deployment.kill(name)
        self.deployment.start_control()
        self.wait_until_healthy()
        self.check_accepted()

    def test_torn_last_record_is_cut(self) -> None:
        """A partly written last record loses no accepted change."""
        self.start_changes("torn", 40)()
        for name in self.names:
            self.deployment.kill(name)
        log = self.data_folder(self.names[0]) / "log"
        log.write_bytes(log.read_bytes()[:-3])
        self.deployment.start_control()
        self.wait_until_healthy()
        self.check_accepted()

    # Guards against replicas that stay away once their disks took parts of writes.
    def test_logs_that_take_part_of_a_write_in_turn(self) -> None:
        """Changes go on; each replica counts again, also if it is killed meanwhile."""
        for kills in (False, True):
            for name in self.names:
                log = self.data_folder(name) / "log"
                full_size = log.stat().st_size + PART_BYTES
                self.limit_file_size(name, full_size)
                for number in range(CHANGES_WHILE_FULL):
                    self.change(f"{name}-{number}-{kills}")
                self.assertEqual(log.stat().st_size, full_size)
                if kills:
                    self.deployment.kill(name)
                    others = self.client(self.others(name))
                    self.change(f"without-{name}", client=others)
                    self.deployment.start(name)
                else:
                    self.limit_file_size(name, resource.RLIM_INFINITY)
                self.wait_until_healthy()
        self.check_accepted()

    def limit_file_size(self, name: str, size: int) -> None:
        """Let a replica write no file larger than ``size`` bytes."""
        pid = self.deployment.processes_by_name[name].pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard))

    def test_damaged_middle_is_refused_and_repaired(self) -> None:
        """The process reports the damage and exits; an empty disk repairs it."""
        self.start_changes("damaged", 40)()
        name = next(n for n in self.names if n != self.leader())
        self.deployment.kill(name)
        log = self.data_folder(name) / "log"
        data = bytearray(log.read_bytes())
        data[len(data) // 3] ^= 0xFF
        log.write_bytes(bytes(data))
        self.deployment.start(name)
        status = self.deployment.processes_by_name[name].wait(60)
        self.assertEqual(status, EXIT_DAMAGED_DATA)
        output = (self.deployment.folder / f"{name}.log").read_text()
        self.assertIn("damaged in its middle", output)
        self.wipe(name)
        self.deployment.start(name)
        self.wait_until_healthy()
        self.check_accepted()
