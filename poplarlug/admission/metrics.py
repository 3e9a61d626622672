"""Metrics of admission."""

from prometheus_client import Counter, Gauge

from poplarlug.metrics import REGISTRY

QUEUED = Gauge(
    "poplarlug_admission_queued_requests",
    "Requests that wait for a slot.",
    ["rank"],
    registry=REGISTRY,
)
IN_USE = Gauge(
    "poplarlug_admission_in_use_slots",
    "Slots that requests hold.",
    ["rank"],
    registry=REGISTRY,
)
STARTED_TOTAL = Counter(
    "poplarlug_admission_started_total",
    "Requests that got a slot.",
    ["rank"],
    registry=REGISTRY,
)
REFUSED_TOTAL = Counter(
    "poplarlug_admission_refused_total",
    "Requests that were refused, at once or after a wait.",
    ["rank", "moment"],
    registry=REGISTRY,
)
