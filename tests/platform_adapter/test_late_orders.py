"""Tests of orders that a stopped control replica reads late, with real processes."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from poplarlug.platform.names import UPSTREAM_PATH
from poplarlug.soak.deployment import wait_until
from poplarlug.soak.upstream import Upstream
from tests.platform_adapter.case import DeploymentTestCase

SENDER_SECONDS = 1.0
"""Senders move on to another replica after a second without a response."""

STOPPED_SECONDS = 1.0
"""How long a replica stays stopped after its sender gave up."""

REJOIN_SECONDS = 1.5
"""A replica that wakes up has read all orders and follows a leader again by then."""

SHORT_STANDSTILLS = 10
SHORT_STANDSTILL_SECONDS = 0.6
READING_SECONDS = 0.05
"""Enough to read an order, less than it waits for its sender's close."""

WATCH_SECONDS = 2.0
BEAT_SECONDS = 0.5
EVACUATION = "/evacuations/quito-a"


class LateOrderTests(DeploymentTestCase):
    """Control replicas that stand still, one after the other."""

    entry_zones = ("quito-a", "cuenca-a")

    def setUp(self) -> None:
        super().setUp()
        self.replicas = [*self.deployment.control.values()]
        self.configure(look={"route_kind": "safe"})

    def order(self, name: str, method: str, path: str) -> int:
        """Send an order to one replica; return the status, 0 if there is none."""
        address = f"{self.deployment.ip(name)}:8146"
        return self.deployment.call(
            address, method, path, seconds=SENDER_SECONDS
        ).status

    def order_until_taken(self, names: list[str], method: str, path: str) -> None:
        wait_until(
            lambda: any(self.order(name, method, path) == 200 for name in names),
            f"no replica takes {method} {path}",
        )

    def stop_and_order(self, name: str, method: str, path: str) -> None:
        """Stop a replica, and send it an order until the sender gives up."""
        self.deployment.signal(name, signal.SIGSTOP)
        with ThreadPoolExecutor(3) as pool:
            sent = [pool.submit(self.order, name, method, path) for _ in range(3)]
            self.assertEqual({future.result() for future in sent}, {0})

    def beat(self, names: list[str], *upstreams: Upstream) -> None:
        for upstream in upstreams:
            for name in names:
                try:
                    upstream.beat(f"{self.deployment.ip(name)}:8146")
                    break
                except OSError:
                    # That replica refuses what it may have read late.
                    continue

    def use(self, seconds: float, names: list[str], *upstreams: Upstream) -> None:
        """Send requests and heartbeats for a while."""
        until = time.monotonic() + seconds
        next_beat = 0.0
        while time.monotonic() < until:
            if time.monotonic() >= next_beat:
                next_beat = time.monotonic() + BEAT_SECONDS
                self.beat(names, *upstreams)
            for entry in self.entries:
                self.call(entry, "look")
            time.sleep(0.02)

    # Guards against orders that a replica reads when it wakes up.
    def test_order_read_after_a_standstill_undoes_no_newer_one(self) -> None:
        """A zone is evacuated again while a replica with its withdrawal is stopped."""
        evacuated = self.add_upstream("u-1", zone="quito-a")
        other = self.add_upstream("u-2", zone="cuenca-a")
        self.beat(self.replicas, evacuated, other)
        self.wait_served()
        self.order_until_taken(self.replicas, "POST", EVACUATION)
        for stopped in self.replicas:
            running = [name for name in self.replicas if name != stopped]
            self.stop_and_order(stopped, "DELETE", EVACUATION)
            self.order_until_taken(running, "DELETE", EVACUATION)
            self.order_until_taken(running, "POST", EVACUATION)
            self.use(STOPPED_SECONDS, running, evacuated, other)
            self.deployment.signal(stopped, signal.SIGCONT)
            self.use(REJOIN_SECONDS, running, evacuated, other)
            evacuated.arrivals.clear()
            other.arrivals.clear()
            self.use(WATCH_SECONDS, running, evacuated, other)
            self.assertEqual(len(evacuated.arrivals), 0, stopped)
            self.assertGreater(len(other.arrivals), 0, stopped)

    def stall_repeatedly(self, name: str) -> None:
        """Stop a replica again and again, for too short a time to be noticed."""
        for _ in range(SHORT_STANDSTILLS):
            self.deployment.signal(name, signal.SIGSTOP)
            time.sleep(SHORT_STANDSTILL_SECONDS)
            self.deployment.signal(name, signal.SIGCONT)
            time.sleep(READING_SECONDS)

    # Guards against stalls that are too short to be noticed one by one.
    def test_order_read_between_short_standstills_undoes_no_newer_one(self) -> None:
        """Together they last longer than its sender waits, and repeats it elsewhere."""
        evacuated = self.add_upstream("u-1", zone="quito-a")
        other = self.add_upstream("u-2", zone="cuenca-a")
        self.beat(self.replicas, evacuated, other)
        self.wait_served()
        self.order_until_taken(self.replicas, "POST", EVACUATION)
        for stalled in self.replicas:
            running = [name for name in self.replicas if name != stalled]
            with ThreadPoolExecutor(1) as pool:
                stalls = pool.submit(self.stall_repeatedly, stalled)
                for _ in range(3):
                    self.order(stalled, "DELETE", EVACUATION)
                    self.order_until_taken(running, "DELETE", EVACUATION)
                    self.order_until_taken(running, "POST", EVACUATION)
                stalls.result()
            self.use(REJOIN_SECONDS, running, evacuated, other)
            evacuated.arrivals.clear()
            self.use(WATCH_SECONDS, running, evacuated, other)
            self.assertEqual(len(evacuated.arrivals), 0, stalled)

    # Guards against orders whose sender leaves while they wait for its close in a
    # standstill.
    def test_order_whose_sender_left_during_a_standstill_is_dropped(self) -> None:
        """The event loop reads the close before the order is proposed."""
        evacuated = self.add_upstream("u-1", zone="quito-a")
        other = self.add_upstream("u-2", zone="cuenca-a")
        self.beat(self.replicas, evacuated, other)
        self.wait_served()
        self.order_until_taken(self.replicas, "POST", EVACUATION)
        for stalled in self.replicas:
            running = [name for name in self.replicas if name != stalled]
            with ThreadPoolExecutor(1) as pool:
                self.deployment.signal(stalled, signal.SIGSTOP)
                sent = pool.submit(self.order, stalled, "DELETE", EVACUATION)
                time.sleep(SHORT_STANDSTILL_SECONDS)
                self.deployment.signal(stalled, signal.SIGCONT)
                time.sleep(READING_SECONDS)
                self.deployment.signal(stalled, signal.SIGSTOP)
                time.sleep(SHORT_STANDSTILL_SECONDS)
                self.deployment.signal(stalled, signal.SIGCONT)
                self.assertIn(sent.result(), (0, 503))
            self.use(REJOIN_SECONDS, running, evacuated, other)
            evacuated.arrivals.clear()
            self.use(WATCH_SECONDS, running, evacuated, other)
            self.assertEqual(len(evacuated.arrivals), 0, stalled)

    # Guards against farewells that a replica reads when it wakes up.
    def test_farewell_read_after_a_standstill_ends_no_later_run(self) -> None:
        """An upstream leaves, and is back under its id before the farewell is read."""
        upstream = self.add_upstream("u-1")
        farewell = UPSTREAM_PATH.replace("{id}", upstream.id)
        self.beat(self.replicas, upstream)
        self.wait_served()
        for stopped in self.replicas:
            running = [name for name in self.replicas if name != stopped]
            self.stop_and_order(stopped, "DELETE", farewell)
            self.order_until_taken(running, "DELETE", farewell)
            upstream.born = time.time_ns() // 1_000_000
            self.use(STOPPED_SECONDS, running, upstream)
            self.deployment.signal(stopped, signal.SIGCONT)
            self.use(REJOIN_SECONDS, running, upstream)
            upstream.arrivals.clear()
            self.use(WATCH_SECONDS, running, upstream)
            self.assertGreater(len(upstream.arrivals), 0, stopped)
