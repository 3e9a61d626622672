"""Entry point of ``poplarlug-fake-engine``."""

import asyncio
from typing import Any

import fire

from poplarlug.fakes.engine import EngineOptions, FakeEngine
from poplarlug.fakes.runner import run_fake


def run_engine(
    upstream_id: str,
    listen: str,
    entries: Any,
    models: Any,
    token_seconds: float = 0.0,
    first_token_seconds: float = 0.0,
) -> None:
    """Run a stand-in engine; lists are separated by commas."""
    options = EngineOptions(
        upstream_id=upstream_id,
        models=split(models),
        token_seconds=token_seconds,
        first_token_seconds=first_token_seconds,
    )
    engine = FakeEngine(options=options)
    asyncio.run(
        run_fake(
            app=engine.application(),
            listen=listen,
            entries=split(entries),
            describe=engine.describe,
        )
    )


def split(value: Any) -> tuple[str, ...]:
    """Return the parts of a list from the command line."""
    if isinstance(value, list | tuple):
        return tuple(str(item) for item in value)
    return tuple(part for part in str(value).split(",") if part)


def main() -> None:
    """Run ``poplarlug-fake-engine``."""
    fire.Fire(run_engine)
