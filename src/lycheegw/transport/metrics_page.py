"""Renders counters, gauges and histograms in the Prometheus text format."""

import bisect
from collections.abc import Callable
from collections.abc import Mapping

from lycheegw.state import counters
from lycheegw.state import zone_traffic

__all__ = ["Histograms", "render"]

# Upper bounds of the buckets, from the response time of a plain service to the
# longest timeout. Those from 1 to 4 s tell apart the ages of copied topics.
_BUCKET_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.5,
    2.0,
    2.5,
    3.0,
    4.0,
    8.0,
    16.0,
    32.0,
)
# Labels come from the configuration, whose size is also limited.
_MAX_HISTOGRAMS = 2000


class Histograms:
    """Histograms of durations by metric name and label."""

    def __init__(self) -> None:
        self._bucket_counts_by_key: dict[tuple[str, str], list[int]] = {}
        self._sum_by_key: dict[tuple[str, str], float] = {}

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Adds a duration; ignored for a new label beyond the limit."""
        key = (name, label)
        counts = self._bucket_counts_by_key.get(key)
        if counts is None:
            if len(self._bucket_counts_by_key) >= _MAX_HISTOGRAMS:
                return
            counts = [0] * (len(_BUCKET_BOUNDS_S) + 1)
            self._bucket_counts_by_key[key] = counts
        counts[bisect.bisect_left(_BUCKET_BOUNDS_S, seconds)] += 1
        self._sum_by_key[key] = self._sum_by_key.get(key, 0.0) + seconds

    def lines(self) -> list[str]:
        """Returns the lines of all histograms, with cumulative buckets."""
        lines = []
        for (name, label), counts in sorted(self._bucket_counts_by_key.items()):
            metric = f"lycheegw_{name}_seconds"
            total = 0
            for bound, count in zip(
                (*_BUCKET_BOUNDS_S, "+Inf"), counts, strict=True
            ):
                total += count
                lines.append(
                    f'{metric}_bucket{{of="{label}",le="{bound}"}} {total}'
                )
            lines.append(f'{metric}_count{{of="{label}"}} {total}')
            seconds = self._sum_by_key[(name, label)]
            lines.append(f'{metric}_sum{{of="{label}"}} {seconds:.6f}')
        return lines


def render(
    source: counters.Counters,
    histograms: Histograms,
    gauges: Callable[[], Mapping[str, float]],
    traffic: zone_traffic.ZoneTraffic,
) -> bytes:
    """Returns the metrics page as UTF-8 text."""
    lines = [
        f'lycheegw_events_total{{event="{name}"}} {count}'
        for name, count in sorted(source.by_name.items())
    ]
    lines += [
        f'lycheegw_zone_bytes_total{{purpose="{purpose}"}} {size}'
        for purpose, size in sorted(traffic.bytes_by_purpose.items())
    ]
    lines += [
        f"lycheegw_{name} {value:g}" for name, value in sorted(gauges().items())
    ]
    return "\n".join([*lines, *histograms.lines(), ""]).encode()
