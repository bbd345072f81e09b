"""Metrics in the Prometheus text format."""

import aioprometheus
from aioprometheus.renderer import render


class MetricsBoard:
    """
    Collects values when they are asked for, so that requests pay nothing.

    >>> board = MetricsBoard()
    >>> board.add_gauge("lavendermast_members", "Members by state.",
    ...                 lambda: [({"state": "alive"}, 3)])
    >>> b'lavendermast_members{state="alive"} 3' in board.render()
    True
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._sources = []

    def add_gauge(self, name, doc, collect):
        """
        Add a gauge.

        :param collect: callable that returns pairs of labels and value.
        """
        gauge = aioprometheus.Gauge(name, doc, registry=self._registry)
        self._sources.append((gauge, collect))

    def add_counter(self, name, doc, collect):
        """
        Add a counter whose total the callable returns.

        :param collect: callable that returns pairs of labels and total.
        """
        counter = aioprometheus.Counter(name, doc, registry=self._registry)
        self._sources.append((counter, collect))

    def add_histogram(self, name, doc, buckets):
        """Return a :class:`LatencyHistogram`; its one label is ``route``."""
        histogram = aioprometheus.Histogram(
            name, doc, registry=self._registry, buckets=buckets
        )
        return LatencyHistogram(histogram)

    def render(self):
        """Return the text of all metrics as bytes."""
        for collector, collect in self._sources:
            collector.values.store.clear()
            for labels, value in collect():
                collector.set(labels, value)
        content, _ = render(self._registry, [])
        return content


class LatencyHistogram:
    """Counts durations by route."""

    def __init__(self, histogram):
        self._histogram = histogram

    def observe(self, route, seconds):
        """Count one duration."""
        self._histogram.observe({"route": route}, seconds)
