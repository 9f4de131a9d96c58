"""Show where requests lost their time: nested data for people, and a plot."""

import importlib
from collections import Counter
from pathlib import Path
from typing import Any

from fescuekeel.helpers.losses import Fate, Losses, RouteLosses, Stage

__all__ = ["make_view", "plot_losses"]

MS_PER_S = 1000.0
# How many of the most frequent refusals, weights and endpoints are shown.
SHOWN = 8
PLOT_INCHES = (9.0, 4.5)


def make_view(losses: Losses) -> dict[str, Any]:
    """Return what an operator reads: routes, refusals, loads.

    >>> make_view(Losses())["loads"]["ended"]
    0
    """
    view: dict[str, Any] = {
        "routes": {
            name: _view_route(route)
            for name, route in sorted(losses.routes_by_name.items())
        },
        "refusals": _view_most(losses.refusals_by_detail),
        "loads": {
            "ended": len(losses.loads_s),
            "place_ms_p50": _pick_ms(losses.places_s, 0.5),
            "place_ms_p90": _pick_ms(losses.places_s, 0.9),
            "took_ms_p50": _pick_ms(losses.loads_s, 0.5),
            "took_ms_p90": _pick_ms(losses.loads_s, 0.9),
            "different_weights": len(losses.loads_by_weights),
        },
        "loads_by_endpoint": _view_most(losses.loads_by_endpoint),
        "loads_by_weights": _view_most(losses.loads_by_weights),
    }
    if losses.lines_dropped:
        view["lines_left_out"] = losses.lines_dropped
    return view


def _view_route(route: RouteLosses) -> dict[str, Any]:
    shown: dict[str, Any] = {"requests": route.requests}
    shown |= {fate.value: route.count_by_fate[fate] for fate in Fate}
    shown |= {f"lost_in_{stage}": route.lost_by_stage[stage] for stage in Stage}
    lost = max(1, route.requests - route.count_by_fate[Fate.ON_TIME])
    shown |= {
        f"{stage}_ms": round(route.seconds_by_stage[stage] / lost * MS_PER_S)
        for stage in Stage
    }
    return shown


def _view_most(counts: Counter[str]) -> dict[str, int]:
    return dict(counts.most_common(SHOWN))


def _pick_ms(values: list[float], share: float) -> int:
    """Return the value below which a share of all lies, in milliseconds."""
    if not values:
        return 0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * MS_PER_S)


def plot_losses(losses: Losses, path: Path) -> None:
    """Draw each route's lost requests by the stage that took most, as PNG.

    Raises ``ImportError`` where matplotlib is not installed.
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
    axes.set_xlabel("requests not answered on time, by the longest part of their time")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
