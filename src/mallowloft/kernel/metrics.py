"""Counters, gauges and latency histograms of one instance."""

from collections.abc import Callable

from hdrh import histogram
import prometheus_client
from prometheus_client import core

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


class LatencyHistogram:
    """Latencies of one kind of event, recorded in an HDR histogram."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return self._histogram.get_total_count()

    def record_ms(self, value_ms: float) -> None:
        """Records one latency, clamped to the range of the histogram."""
        value_us = min(
            max(int(value_ms * 1000), _MIN_LATENCY_US), _MAX_LATENCY_US
        )
        self._histogram.record_value(value_us)

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile in milliseconds, 0 if nothing is recorded."""
        return self._histogram.get_value_at_percentile(percentile) / 1000


class Metrics:
    """All metrics of one instance.

    A counter or histogram is created when its name is first used; a gauge is
    registered with `gauge`. Metrics are rendered in the Prometheus text format.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters_by_name: dict[str, prometheus_client.Counter] = {}
        self._gauges_by_name: dict[str, Callable[[], float]] = {}
        self._latencies: dict[
            str, dict[tuple[tuple[str, str], ...], LatencyHistogram]
        ]
        self._latencies = {}
        self._registry.register(self)
        # Exports CPU time, memory and file descriptors of the process.
        prometheus_client.ProcessCollector(registry=self._registry)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter.

        Args:
            name: Metric name without the `mallowloft_` prefix.
            amount: Amount to add.
            **labels: Labels of the counter. All uses of a name must have the
                same label names.
        """
        self.counter(name, **labels).inc(amount)

    def counter(self, name: str, **labels: str) -> prometheus_client.Counter:
        """Returns a counter, so that frequent callers need not look it up."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                f"mallowloft_{name}",
                name.replace("_", " "),
                tuple(sorted(labels)),
                registry=self._registry,
            )
            self._counters_by_name[name] = counter
        return counter.labels(**labels) if labels else counter

    def counter_value(self, name: str, **labels: str) -> float:
        """Returns the value of a counter, 0 if it was never incremented."""
        value = self._registry.get_sample_value(
            f"mallowloft_{name}_total", labels
        )
        return value or 0.0

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a gauge; `read` is called whenever metrics are rendered."""
        self._gauges_by_name[name] = read

    def observe_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Records a latency in milliseconds."""
        self.latency_histogram(name, **labels).record_ms(value_ms)

    def latency_histogram(self, name: str, **labels: str) -> LatencyHistogram:
        """Returns the histogram for a name and labels."""
        by_labels = self._latencies.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key not in by_labels:
            by_labels[key] = LatencyHistogram()
        return by_labels[key]

    def collect(self):
        """Yields gauges, latency percentiles and numbers of latencies."""
        for name, read in self._gauges_by_name.items():
            yield core.GaugeMetricFamily(
                f"mallowloft_{name}", name.replace("_", " "), value=read()
            )
        for name, by_labels in self._latencies.items():
            label_names = [key for key, _ in next(iter(by_labels))]
            family = core.GaugeMetricFamily(
                f"mallowloft_{name}_ms",
                f"{name.replace('_', ' ')} in milliseconds",
                labels=[*label_names, "percentile"],
            )
            total = core.CounterMetricFamily(
                f"mallowloft_{name}_recorded",
                f"number of values of {name.replace('_', ' ')}",
                labels=label_names,
            )
            for labels, recorded in by_labels.items():
                values = [value for _, value in labels]
                total.add_metric(values, recorded.count)
                for percentile in _PERCENTILES:
                    family.add_metric(
                        [*values, str(percentile)],
                        recorded.percentile_ms(percentile),
                    )
            yield family
            yield total

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
