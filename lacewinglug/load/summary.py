"""Summarises a load: latency percentiles and outcomes by kind of request."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestResult:
    """How one request of a load ended.

    :param kind: name of the kind of request.
    :param outcome: ``answered``, the outcome of a failure, or ``connection_lost``.
    :param latency_s: time to the whole answer, in seconds.
    :param first_token_s: time to the first token, 0 for a call, in seconds.
    :param tokens: tokens received.
    """

    kind: str
    outcome: str
    latency_s: float
    first_token_s: float = 0.0
    tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class KindSummary:
    """The results of one kind of request.

    :param kind: name of the kind of request.
    :param outcomes: number of requests by outcome.
    :param latency_s: latency of answered requests by percentile, in seconds.
    :param first_token_s: time to the first token by percentile, in seconds.
    """

    kind: str
    outcomes: dict[str, int]
    latency_s: dict[str, float]
    first_token_s: dict[str, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSummary:
    """The results of a load.

    :param seed: seed of the arrivals.
    :param requests: number of requests sent.
    :param duration_s: time until the last answer, in seconds.
    :param kinds: results by kind of request.
    """

    seed: int
    requests: int
    duration_s: float
    kinds: list[KindSummary]


def percentile(values: Sequence[float], rank: float) -> float:
    """Return the nearest-rank percentile of sorted values, NaN for none."""
    if not values:
        return math.nan
    index = math.ceil(rank / 100.0 * len(values)) - 1
    return values[max(0, index)]


def summarise(
    results: Iterable[RequestResult], *, seed: int, duration_s: float
) -> LoadSummary:
    """Return the summary of a load."""
    by_kind: dict[str, list[RequestResult]] = defaultdict(list)
    for result in results:
        by_kind[result.kind].append(result)
    return LoadSummary(
        seed=seed,
        requests=sum(len(items) for items in by_kind.values()),
        duration_s=duration_s,
        kinds=[_summarise_kind(kind, by_kind[kind]) for kind in sorted(by_kind)],
    )


def _summarise_kind(kind: str, results: list[RequestResult]) -> KindSummary:
    answered = [item for item in results if item.outcome == "answered"]
    first_tokens = [item.first_token_s for item in answered if item.tokens]
    return KindSummary(
        kind=kind,
        outcomes=dict(sorted(Counter(item.outcome for item in results).items())),
        latency_s=_percentiles([item.latency_s for item in answered]),
        first_token_s=_percentiles(first_tokens),
    )


def _percentiles(values: list[float]) -> dict[str, float]:
    values.sort()
    if not values:
        return {}
    return {f"p{rank:.0f}": percentile(values, rank) for rank in PERCENTILES}


def format_table(summary: LoadSummary) -> list[str]:
    """Return the lines of the summary table."""
    ranks = [f"p{rank:.0f}" for rank in PERCENTILES]
    header = f"{'kind':<14}{'answered':>9}{'other':>7}"
    header += "".join(f"{rank + ' ms':>10}" for rank in ranks)
    lines = [header + f"{'first p95 ms':>14}"]
    for kind in summary.kinds:
        answered = kind.outcomes.get("answered", 0)
        other = sum(kind.outcomes.values()) - answered
        line = f"{kind.kind:<14}{answered:>9}{other:>7}"
        line += "".join(_milliseconds(kind.latency_s.get(rank), 10) for rank in ranks)
        lines.append(line + _milliseconds(kind.first_token_s.get("p95"), 14))
    return lines


def _milliseconds(value_s: float | None, width: int) -> str:
    text = "-" if value_s is None else f"{value_s * 1000.0:.1f}"
    return f"{text:>{width}}"
