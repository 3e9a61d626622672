"""Tests of the demo."""

import contextlib
import io
from unittest import TestCase

from examples import demo


class DemoTests(TestCase):
    def test_demo_shows_answers_bookings_and_refusals(self) -> None:
        """The demo ends by itself, with an answer and a booking in each zone."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            demo.main()
        text = output.getvalue()
        for zone in demo.ZONES:
            self.assertIn(f"{zone}-", text)
            self.assertIn(f'"booked": "pickup-{zone}"', text)
        for status in (400, 401, 403, 404):
            self.assertIn(f": {status} ", text)
