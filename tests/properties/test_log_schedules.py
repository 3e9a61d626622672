"""Random schedules of crashes, cuts, losses and wiped disks, from fixed seeds."""

from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase
from tests.properties.schedules import Schedule

SEEDS_PER_TEST = 250


class LogScheduleTests(QuietTestCase):
    """
    No accepted command is lost and no term has two leaders.

    All replicas apply the same commands in the same order, and none goes back.
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
        """Seeds 0 to 249 keep the promises."""
        self.run_seeds(0)

    def test_schedules_of_part_1(self) -> None:
        """Seeds 250 to 499 keep the promises."""
        self.run_seeds(1)

    def test_schedules_of_part_2(self) -> None:
        """Seeds 500 to 749 keep the promises."""
        self.run_seeds(2)

    def test_schedules_of_part_3(self) -> None:
        """Seeds 750 to 999 keep the promises."""
        self.run_seeds(3)

    def test_schedules_of_part_4(self) -> None:
        """Seeds 1000 to 1249 keep the promises."""
        self.run_seeds(4)

    def test_schedules_of_part_5(self) -> None:
        """Seeds 1250 to 1499 keep the promises."""
        self.run_seeds(5)

    def test_schedules_of_part_6(self) -> None:
        """Seeds 1500 to 1749 keep the promises."""
        self.run_seeds(6)

    def test_schedules_of_part_7(self) -> None:
        """Seeds 1750 to 1999 keep the promises."""
        self.run_seeds(7)
