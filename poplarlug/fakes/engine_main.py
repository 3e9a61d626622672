"""Entry point of ``poplarlug-fake-engine``."""

import asyncio
from pathlib import Path
from typing import Any

import fire

from poplarlug.fakes.emulator import EngineProfile
from poplarlug.fakes.engine import EngineOptions, FakeEngine
from poplarlug.fakes.runner import run_fake


def run_engine(
    upstream_id: str,
    listen: str,
    entries: Any,
    models: Any,
    token_seconds: float = 0.0,
    first_token_seconds: float = 0.0,
    batch_limit: int = EngineProfile().batch_limit,
    kv_tokens: int = EngineProfile().kv_tokens,
    cache_blocks: int = EngineProfile().cache_blocks,
    prefill_tokens_per_second: float = 0.0,
    token_seconds_per_sequence: float = 0.0,
    load_lag_seconds: float = 0.0,
    event_delay_seconds: float = 0.0,
    event_loss: float = 0.0,
    ledger_file: str = "",
    announced: str = "",
    checks_fencing: bool = True,
    order_ledger: str = "",
) -> None:
    """Run a fake engine; lists are comma-separated, a rate of 0 means no limit."""
    profile = EngineProfile(
        batch_limit=batch_limit,
        kv_tokens=kv_tokens,
        cache_blocks=cache_blocks,
        prefill_tokens_per_second=prefill_tokens_per_second or float("inf"),
        token_seconds=token_seconds,
        token_seconds_per_sequence=token_seconds_per_sequence,
        first_token_seconds=first_token_seconds,
        load_lag_seconds=load_lag_seconds,
        event_delay_seconds=event_delay_seconds,
        event_loss=event_loss,
    )
    options = EngineOptions(
        upstream_id=upstream_id,
        models=split(models),
        profile=profile,
        ledger_file=ledger_file,
        checks_fencing=checks_fencing,
        order_ledger=Path(order_ledger) if order_ledger else None,
    )
    engine = FakeEngine(options=options)
    asyncio.run(
        run_fake(
            app=engine.application(),
            listen=listen,
            entries=split(entries),
            describe=engine.describe,
            announced=announced,
        )
    )


def split(value: Any) -> tuple[str, ...]:
    """Return the items of a comma-separated list from the command line."""
    if isinstance(value, list | tuple):
        return tuple(str(item) for item in value)
    return tuple(part for part in str(value).split(",") if part)


def main() -> None:
    """Run ``poplarlug-fake-engine``."""
    fire.Fire(run_engine)
