"""Metrics in the Prometheus text format."""

import aioprometheus
from aioprometheus.renderer import render


class MetricsRegistry:
    """
    Collects metric values when they are scraped, so that requests bear no cost.

    >>> registry = MetricsRegistry()
    >>> registry.add_gauge("lavendermast_members", "Members by state.",
    ...                 lambda: [({"state": "alive"}, 3)])
    >>> b'lavendermast_members{state="alive"} 3' in registry.render()
    True
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._collectors = []

    def add_gauge(self, name, help_text, collect):
        """
        Add a gauge.

        :param collect: callable that returns pairs of labels and value; called when
            the metrics are rendered.
        """
        gauge = aioprometheus.Gauge(name, help_text, registry=self._registry)
        self._collectors.append((gauge, collect))

    def add_counter(self, name, help_text, collect):
        """
        Add a counter.

        :param collect: callable that returns pairs of labels and total; called when
            the metrics are rendered.
        """
        counter = aioprometheus.Counter(name, help_text, registry=self._registry)
        self._collectors.append((counter, collect))

    def add_histogram(self, name, help_text, buckets):
        """Return a :class:`LatencyHistogram`; its one label is ``route``."""
        histogram = aioprometheus.Histogram(
            name, help_text, registry=self._registry, buckets=buckets
        )
        return LatencyHistogram(histogram)

    def render(self):
        """Return the text of all metrics as bytes."""
        for collector, collect in self._collectors:
            collector.values.store.clear()
            for labels, value in collect():
                collector.set(labels, value)
        content, _ = render(self._registry, [])
        return content


class LatencyHistogram:
    """A histogram of durations in seconds, labelled by route."""

    def __init__(self, histogram):
        self._histogram = histogram

    def observe(self, route, seconds):
        """Add one duration to the histogram."""
        self._histogram.observe({"route": route}, seconds)
