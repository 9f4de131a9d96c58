"""HTTP server of metrics in the Prometheus text exposition format."""

import re
from collections.abc import Iterable
from typing import Final

from fescuekeel.core import Instance, Metrics
from fescuekeel.helpers.pages import Page, PageServer

__all__ = ["DOMAIN", "MetricsServer", "format_metrics"]

DOMAIN: Final = "metrics"
PATH: Final = "/metrics"
CONTENT_TYPE: Final = "text/plain; version=0.0.4"
QUANTILES: Final = (50.0, 90.0, 99.0, 99.9)
US_PER_S: Final = 1_000_000
INVALID_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")


def format_metrics(metrics: Metrics) -> str:
    r"""Return all metrics in the text exposition format.

    The part of a counter's or histogram's name before the first dot becomes
    the name of the metric, the rest the label ``kind``. The values of ``kind``
    must come from a bounded set.

    >>> metrics = Metrics()
    >>> metrics.count("refused.queue_full")
    >>> format_metrics(metrics)
    'fescuekeel_refused_total{kind="queue_full"} 1\n'
    """
    lines = list(_format_counters(metrics))
    lines += _format_gauges(metrics)
    lines += _format_histograms(metrics)
    return "\n".join(lines) + "\n"


def _format_gauges(metrics: Metrics) -> Iterable[str]:
    for name, read in sorted(metrics.gauges_by_name.items()):
        for kind, value in sorted(read().items()):
            label = f'{{kind="{kind}"}}' if kind else ""
            yield f"fescuekeel_{INVALID_CHARACTER.sub('_', name)}{label} {value:g}"


def _format_histograms(metrics: Metrics) -> Iterable[str]:
    for name, histogram in sorted(metrics.histograms_by_name.items()):
        metric_name, _, kind = name.partition(".")
        base = f"fescuekeel_{INVALID_CHARACTER.sub('_', metric_name)}_seconds"
        label = f'kind="{kind}"' if kind else ""
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile) / US_PER_S
            labels = ",".join(filter(None, (label, f'quantile="{quantile / 100:g}"')))
            yield f"{base}{{{labels}}} {value:.6f}"
        count_label = f"{{{label}}}" if label else ""
        yield f"{base}_count{count_label} {histogram.get_total_count()}"


def _format_counters(metrics: Metrics) -> Iterable[str]:
    for name, value in sorted(metrics.counters_by_name.items()):
        base, _, kind = name.partition(".")
        label = f'{{kind="{kind}"}}' if kind else ""
        yield f"fescuekeel_{INVALID_CHARACTER.sub('_', base)}_total{label} {value}"


class MetricsServer:
    """Serve the metrics page if the settings contain an address for it."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._server = PageServer(
            {PATH: self._make_page}, instance.client_resources, "metrics"
        )

    @property
    def address(self) -> str:
        """Return the bound address, empty if the page is not served."""
        return self._server.address

    async def start(self) -> None:
        """Start listening if an address is configured."""
        address = self._instance.settings.forwarding.metrics_address
        if address:
            self._server.start(address)

    async def stop(self) -> None:
        """Stop the server."""
        await self._server.stop()

    def _make_page(self) -> Page:
        text = format_metrics(self._instance.metrics)
        return Page(text.encode(), content_type=CONTENT_TYPE)
