"""Test case without log output."""

from unittest import TestCase

import structlog


class QuietTestCase(TestCase):
    """Drop log lines while a test runs."""

    def setUp(self) -> None:
        factory = structlog.ReturnLoggerFactory()
        structlog.configure(processors=[], logger_factory=factory)
        self.addCleanup(structlog.reset_defaults)
