"""Measures, table and plot of replays."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from poplarlug.load.measures import mean_and_spread
from poplarlug.load.replay.region import ArrivalOutcome, ReplayResult


class ReplayMeasures(NamedTuple):
    """
    Measures of one replay.

    Parameters
    ----------
    worth, chat, digest : float
        Fraction of the maximum value that callers got, in total and by route.
    largest : float
        The same for the largest tenth of the digests.
    refused, failed : float
        Fractions of the requests.
    reread : float
        Fraction of prompt tokens that an engine prefilled although one of the region
        had read them.
    expected, kept : float
        Fractions of the shared tokens that engines were expected to have cached, and
        that they had.
    misjudged : float
        Fraction of the shared tokens for which the two differ.
    error_p50, error_p95 : float
        Percentiles, in seconds, of the delay of first events relative to the time
        predicted at the send.
    """

    worth: float
    chat: float
    digest: float
    largest: float
    refused: float
    failed: float
    reread: float
    expected: float
    kept: float
    misjudged: float
    error_p50: float
    error_p95: float


def measure(replayed: ReplayResult) -> ReplayMeasures:
    """Return the measures of one replay."""
    served = replayed.served
    errors = sorted(s.error_seconds for s in served if s.error_seconds is not None)
    tokens = replayed.read_tokens + replayed.cached_tokens
    shared = sum(part.tokens for s in served for part in s.arrival.prompt.parts[:-1])
    return ReplayMeasures(
        worth=_worth(served),
        chat=_worth([s for s in served if s.arrival.route.name == "chat"]),
        digest=_worth([s for s in served if s.arrival.route.name == "digest"]),
        largest=_worth(_largest_digests(served)),
        refused=sum(s.refused for s in served) / len(served),
        failed=sum(not s.worth and not s.refused for s in served) / len(served),
        reread=replayed.reread_tokens / max(1, tokens),
        expected=sum(s.expected_tokens for s in served) / shared,
        kept=sum(s.cached_tokens for s in served) / shared,
        misjudged=sum(abs(s.expected_tokens - s.cached_tokens) for s in served)
        / shared,
        error_p50=_quantile(errors, 0.5),
        error_p95=_quantile(errors, 0.95),
    )


def table(measures_by_run: Mapping[tuple[str, str], Sequence[ReplayMeasures]]) -> str:
    """Return a table with means over all seeds and the range of ``worth``."""
    heads = ["pattern", "policy", "seeds", *ReplayMeasures._fields, "worth, spread"]
    rows = [heads]
    for (pattern, policy), seeds in measures_by_run.items():
        means = [mean_and_spread(v)[0] for v in zip(*seeds, strict=True)]
        _, least, largest = mean_and_spread([m.worth for m in seeds])
        cells = [f"{mean:.3f}" for mean in means]
        spread = f"{least:.3f}..{largest:.3f}"
        rows.append([pattern, policy, str(len(seeds)), *cells, spread])
    widths = [max(len(row[column]) for row in rows) for column in range(len(heads))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )


def plot(
    measures_by_run: Mapping[tuple[str, str], Sequence[ReplayMeasures]], path: Path
) -> None:
    """Plot ``worth`` by pattern and policy to the file ``path``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    patterns = list(dict.fromkeys(pattern for pattern, _ in measures_by_run))
    policies = list(dict.fromkeys(policy for _, policy in measures_by_run))
    figure, axis = pyplot.subplots(figsize=(3 + 1.6 * len(patterns), 4))
    width = 1 / (len(policies) + 1)
    for offset, policy in enumerate(policies):
        bars = [
            mean_and_spread([m.worth for m in measures_by_run[pattern, policy]])
            for pattern in patterns
        ]
        axis.bar(
            [index + offset * width for index in range(len(patterns))],
            [mean for mean, _, _ in bars],
            width=width,
            yerr=[
                [mean - least for mean, least, _ in bars],
                [largest - mean for mean, _, largest in bars],
            ],
            label=policy,
        )
    axis.set_ylabel("share of the worth")
    axis.set_xticks(range(len(patterns)))
    axis.set_xticklabels(patterns)
    axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _worth(served: Sequence[ArrivalOutcome]) -> float:
    return sum(s.worth for s in served) / max(1e-9, sum(s.max_worth for s in served))


def _largest_digests(served: Sequence[ArrivalOutcome]) -> Sequence[ArrivalOutcome]:
    digests = [s for s in served if s.arrival.route.name == "digest"]
    digests.sort(key=lambda s: s.arrival.prompt.tokens)
    return digests[-(len(digests) // 10 + 1) :]


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] if ordered else 0.0
