"""Entry point of ``poplarlug-report``."""

import asyncio
import sys
import time
from collections.abc import Callable, Iterator
from itertools import chain
from pathlib import Path
from typing import Any, NoReturn

import aiohttp
import fire
from returns.result import Success

from poplarlug.relay.answer_end import Framing, framing_of
from poplarlug.reports.burn import DAY_SECONDS, BurnReport, Observation, latest_time
from poplarlug.reports.objectives import load_ranks
from poplarlug.reports.rendering import to_json, to_text
from poplarlug.reports.sources import (
    encode_scrape,
    parse_metrics,
    read_request_log,
    read_scrapes,
)

EXIT_BAD_INPUT = 2
SCRAPE_TIMEOUT_SECONDS = 10.0

MAX_SCRAPE_BYTES = 8 * 1024 * 1024
"""Limit for the metrics of one entry."""

OUTPUTS = ("text", "json")


class Commands:
    """Reports on the service level that callers get."""

    def burn(
        self,
        ranks: str,
        logs: Any = (),
        scrapes: Any = (),
        output: str = "text",
        plot: str = "",
        period_days: float = 30.0,
        top_accounts: int = 20,
        end: float | None = None,
    ) -> None:
        """
        Print the error budget burn rates of each rank, region and account.

        Parameters
        ----------
        ranks : str
            File with the output of ``poplarlug --output=json rank list``.
        logs, scrapes : str
            Comma-separated request logs, and files that ``scrape`` wrote. Give only
            one of them for the same time and entry; with both, requests count twice.
        output : str
            ``text`` or ``json``.
        plot : str
            Also draw burn rates over time into this file (PNG, SVG or PDF).
        period_days : float
            Length of the error budget's period, in days before the end.
        end : float
            End in seconds since 1970; by default the time of the newest request.
        """
        if output not in OUTPUTS:
            _fail(f"got --output {output!r}, expected one of {', '.join(OUTPUTS)}")
        loaded = load_ranks(Path(ranks))
        if not isinstance(loaded, Success):
            _fail(loaded.failure())
        ranks_by_name = loaded.unwrap()
        log_paths, scrape_paths = _existing_paths(logs), _existing_paths(scrapes)
        if not log_paths and not scrape_paths:
            _fail("got neither --logs nor --scrapes; name at least one file")

        def read() -> Iterator[Observation]:
            return chain(
                read_request_log(log_paths, ranks_by_name),
                read_scrapes(scrape_paths, ranks_by_name),
            )

        end_time = end if end is not None else latest_time(read)
        report = BurnReport(
            ranks=ranks_by_name,
            end=end_time if end_time is not None else 0.0,
            period_seconds=period_days * DAY_SECONDS,
        )
        report.add_all(read())
        rows = report.rows(top_accounts=top_accounts)
        print(to_json(rows) if output == "json" else to_text(rows))
        if plot:
            _plot(report, list(ranks_by_name), Path(plot))

    def scrape(self, entries: Any, file: str) -> None:
        """
        Append the counters from ``/metrics`` of entries to a file.

        Parameters
        ----------
        entries : str
            ``REGION=ADDRESS`` of each entry, separated by commas.
        file : str
            Receives one JSON line per entry; run this at least every 5 minutes.
        """
        targets = [str(part).partition("=") for part in _split(entries)]
        malformed = [region for region, separator, _ in targets if not separator]
        if malformed:
            _fail(f"got entries {malformed}, expected REGION=ADDRESS")
        lines = asyncio.run(_scrape_all([(r, a) for r, _, a in targets], time.time))
        with Path(file).open("ab") as out:
            out.writelines(lines)


async def _scrape_all(
    targets: list[tuple[str, str]], wall_clock: Callable[[], float]
) -> list[bytes]:
    timeout = aiohttp.ClientTimeout(total=SCRAPE_TIMEOUT_SECONDS)
    lines = []
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for region, address in targets:
            try:
                async with session.get(f"http://{address}/metrics") as response:
                    body = await _read_at_most(response.content, MAX_SCRAPE_BYTES)
                    is_framed = framing_of(response, "GET") is not Framing.CONNECTION
            except (aiohttp.ClientError, TimeoutError) as error:
                print(f"{address} not reached: {error!r}", file=sys.stderr)
                continue
            if response.status != 200 or not is_framed or body is None:
                # It would look like an entry whose counters started again.
                status = response.status
                print(f"{address} gave no whole answer, {status}", file=sys.stderr)
                continue
            scrape = parse_metrics(
                body.decode(errors="replace"),
                time=wall_clock(),
                address=address,
                region=region,
            )
            lines.append(encode_scrape(scrape))
    return lines


async def _read_at_most(content: aiohttp.StreamReader, count: int) -> bytes | None:
    """Return a whole body, or ``None`` if it is longer."""
    body = bytearray()
    while part := await content.readany():
        body += part
        if len(body) > count:
            return None
    return bytes(body)


def _plot(report: BurnReport, ranks: list[str], path: Path) -> None:
    try:
        from poplarlug.reports.plot import plot_burn
    except ImportError:
        _fail("--plot needs matplotlib; install the 'report' extra of poplarlug")
    plot_burn(report, ranks, path)


def _existing_paths(value: Any) -> list[Path]:
    paths = [Path(part) for part in _split(value)]
    missing = [str(path) for path in paths if not path.is_file()]
    if missing:
        _fail(f"no such file: {', '.join(missing)}")
    return paths


def _split(value: Any) -> list[str]:
    if isinstance(value, list | tuple):
        return [str(part) for part in value]
    return [part for part in str(value).split(",") if part]


def _fail(message: str) -> NoReturn:
    print(f"poplarlug-report: {message}", file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT)


def main() -> None:
    """Run ``poplarlug-report``."""
    fire.Fire(Commands, name="poplarlug-report")
