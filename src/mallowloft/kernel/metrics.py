"""Counters, gauges and latency histograms of one instance.

The library that renders them is loaded when they are rendered first: loading it
would prolong each start of an instance, which may be waited for by callers.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import importlib
from typing import Any

from hdrh import histogram

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


class Counter:
    """A number that only grows."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1) -> None:
        """Adds to the number."""
        self.value += amount


_Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All metrics of one instance.

    A counter or histogram is created when its name is first used; a gauge is
    registered with `gauge`. Metrics are rendered in the Prometheus text format.
    """

    def __init__(self) -> None:
        self._counters: dict[str, dict[_Labels, Counter]] = {}
        self._gauges_by_name: dict[str, Callable[[], float]] = {}
        self._gauge_families: dict[
            str,
            tuple[tuple[str, ...], Callable[[], Mapping[tuple, float]]],
        ] = {}
        self._latencies: dict[str, dict[_Labels, LatencyHistogram]] = {}
        # The registry of the library that renders the metrics.
        self._registry: Any = None

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter.

        Args:
            name: Metric name without the `mallowloft_` prefix.
            amount: Amount to add.
            **labels: Labels of the counter. All uses of a name must have the
                same label names.
        """
        self.counter(name, **labels).inc(amount)

    def counter(self, name: str, **labels: str) -> Counter:
        """Returns a counter, so that frequent callers need not look it up.

        Raises:
            ValueError: The name was used with other label names.
        """
        by_labels = self._counters.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        counter = by_labels.get(key)
        if counter is None:
            if by_labels and _names(key) != _names(next(iter(by_labels))):
                raise ValueError(f"{name}: labels {_names(key)}")
            counter = by_labels[key] = Counter()
        return counter

    def counter_value(self, name: str, **labels: str) -> float:
        """Returns the value of a counter, 0 if it was never incremented."""
        key = tuple(sorted(labels.items()))
        counter = self._counters.get(name, {}).get(key)
        return counter.value if counter is not None else 0.0

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a gauge; `read` is called whenever metrics are rendered."""
        self._gauges_by_name[name] = read

    def gauge_family(
        self,
        name: str,
        label_names: tuple[str, ...],
        read: Callable[[], Mapping[tuple, float]],
    ) -> None:
        """Registers a gauge with labels.

        Args:
            name: Metric name without the `mallowloft_` prefix.
            label_names: Names of the labels.
            read: Returns the values by the values of the labels; called
                whenever metrics are rendered.
        """
        self._gauge_families[name] = (label_names, read)

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

    def load_renderer(self) -> None:
        """Loads the library that renders the metrics; may block for a while."""
        if self._registry is not None:
            return
        library = importlib.import_module("prometheus_client")
        registry = library.CollectorRegistry()
        registry.register(self)
        # Exports CPU time, memory and file descriptors of the process.
        library.ProcessCollector(registry=registry)
        self._registry = registry

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self.load_renderer()
        library = importlib.import_module("prometheus_client")
        return library.generate_latest(self._registry)

    def collect(self) -> Iterator[Any]:
        """Yields the metrics as families of the library that renders them."""
        families = importlib.import_module("prometheus_client.core")
        for name, by_labels in self._counters.items():
            family = families.CounterMetricFamily(
                f"mallowloft_{name}",
                name.replace("_", " "),
                labels=_names(next(iter(by_labels))),
            )
            for labels, counter in by_labels.items():
                family.add_metric(_values(labels), counter.value)
            yield family
        for name, read in self._gauges_by_name.items():
            yield families.GaugeMetricFamily(
                f"mallowloft_{name}", name.replace("_", " "), value=read()
            )
        for name, (label_names, read) in self._gauge_families.items():
            family = families.GaugeMetricFamily(
                f"mallowloft_{name}",
                name.replace("_", " "),
                labels=label_names,
            )
            for values, value in read().items():
                family.add_metric(values, value)
            yield family
        for name, by_labels in self._latencies.items():
            label_names = _names(next(iter(by_labels)))
            family = families.GaugeMetricFamily(
                f"mallowloft_{name}_ms",
                f"{name.replace('_', ' ')} in milliseconds",
                labels=[*label_names, "percentile"],
            )
            total = families.CounterMetricFamily(
                f"mallowloft_{name}_recorded",
                f"number of values of {name.replace('_', ' ')}",
                labels=label_names,
            )
            for labels, recorded in by_labels.items():
                values = _values(labels)
                total.add_metric(values, recorded.count)
                for percentile in _PERCENTILES:
                    family.add_metric(
                        [*values, str(percentile)],
                        recorded.percentile_ms(percentile),
                    )
            yield family
            yield total


def _names(labels: _Labels) -> list[str]:
    return [name for name, _ in labels]


def _values(labels: _Labels) -> list[str]:
    return [value for _, value in labels]
