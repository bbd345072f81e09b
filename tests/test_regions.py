"""When requests leave their region."""

import types

import attrs
import pytest

from lavendermast.regions import CheapestFirst, NearestFirst, RegionPolicy


@attrs.frozen
class Server:
    """A candidate of the region."""

    cost: float
    has_free_slot: bool = True
    is_doubtful: bool = False


def make_policy(link_mbps):
    return RegionPolicy.from_settings(types.SimpleNamespace(link_mbps=link_mbps))


@pytest.mark.parametrize("link_mbps", [0, 1000, 10_000])
def test_fast_and_unknown_links_keep_the_comparison_by_cost(link_mbps):
    """Guards against a change for deployments whose links are fast."""
    policy = make_policy(link_mbps)
    assert isinstance(policy, CheapestFirst)
    assert policy.needs_others([Server(0.2)], 0.1)
    assert not policy.needs_others([Server(0.05)], 0.1)


@pytest.mark.parametrize(
    ("servers", "needs_others"),
    [
        ([Server(0.3), Server(0.3, has_free_slot=False)], False),
        ([Server(0.3, has_free_slot=False)], True),
        ([Server(0.5, is_doubtful=True)], True),
        ([], True),
    ],
)
def test_slow_link_leaves_the_region_only_without_a_free_slot(servers, needs_others):
    """Guards against bytes between regions in calm, and a full region that waits."""
    policy = make_policy(10)
    assert isinstance(policy, NearestFirst)
    assert policy.needs_others(servers, 0.01) is needs_others


def test_short_requests_go_further_than_long_ones():
    """Guards against large bodies that cross regions before small ones."""
    policy = make_policy(10)
    short, long = (types.SimpleNamespace(body=b"x" * n) for n in (300, 4000))
    assert policy.count_bytes(400, short) < policy.count_bytes(400, long)
    assert make_policy(1000).count_bytes(400, long) == 400
