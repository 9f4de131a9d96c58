"""Present a latency breakdown as nested data and as a plot."""

import importlib
from collections import Counter
from pathlib import Path
from typing import Any

from fescuekeel.helpers.losses import Losses, RequestResult, RouteLosses, Stage

__all__ = ["make_view", "plot_losses"]

MS_PER_S = 1000.0
# Bound on the refusals, weights and endpoints shown.
MAX_ROWS = 8
PLOT_INCHES = (9.0, 4.5)


def make_view(losses: Losses) -> dict[str, Any]:
    """Return routes, refusals and loads as nested data.

    >>> make_view(Losses())["loads"]["ended"]
    0
    """
    view: dict[str, Any] = {
        "routes": {
            name: _view_route(route)
            for name, route in sorted(losses.routes_by_name.items())
        },
        "refusals": _view_most_common(losses.refusals_by_detail),
        "loads": {
            "ended": len(losses.load_times_s),
            "place_ms_p50": _get_percentile_ms(losses.place_waits_s, 0.5),
            "place_ms_p90": _get_percentile_ms(losses.place_waits_s, 0.9),
            "took_ms_p50": _get_percentile_ms(losses.load_times_s, 0.5),
            "took_ms_p90": _get_percentile_ms(losses.load_times_s, 0.9),
            "different_weights": len(losses.loads_by_weights),
        },
        "loads_by_endpoint": _view_most_common(losses.loads_by_endpoint),
        "loads_by_weights": _view_most_common(losses.loads_by_weights),
    }
    if losses.lines_dropped:
        view["lines_left_out"] = losses.lines_dropped
    return view


def _view_route(route: RouteLosses) -> dict[str, Any]:
    shown: dict[str, Any] = {"requests": route.requests}
    shown |= {result.value: route.count_by_result[result] for result in RequestResult}
    shown |= {f"lost_in_{stage}": route.lost_by_stage[stage] for stage in Stage}
    lost = max(1, route.requests - route.count_by_result[RequestResult.ON_TIME])
    shown |= {
        f"{stage}_ms": round(route.seconds_by_stage[stage] / lost * MS_PER_S)
        for stage in Stage
    }
    return shown


def _view_most_common(counts: Counter[str]) -> dict[str, int]:
    return dict(counts.most_common(MAX_ROWS))


def _get_percentile_ms(values: list[float], share: float) -> int:
    """Return a percentile of values in seconds, in milliseconds."""
    if not values:
        return 0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * MS_PER_S)


def plot_losses(losses: Losses, path: Path) -> None:
    """Plot each route's lost requests by their longest stage, as PNG.

    Raises ``ImportError`` if matplotlib is not installed.
    """
    pyplot = importlib.import_module("matplotlib.pyplot")
    pyplot.switch_backend("Agg")
    names = sorted(losses.routes_by_name)
    figure, axes = pyplot.subplots(figsize=PLOT_INCHES)
    left = [0] * len(names)
    for stage in Stage:
        counts = [losses.routes_by_name[name].lost_by_stage[stage] for name in names]
        axes.barh(names, counts, left=left, label=stage.value)
        left = [done + count for done, count in zip(left, counts, strict=True)]
    axes.set_xlabel("requests not answered on time, by their longest stage")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
