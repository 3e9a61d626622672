"""Encodes documents as the platform's operators and upstreams do, for test doubles."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from poplarlug.discovery.records import ServiceUpstream
from poplarlug.platform.names import CONFIGURATION_PATH, UPSTREAM_PATH
from poplarlug.routes import Route, RouteTable
from poplarlug.teams import Team


def encode_configuration(
    table: RouteTable, keys_by_team: Mapping[str, Sequence[str]] | None = None
) -> bytes:
    """
    Return the operator's document for a route table.

    Parameters
    ----------
    keys_by_team : mapping, optional
        Keys in clear of the table's teams, which itself holds digests only.
    """
    document: dict[str, Any] = {
        "version": table.version,
        "routes": [_route(route) for route in table.routes],
        "services": [{"name": service.name} for service in table.services],
    }
    if table.teams is not None:
        keys_by_team = keys_by_team or {}
        document["tenants"] = [
            _team(team, keys_by_team.get(team.name, ())) for team in table.teams
        ]
    return json.dumps(document).encode()


def version_of(document: bytes) -> int:
    """Return the version of an operator's document."""
    return json.loads(document)["version"]


def encode_heartbeat(upstream: ServiceUpstream) -> tuple[str, bytes]:
    """Return the path and the body of an upstream's heartbeat."""
    heartbeat = {
        "service": upstream.service,
        "address": upstream.address,
        "zone": upstream.zone,
        "version": upstream.version,
        "slots": upstream.slots,
        "state": "ready" if upstream.phase == "serving" else "draining",
        "cold_left_ms": upstream.cold_seconds * 1000,
        "sequence": upstream.sequence,
        "born": upstream.born,
    }
    return UPSTREAM_PATH.format(id=upstream.id), json.dumps(heartbeat).encode()


def configuration_path() -> str:
    """Return the path at which operators set and read the configuration."""
    return CONFIGURATION_PATH


def _team(team: Team, keys: Sequence[str]) -> dict[str, Any]:
    encoded: dict[str, Any] = {"name": team.name, "api_keys": list(keys)}
    if team.quota is not None:
        encoded |= {
            "rate_per_s": team.quota.per_second,
            "burst": team.quota.burst,
            "unit": team.quota.unit,
            "plain_tokens": team.quota.plain_tokens,
        }
    return encoded


def _route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "route_kind": route.kind,
        "timeout_ms": route.timeout_seconds * 1000,
        "target_latency_ms": route.objective_seconds * 1000,
        "priority": route.rank,
        "weighted_services": [weighted._asdict() for weighted in route.services],
        "max_attempts": route.max_attempts,
        "sticky": route.prompts,
        "resumable": route.resumable,
        "home_regions": list(route.home_regions),
    }
