"""Tests for route selection and traffic splits."""

import collections

from lavendermast.entrymodel import (
    CallerLimits,
    EntryConfig,
    EntryRoute,
    RequestKind,
    SplitPart,
)
from lavendermast.hostroutes import HostRouter


def make_route(name, prefix, parts=(("stock", 1),), host="a.example"):
    return EntryRoute(
        name,
        host,
        prefix,
        tuple(SplitPart(*part) for part in parts),
        RequestKind.IDEMPOTENT,
        timeout_s=4.0,
        goal_s=2.0,
    )


def make_router(*routes):
    return HostRouter(EntryConfig(1, routes, (), CallerLimits()))


def test_longest_prefix_wins():
    """Guards against routing a request by a shorter prefix than the best match."""
    short, long = make_route("short", "/stock/"), make_route("long", "/stock/old/")
    router = make_router(short, long)
    assert router.find_route("A.example", "/stock/old/7") is long
    assert router.find_route("a.example", "/stock/7") is short
    assert router.find_route("b.example", "/stock/7") is None
    assert router.find_route("a.example", "/stock") is None


def test_split_keeps_its_weights_in_any_window():
    """Guards against shares that deviate from the weights, as in random selection."""
    route = make_route("split", "/", (("old", 90), ("new", 10)))
    router = make_router(route)
    chosen = [router.choose_service(route) for _ in range(300)]
    for first in range(0, 300, 50):
        counts = collections.Counter(chosen[first : first + 50])
        assert abs(counts["new"] - 5) <= 1


def test_part_of_weight_zero_gets_nothing():
    """Guards against requests to a part whose weight operators set to zero."""
    route = make_route("split", "/", (("old", 1), ("new", 0)))
    router = make_router(route)
    assert {router.choose_service(route) for _ in range(20)} == {"old"}
