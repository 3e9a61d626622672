"""Property tests of the control log under random faults, from fixed seeds.

Faults are crashes, partitions, losses and wiped disks.
"""

from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase
from tests.properties.schedules import Schedule

SEEDS_PER_TEST = 250


class LogScheduleTests(QuietTestCase):
    """
    Check that no accepted command is lost and that no term has two leaders.

    All replicas apply the same commands in the same order, and none reverts any.
    """

    def run_seeds(self, part: int) -> None:
        """Run one part of the seeds; a failure names its seed."""
        for seed in range(part * SEEDS_PER_TEST, (part + 1) * SEEDS_PER_TEST):
            try:
                run_virtual(Schedule(seed=seed).run())
            except Exception as error:
                error.add_note(f"seed {seed}")
                raise

    def test_schedules_of_part_0(self) -> None:
        """All guarantees hold for seeds 0 to 249."""
        self.run_seeds(0)

    def test_schedules_of_part_1(self) -> None:
        """All guarantees hold for seeds 250 to 499."""
        self.run_seeds(1)

    def test_schedules_of_part_2(self) -> None:
        """All guarantees hold for seeds 500 to 749."""
        self.run_seeds(2)

    def test_schedules_of_part_3(self) -> None:
        """All guarantees hold for seeds 750 to 999."""
        self.run_seeds(3)

    def test_schedules_of_part_4(self) -> None:
        """All guarantees hold for seeds 1000 to 1249."""
        self.run_seeds(4)

    def test_schedules_of_part_5(self) -> None:
        """All guarantees hold for seeds 1250 to 1499."""
        self.run_seeds(5)

    def test_schedules_of_part_6(self) -> None:
        """All guarantees hold for seeds 1500 to 1749."""
        self.run_seeds(6)

    def test_schedules_of_part_7(self) -> None:
        """All guarantees hold for seeds 1750 to 1999."""
        self.run_seeds(7)
