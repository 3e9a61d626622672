"""Prometheus metrics in one registry a process."""

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

REGISTRY = CollectorRegistry()


async def serve_metrics(request: web.Request) -> web.Response:
    """Answer ``GET /metrics`` in the Prometheus text format."""
    return web.Response(
        body=generate_latest(REGISTRY), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )
