"""Validates callers' HTTP requests and converts them to gateway requests."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.catalog import Account, Catalog
from poplarlug.errors import (
    GatewayError,
    bad_request,
    model_not_allowed,
    unknown_model,
)
from poplarlug.serving.requests import GatewayRequest
from poplarlug.types import RequestId, VmName

DEFAULT_RANK_NAME = "patient"
MAX_KEY_CHARACTERS = 256


class HttpRequest(NamedTuple):
    """The parts of an HTTP request that the gateway uses."""

    id: RequestId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class _ChatBody(msgspec.Struct):
    """The fields of a completion request's body that the gateway reads."""

    model: str
    stream: bool = False
    max_tokens: int = 0


_chat_decoder = msgspec.json.Decoder(_ChatBody)


def parse_completion(
    http: HttpRequest, account: Account, catalog: Catalog, origin: VmName
) -> Result[GatewayRequest, GatewayError]:
    """Return the gateway request of a completion request."""
    try:
        body = _chat_decoder.decode(http.body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(bad_request(f"The body is no completion request: {error}."))
    if catalog.model(body.model) is None:
        return Failure(unknown_model(body.model))
    if body.model not in account.models:
        return Failure(model_not_allowed(account.name, body.model))
    rank = _rank(http, catalog)
    if isinstance(rank, Failure):
        return rank
    return Success(
        GatewayRequest(
            id=http.id,
            account=account.name,
            rank=rank.unwrap(),
            method="POST",
            path=http.path,
            body=http.body,
            content_type="application/json",
            origin=origin,
            model=body.model,
            stream=body.stream,
            max_tokens=body.max_tokens,
        )
    )


def parse_service_call(
    http: HttpRequest,
    service_name: str,
    account: Account,
    catalog: Catalog,
    origin: VmName,
) -> Result[GatewayRequest, GatewayError]:
    """Return the gateway request of a call to a service."""
    service = catalog.service(service_name)
    if service is None:
        return Failure(
            GatewayError(
                404, "unknown_service", f"No service is named {service_name!r}."
            )
        )
    if service_name not in account.services:
        return Failure(
            GatewayError(
                403,
                "service_not_allowed",
                f"Account {account.name!r} may not use service {service_name!r}.",
            )
        )
    rank = _rank(http, catalog)
    if isinstance(rank, Failure):
        return rank
    key = http.headers.get("Idempotency-Key", "")
    repeatable = not _is_non_repeatable(http, service.non_repeatable)
    if not _is_printable_ascii(key, MAX_KEY_CHARACTERS) or (not repeatable and not key):
        return Failure(
            bad_request(
                f"{http.method} {http.path} runs at most once: send an "
                f"Idempotency-Key of 1 to {MAX_KEY_CHARACTERS} printable ASCII "
                "characters."
            )
        )
    return Success(
        GatewayRequest(
            id=http.id,
            account=account.name,
            rank=rank.unwrap(),
            method=http.method,
            path=http.path,
            body=http.body,
            content_type=http.headers.get("Content-Type", "application/octet-stream"),
            origin=origin,
            service=service_name,
            repeatable=repeatable,
            key=key,
            first_send=is_first_send(http.headers),
        )
    )


def _is_printable_ascii(text: str, max_characters: int) -> bool:
    return text.isascii() and text.isprintable() and len(text) <= max_characters


def is_first_send(headers: Mapping[str, str]) -> bool:
    """Return whether the caller declares that it never sent this key before."""
    return headers.get("X-First-Send", "").lower() == "true"


def _rank(http: HttpRequest, catalog: Catalog) -> Result[str, GatewayError]:
    name = http.headers.get("X-Rank", DEFAULT_RANK_NAME)
    if catalog.rank(name) is None:
        known = ", ".join(catalog.names("rank"))
        return Failure(bad_request(f"X-Rank names {name!r}, expected one of: {known}."))
    return Success(name)


def _is_non_repeatable(http: HttpRequest, calls: tuple[str, ...]) -> bool:
    path = http.path.partition("?")[0]
    for call in calls:
        method, _, prefix = call.partition(" ")
        matches_prefix = path == prefix or path.startswith(f"{prefix.rstrip('/')}/")
        if http.method == method and matches_prefix:
            return True
    return False
