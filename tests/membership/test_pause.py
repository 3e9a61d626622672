"""Tests of the pause detector."""

from unittest import TestCase

from poplarlug.membership.pause import MIN_PAUSE_SECONDS, PauseDetector


class PauseDetectorTests(TestCase):
    def test_a_jump_of_the_clock_is_a_pause(self) -> None:
        """A long gap between checks is reported once; a short one is not reported."""
        times = iter([0.0, 1.0, 61.0, 61.0 + MIN_PAUSE_SECONDS / 2])
        pauses: list[float] = []
        detector = PauseDetector(clock=lambda: next(times), on_pause=pauses.append)
        checks = [detector.check() for _ in range(4)]
        self.assertEqual(checks, [False, False, True, False])
        self.assertEqual(pauses, [60.0])
