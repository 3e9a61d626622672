"""Collects the decisions on one request for its single log line."""

from typing import Any

from poplarlug.types import RequestId, Seconds

MAX_STEPS = 20
"""Limits the length of the line; exceeds the steps that a request may take."""


class RelayTrace:
    """
    Decisions on one request, with the inputs that led to them.

    Parameters
    ----------
    started : float
        Event loop time at which the request arrived.
    """

    def __init__(self, *, request_id: RequestId, started: Seconds) -> None:
        self.request_id = request_id
        self.started = started
        self.fields: dict[str, Any] = {}
        self.steps: list[dict[str, Any]] = []

    def note(self, **fields: Any) -> None:
        """Set fields of the log line."""
        self.fields.update(fields)

    def step(self, what: str, at: Seconds, **fields: Any) -> None:
        """Add a decision, with the milliseconds since the request arrived."""
        if len(self.steps) < MAX_STEPS:
            ms = round((at - self.started) * 1000, 1)
            self.steps.append({"step": what, "ms": ms, **fields})
