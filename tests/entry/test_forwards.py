"""Tests of the checks of forwarded requests."""

import asyncio
from unittest import TestCase

from prometheus_client import generate_latest

from poplarlug.entry.forwards import ForwardGate
from poplarlug.errors import GatewayError
from poplarlug.metrics import REGISTRY
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.requests import GatewayRequest

REQUEST = GatewayRequest(
    "r1", "verde", "urgent", "POST", "/", b"", "", "quito-a-1", hops=1
)


class _NoSink(AnswerSink):
    async def start(self, head: AnswerHead) -> None: ...

    async def write(self, data: bytes) -> None: ...

    async def finish(self) -> None: ...


class ForwardGateTests(TestCase):
    def serve(
        self, request: GatewayRequest, *, accepts: bool, outcome: GatewayError | None
    ) -> GatewayError | None:
        async def serve(
            request: GatewayRequest, sink: AnswerSink
        ) -> GatewayError | None:
            return outcome

        gate = ForwardGate(serve=serve, accepts=lambda: accepts)
        return asyncio.run(gate.serve(request, _NoSink()))

    def test_stopping_entry_says_not_run(self) -> None:
        """An entry that accepts no requests does not run a forwarded one."""
        failed = self.serve(REQUEST, accepts=False, outcome=None)
        assert failed is not None
        self.assertEqual((failed.type, failed.ran), ("not_run", False))

    def test_request_without_a_hop_is_refused(self) -> None:
        """A forwarded request without a hop count could be forwarded again."""
        request = REQUEST._replace(hops=0)
        failed = self.serve(request, accepts=True, outcome=None)
        assert failed is not None
        self.assertEqual(failed.type, "not_forwarded")

    def test_refusals_are_counted_by_type(self) -> None:
        """A refused forwarded request is counted in the metrics."""
        outcome = GatewayError(508, "forwarded_twice", "twice")
        self.assertEqual(self.serve(REQUEST, accepts=True, outcome=outcome), outcome)
        line = b'poplarlug_forwards_refused_total{error="forwarded_twice"} '
        self.assertIn(line, generate_latest(REGISTRY))

    def test_valid_forward_is_served(self) -> None:
        """A valid forwarded request is served."""
        self.assertIsNone(self.serve(REQUEST, accepts=True, outcome=None))
