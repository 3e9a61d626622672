"""Tests of requests in progress when a control replica stops, with real processes."""

import http.client
import signal
import time
from contextlib import closing

from poplarlug.platform.names import CONFIGURATION_PATH
from tests.platform_adapter.case import DeploymentTestCase

GRACE_SECONDS = 8.0


class StopOfControlTests(DeploymentTestCase):
    entry_zones = ()

    # Guards against control replicas that a slow sender holds up until they are killed.
    def test_slow_body_does_not_hold_up_a_stop(self) -> None:
        """Nothing of it has run, and its sender is cut off within the grace period."""
        self.configure()
        name = self.deployment.control["quito-a"]
        host, _, port = self.deployment.control_address().rpartition(":")
        with closing(http.client.HTTPConnection(host, int(port))) as connection:
            connection.putrequest("PUT", CONFIGURATION_PATH)
            connection.putheader("Content-Length", "100")
            connection.endheaders(b"{")
            time.sleep(0.2)
            started = time.monotonic()
            self.deployment.signal(name, signal.SIGTERM)
            self.assertEqual(self.deployment.wait_for_exit(name), 0)
            seconds = time.monotonic() - started
            self.assertLess(seconds, GRACE_SECONDS)
