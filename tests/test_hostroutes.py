"""Route selection of an entry VM."""

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
    """Guards against a request that runs at the service of a shorter prefix."""
    short, long = make_route("short", "/stock/"), make_route("long", "/stock/old/")
    router = make_router(short, long)
    assert router.find_route("A.example", "/stock/old/7") is long
    assert router.find_route("a.example", "/stock/7") is short
    assert router.find_route("b.example", "/stock/7") is None
    assert router.find_route("a.example", "/stock") is None


def test_split_keeps_its_weights_in_any_window():
    """Guards against a split whose shares drift with the luck of a draw."""
    route = make_route("split", "/", (("old", 90), ("new", 10)))
    router = make_router(route)
    chosen = [router.choose_service(route) for _ in range(300)]
    for first in range(0, 300, 50):
        counts = collections.Counter(chosen[first : first + 50])
        assert abs(counts["new"] - 5) <= 1


def test_part_of_weight_zero_gets_nothing():
    """Guards against requests for a part that the operators emptied."""
    route = make_route("split", "/", (("old", 1), ("new", 0)))
    router = make_router(route)
    assert {router.choose_service(route) for _ in range(20)} == {"old"}
