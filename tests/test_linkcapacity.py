"""Tests of the capacity that a link gives a VM."""

import math

import pytest

from lavendermast.linkcapacity import LinkCapacity


class Link:
    """The counters of a VM with a link."""

    def __init__(self, mbps):
        self.events = []
        self.capacity = LinkCapacity(
            mbps, lambda event, **fields: self.events.append(event)
        )
        self.requests = self.bytes = 0

    def serve(self, requests, size, seconds=1):
        """Serve requests of a size each second; return the capacities after each."""
        capacities = []
        for _ in range(seconds):
            self.requests += requests
            self.bytes += requests * size
            self.capacity.observe(self.requests, self.bytes, 1.0)
            capacities.append(self.capacity.compute_capacity())
        return capacities


@pytest.mark.parametrize("mbps", [0, 1_000])
def test_links_that_do_not_limit_give_no_capacity(mbps):
    """Guards against a change of the selection where no link is small."""
    assert set(Link(mbps).serve(50, 100_000, 60)) == {math.inf}


def test_capacity_is_half_of_the_link_at_the_measured_size():
    """Guards against a small link that carries more downloads than it can."""
    link = Link(10)
    capacities = link.serve(5, 100_000, 60)
    assert capacities[0] == math.inf  # too few requests to tell
    assert capacities[-1] == pytest.approx(6.25)


def test_capacity_keeps_its_value_while_sizes_vary_or_nothing_comes():
    """Guards against VMs that change places, and callers with them, at each request."""
    link = Link(10)
    link.serve(5, 100_000, 60)
    capacities = set()
    for size in (110_000, 92_000) * 30:
        capacities.update(link.serve(5, size))
    capacities.update(link.serve(0, 0, 600))
    assert len(capacities) == 1
    assert link.serve(5, 400_000, 60)[-1] < 2.0


def test_full_link_is_logged_once_until_it_is_free():
    """Guards against a full link that nobody sees, and a log line each second."""
    link = Link(10)
    for size in (230_000, 180_000) * 15:
        link.serve(5, size)
    assert link.events == []
    for size in (260_000, 200_000) * 15:
        link.serve(5, size)
    link.serve(5, 10_000, 30)
    assert link.events == ["link_full", "link_free"]
