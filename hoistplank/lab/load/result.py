"""The result of a load run, merged from the measurements of its processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from hoistplank.lab.load.messages import HIGHEST_US, SIGNIFICANT_DIGITS, PartResult
from hoistplank.lab.load.schedule import Step
from hoistplank.lab.load.traffic_mix import ClassShare

QUANTILES = (50, 90, 99, 99.9, 100)


class ClassResult(msgspec.Struct, frozen=True):
    """One traffic class: responses by status, and quantiles of the latency since requests were due."""

    statuses: dict[str, int]
    latency_ms: dict[str, float] = msgspec.field(name="ms")


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """The measurements of a run; `msgspec.to_builtins` gives the form that the command line writes."""

    is_void: bool = msgspec.field(name="void")  # the tool's own lateness was too high for a valid result
    seconds: float
    rate: float  # requests a second
    counts: dict[str, int]
    lateness_ms: dict[str, float] = msgspec.field(name="late_ms")  # quantiles of the tool's own lateness
    classes: dict[str, ClassResult] = msgspec.field(name="tracks")
    tenants: list[dict[str, int]]
    cpu_share: float  # of one core, by each process of the tool
    processes: int
    histograms: dict[str, str]  # latencies (us) by traffic class, in HdrHistogram's own encoding


def quantiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Return the quantiles of a histogram of microseconds, in milliseconds; empty for an empty histogram."""
    if not histogram.get_total_count():
        return {}
    return {f"p{q:g}": round(histogram.get_value_at_percentile(q) / 1_000, 3) for q in QUANTILES}


def merge_results(
    parts: Sequence[PartResult],
    steps: tuple[Step, ...],
    mix: tuple[ClassShare, ...],
    max_lateness_ms: float,
) -> LoadResult:
    """Merge the parts; the result is void if the p99 of the tool's lateness is above `max_lateness_ms`."""
    seconds = sum(step.seconds for step in steps)
    counts = _merge_counts([part.counts for part in parts])
    lateness_ms = quantiles_ms(_merge_histograms([part.lateness for part in parts]))
    latencies = [_merge_histograms(rows) for rows in zip(*(part.latencies for part in parts), strict=True)]
    statuses = [_merge_counts(rows) for rows in zip(*(part.statuses for part in parts), strict=True)]
    return LoadResult(
        is_void=lateness_ms.get("p99", 0.0) > max_lateness_ms,
        seconds=seconds,
        rate=round(counts["sent"] / seconds, 1),
        counts=counts,
        lateness_ms=lateness_ms,
        classes={
            row.class_name: ClassResult(statuses[index], quantiles_ms(latencies[index]))
            for index, row in enumerate(mix)
        },
        tenants=[_merge_counts(rows) for rows in zip(*(part.tenants for part in parts), strict=True)],
        cpu_share=round(sum(part.cpu_s for part in parts) / seconds / len(parts), 2),
        processes=len(parts),
        histograms={row.class_name: latencies[index].encode().decode() for index, row in enumerate(mix)},
    )


def _merge_counts(rows: Sequence[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for row in rows:
        total.update(row)
    return dict(total)


def _merge_histograms(encoded: Sequence[str]) -> HdrHistogram:
    merged = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
    for histogram in encoded:
        merged.decode_and_add(histogram)
    return merged
