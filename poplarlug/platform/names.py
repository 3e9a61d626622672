"""Header names and paths of the platform."""

from poplarlug.relay.header_names import HeaderNames

SETTINGS_VARIABLE = "POPLARLUG_SETTINGS"
LIMITS_VARIABLE = "POPLARLUG_LIMITS"
"""Holds the VM's resources, as JSON."""

CONFIGURATION_PATH = "/config"
UPSTREAM_PATH = "/instances/{id}"
EVACUATION_PATH = "/evacuations/{zone}"
DIRECTORY_PATH = "/resolve"
READINESS_PATH = "/readyz"

HEADER_NAMES = HeaderNames(
    request_id="X-Poplarlug-Attempt-Id",
    deadline="X-Poplarlug-Deadline-Ms",
    expected_upstream="X-Poplarlug-Expect-Instance",
    signature="X-Poplarlug-Response-Stamp",
    not_executed="X-Poplarlug-Not-Executed",
    cold_left="X-Poplarlug-Cold-Ms",
    limit="Server-Limit",
    leaving="Server-Leaving",
    resumes="Resumes",
    priority="X-Poplarlug-Request-Priority",
    weight_versions="X-Poplarlug-Weight-Versions",
    team="X-Poplarlug-Tenant",
    key_scheme="Token",
    model="X-Poplarlug-Model",
    token_counts="X-Poplarlug-Token-Count",
    prompt_parts="X-Poplarlug-Prompt-Prefix",
    length_hint="X-Poplarlug-Length-Hint",
    reserved=frozenset(
        {
            "x-poplarlug-expect-instance",
            "x-poplarlug-expect-version",
            "x-poplarlug-request-priority",
            "x-poplarlug-hold",
            "x-poplarlug-pin-ms",
            "x-poplarlug-kv-backup",
            "kv-from",
            "kv-fetch",
        }
    ),
)
