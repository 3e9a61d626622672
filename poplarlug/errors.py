"""Errors returned to callers: plain values with a common JSON format."""

import json
from typing import NamedTuple, TypedDict

import msgspec

QUARANTINED = "quarantined"
"""Error type of a request that crashes the upstreams that run it."""


LEAVING = "leaving"
"""Error type of a request that a stopping entry doesn't pass on any more."""

STOPPED = "stopped"
"""Error type of a request that was in progress when its entry had to stop."""

HELD_APART = "held_apart"
"""Error type of a suspect request that got no turn to run apart from others in time."""


class GatewayError(NamedTuple):
    """
    Final outcome of a request that got no complete answer.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    type : str
        Stable machine-readable name of the error.
    message : str
        What was received, what was expected and what to do.
    ran : bool or None
        Whether the request ran at an upstream; ``None`` when unknown.
    retry_after_seconds : float or None
        When to retry; ``None`` when a retry won't help.
    tried : frozenset of str
        Ids of the upstreams that got the request.
    """

    status: int
    type: str
    message: str
    ran: bool | None = False
    retry_after_seconds: float | None = None
    tried: frozenset[str] = frozenset()


class ErrorDetail(TypedDict):
    type: str
    message: str
    ran: bool | None
    retry_after_seconds: float | None


class ErrorBody(TypedDict):
    error: ErrorDetail


def to_body(error: GatewayError) -> bytes:
    """Return the JSON body of the response for ``error``."""
    detail = ErrorDetail(
        type=error.type,
        message=error.message,
        ran=error.ran,
        retry_after_seconds=error.retry_after_seconds,
    )
    body = ErrorBody(error=detail)
    try:
        return msgspec.json.encode(body)
    except UnicodeEncodeError:
        # The message contains a path or host with undecodable non-ASCII bytes.
        return json.dumps(body).encode()


def unknown_key() -> GatewayError:
    return GatewayError(
        401,
        "unknown_key",
        "The Authorization header names no account; send 'Bearer KEY' with a "
        "key that an operator issued.",
    )


def no_team(scheme: str) -> GatewayError:
    """Return the error of a request whose key belongs to no team."""
    return GatewayError(
        401,
        "unknown_key",
        f"The request names no team; send one Authorization header, '{scheme} KEY', "
        "with a key of a team.",
    )


def model_not_allowed(account: str, model: str) -> GatewayError:
    return GatewayError(
        403,
        "model_not_allowed",
        f"Account {account!r} may not use model {model!r}; ask an operator to allow it.",
    )


def unknown_model(model: str) -> GatewayError:
    return GatewayError(
        404, "unknown_model", f"No model is named {model!r}; see GET /v1/models."
    )


def bad_request(message: str) -> GatewayError:
    return GatewayError(400, "bad_request", message)


def not_run(message: str, retry_after_seconds: float) -> GatewayError:
    """Return the error of a request that was sent to no upstream."""
    return GatewayError(503, "not_run", message, False, retry_after_seconds)


def leaving(retry_after_seconds: float) -> GatewayError:
    """Return the error of a request that a stopping entry did not pass on."""
    message = "this entry stops and passes on no more such requests; ask another"
    return GatewayError(503, LEAVING, message, False, retry_after_seconds)


def stopped() -> GatewayError:
    """Return the error of a request that outlasted the drain of a stopping entry."""
    message = "this entry stopped before the answer was whole; the request may have run"
    return GatewayError(502, STOPPED, message, None, None)


def held_apart(retry_after_seconds: float) -> GatewayError:
    """Return the error of a suspect request that got no turn and was not run."""
    return GatewayError(
        503,
        HELD_APART,
        "Upstreams crashed while this request, or others with a part of its prompt, "
        "ran, so it runs apart from others; its turn did not come in time.",
        False,
        retry_after_seconds,
    )


def version_gone(message: str) -> GatewayError:
    """
    Return the error of a stream that no upstream can resume any more.

    It was not run. The caller may only begin a new stream.
    """
    return GatewayError(503, "version_gone", message, False, None)


def outcome_unknown(message: str) -> GatewayError:
    """Return the error of a request that may or may not have run."""
    return GatewayError(502, "outcome_unknown", message, None, None)


def truncated_answer(message: str) -> GatewayError:
    """Return the error of an answer that was truncated."""
    return GatewayError(502, "truncated_answer", message, None, None)


def overloaded(message: str, retry_after_seconds: float) -> GatewayError:
    """Return the error of a request that was refused for lack of capacity."""
    return GatewayError(429, "overloaded", message, False, retry_after_seconds)


def over_quota(team: str, retry_after_seconds: float) -> GatewayError:
    """Return the error of a request that is beyond the quota of its team."""
    message = f"team {team!r} has used its quota for now"
    return GatewayError(429, "over_quota", message, False, retry_after_seconds)


def in_progress(retry_after_seconds: float) -> GatewayError:
    """Return the error of a retry while the first request is still running."""
    return GatewayError(
        409,
        "in_progress",
        "A request with this Idempotency-Key is in progress; ask again with the "
        "same key for its answer.",
        None,
        retry_after_seconds,
    )


def key_reused(key: str) -> GatewayError:
    """Return the error of a key that was already used for a different request."""
    return GatewayError(
        422,
        "key_reused",
        f"Idempotency-Key {key!r} stands for another request; use a new key for a "
        f"new request, and send a resend unchanged.",
    )


def answer_not_kept() -> GatewayError:
    """Return the error of a retry whose first answer was too large to store."""
    return GatewayError(
        409,
        "answer_not_kept",
        "The request with this Idempotency-Key ran; its answer was too large to keep.",
        True,
    )


def no_home_zone(account: str) -> GatewayError:
    return GatewayError(
        403,
        "no_home_zone",
        f"Account {account!r} has no zone that may keep its keys: its home region is "
        f"not among its regions, or has no entries; ask an operator.",
    )


def claims_unreachable(
    message: str, retry_after_seconds: float, *, first_send: bool
) -> GatewayError:
    """
    Return the error of a request whose idempotency key can't be looked up now.

    This send was not run. An earlier send with the key may have run, unless the
    caller declares that there was none.
    """
    if first_send:
        return not_run(message, retry_after_seconds)
    return GatewayError(
        503,
        "claims_unreachable",
        f"{message} This sending was not run; whether an earlier one was can't be "
        f"told now.",
        None,
        retry_after_seconds,
    )


def quarantined(crashes: int, part: str | None = None) -> GatewayError:
    """
    Return the error of a request that crashes the upstreams that run it.

    Parameters
    ----------
    part : str, optional
        Id of the prompt part that is the cause; the request itself if not given.
    """
    cause = "This request" if part is None else f"Part {part!r} of this prompt"
    return GatewayError(
        422,
        QUARANTINED,
        f"{cause} took part in {crashes} crashes of upstreams and won't be run again; "
        f"change it.",
        None,
    )
