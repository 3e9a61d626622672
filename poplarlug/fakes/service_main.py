"""Entry point of ``poplarlug-fake-service``."""

import asyncio
from typing import Any

import fire

from poplarlug.fakes.engine_main import split
from poplarlug.fakes.runner import run_fake
from poplarlug.fakes.service import FakeService, ServiceOptions


def run_service(
    upstream_id: str,
    listen: str,
    entries: Any,
    services: Any,
    ledger_file: str,
    run_seconds: float = 0.0,
    requests_file: str = "",
    gate_file: str = "",
    announced: str = "",
) -> None:
    """Run a fake service; lists are comma-separated."""
    options = ServiceOptions(
        upstream_id=upstream_id,
        services=split(services),
        ledger_file=ledger_file,
        run_seconds=run_seconds,
        requests_file=requests_file,
        gate_file=gate_file,
    )
    service = FakeService(options=options)
    asyncio.run(
        run_fake(
            app=service.application(),
            listen=listen,
            entries=split(entries),
            describe=service.describe,
            announced=announced,
        )
    )


def main() -> None:
    """Run ``poplarlug-fake-service``."""
    fire.Fire(run_service)
