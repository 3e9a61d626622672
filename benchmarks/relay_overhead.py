"""
Measures the overhead that an entry adds to requests by route.

Run ``python -m benchmarks.relay_overhead``. Prints the p50 latency of requests sent to
an upstream directly and through an entry, and the entry's CPU time per request and per
streamed event.
"""

import http.client
import os
import statistics
import tempfile
import time
from pathlib import Path

from poplarlug.platform.encoding import configuration_path, encode_configuration
from poplarlug.platform.names import HEADER_NAMES
from poplarlug.routes import Route, RoutedService, RouteTable, ServiceWeight
from poplarlug.soak.deployment import SeededDeployment, wait_until
from poplarlug.soak.upstream import STREAM_EVENTS, Upstream

REQUESTS = 500
STREAMS = 100
HOST = "bench.example"
TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid: int) -> float:
    """Return the CPU time used by a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def send(address: str, path: str, count: int) -> list[float]:
    """Return the latencies in seconds of ``count`` requests on one connection."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    times = []
    for number in range(count):
        started = time.perf_counter()
        headers = {"Host": HOST, HEADER_NAMES.request_id: f"{path}{number}"}
        connection.request("POST", path, b"x" * 600, headers)
        answer = connection.getresponse()
        answer.read()
        assert answer.status == 200, answer.status
        times.append(time.perf_counter() - started)
    connection.close()
    return times


def make_table() -> RouteTable:
    routes = tuple(
        Route(
            name=name,
            host=HOST,
            path_prefix=f"/{name}/",
            kind=kind,
            timeout_seconds=10.0,
            objective_seconds=1.0,
            rank=0,
            services=(ServiceWeight("desk", 1.0),),
        )
        for name, kind in (("book", "unsafe"), ("stream", "streaming"))
    )
    return RouteTable(1, routes, (RoutedService("desk"),))


def measure(deployment: SeededDeployment, upstream: Upstream) -> None:
    name = deployment.entries[0]
    entry = deployment.entry_address(name)
    pid = deployment.pid(name)
    send(entry, "/book/1", 50)
    direct = statistics.median(send(upstream.address, "/book/1", REQUESTS))
    before = processor_seconds(pid)
    through = statistics.median(send(entry, "/book/1", REQUESTS))
    request = (processor_seconds(pid) - before) / REQUESTS
    before = processor_seconds(pid)
    send(entry, "/stream/1", STREAMS)
    stream = (processor_seconds(pid) - before) / STREAMS
    event = max(0.0, stream - request) / STREAM_EVENTS
    print(f"p50 direct {direct * 1e3:.2f} ms, through an entry {through * 1e3:.2f} ms")
    print(f"added p50 {(through - direct) * 1e3:.2f} ms")
    print(
        f"processor time: a request {request * 1e3:.2f} ms, an event {event * 1e6:.0f} us"
    )


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        deployment = SeededDeployment(folder=Path(folder), entry_zones=("quito-a",))
        upstream = Upstream(
            upstream_id="u", ip=deployment.ip("u"), service="desk", zone="quito-a"
        )
        upstream.event_seconds = 0.002
        try:
            deployment.start_all()
            document = encode_configuration(make_table())
            deployment.operate("PUT", configuration_path(), document)
            deployment.wait_ready()
            wait_until(
                lambda: upstream.beat(deployment.control_address()) == 200, "no beat"
            )
            time.sleep(0.5)
            measure(deployment, upstream)
        finally:
            deployment.close()
            upstream.close()


if __name__ == "__main__":
    main()
