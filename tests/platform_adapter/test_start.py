"""Tests of the startup cost of the platform's programs."""

import os
import subprocess
import sys
from unittest import TestCase

COUNT_AUTHORITIES = """
import poplarlug.platform.{program}
from aiohttp.connector import _SSL_CONTEXT_VERIFIED as context
print(context.cert_store_stats()["x509_ca"])
"""


class StartTests(TestCase):
    def test_start_reads_no_certificate_authorities(self) -> None:
        """Loading them takes a quarter of a start, and nothing here uses them."""
        # Guards against high CPU use on days with many starts.
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("SSL_CERT")
        }
        for program in ("entry", "control"):
            with self.subTest(program=program):
                counted = subprocess.run(
                    [sys.executable, "-c", COUNT_AUTHORITIES.format(program=program)],
                    env=environment,
                    capture_output=True,
                    check=True,
                    text=True,
                )
                self.assertEqual(int(counted.stdout), 0)
