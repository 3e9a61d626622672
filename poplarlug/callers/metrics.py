"""Metrics of callers' requests; accounts appear only in the request log."""

from prometheus_client import Counter, Gauge, Histogram

from poplarlug.metrics import REGISTRY

LATENCY_BUCKETS_SECONDS = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 1.9, 2.5),
    *(5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 300.0),
)

REQUESTS = Counter(
    "poplarlug_requests_total",
    "Requests that ended at this entry, by rank and outcome.",
    ["rank", "outcome"],
    registry=REGISTRY,
)
ERRORS = Counter(
    "poplarlug_request_errors_total",
    "Requests that ended in an error, by its type.",
    ["type"],
    registry=REGISTRY,
)
FIRST_TOKEN = Histogram(
    "poplarlug_request_first_token_seconds",
    "Time to the first byte of the answer's body, by rank.",
    ["rank"],
    buckets=LATENCY_BUCKETS_SECONDS,
    registry=REGISTRY,
)
DURATION = Histogram(
    "poplarlug_request_duration_seconds",
    "Time to the end of a whole answer, by rank.",
    ["rank"],
    buckets=LATENCY_BUCKETS_SECONDS,
    registry=REGISTRY,
)
IN_PROGRESS = Gauge(
    "poplarlug_requests_in_progress",
    "Callers' requests in progress.",
    registry=REGISTRY,
)
FORWARDS = Counter(
    "poplarlug_forwarded_requests_total",
    "Requests that were sent to another zone's entry.",
    ["rank"],
    registry=REGISTRY,
)
ANSWER_BYTES = Counter(
    "poplarlug_answer_bytes_total",
    "Bytes of answers' bodies that went to callers.",
    registry=REGISTRY,
)
LOG_DROPPED = Gauge(
    "poplarlug_request_log_dropped_lines",
    "Lines of the request log that were dropped since the start.",
    registry=REGISTRY,
)
