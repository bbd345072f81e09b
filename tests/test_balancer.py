"""
Balancer: long group, limits, pauses of shedding servers and locality.

The long group has ``long_share`` of the expected servers. Long requests use only these
servers, so that they do not delay short requests at the others.
"""

import random

from hypothesis import given, strategies as st

from lavendermast.balancer import TwoChoiceBalancer
from lavendermast.clock import ManualClock
from lavendermast.models import AttemptResult, AttemptStatus, Server
from lavendermast.settings_model import Route, Service


def make_route(work="short"):
    return Route("GET", "/", "stock", True, work, 2000, 0, "optional")


SHORT, LONG = make_route(), make_route("long")


def make_balancer(zones="aabbcc", weights=None, **changes):
    data = {"expected_servers": len(zones), "floor": 0.5} | changes
    clock = ManualClock()
    balancer = TwoChoiceBalancer.from_config(
        "stock",
        Service.from_config(data),
        clock,
        random.Random(7),
        lambda name: (weights or {}).get(name, 1.0),
        "r1",
    )
    balancer.replace_servers(
        [
            Server(f"s{index}", "stock", "r2" if zone == "c" else "r1", zone, "")
            for index, zone in enumerate(zones)
        ]
    )
    return balancer, clock


def fill(balancer, route):
    """Start requests until no server is available; return the chosen servers."""
    used = []
    while choice := balancer.choose(route):
        balancer.start(choice.server.name, route.work)
        used.append(choice.server.name)
    return used


def test_one_vm_alone_uses_every_slot_and_near_servers_first():
    """Guards against a fixed share of slots for each VM, which leaves slots unused."""
    balancer, _ = make_balancer(long_share=0)
    used = fill(balancer, SHORT)
    assert sorted(used) == sorted([f"s{index}" for index in range(6)] * 6)
    assert set(used[:24]) == {"s0", "s1", "s2", "s3"}
    assert set(used[24:]) == {"s4", "s5"}


def test_long_work_stays_in_its_group_and_short_overflows_last():
    """
    Guards against short requests that wait for slots held by long ones.

    Long requests use only the long group. Short requests use it when all other servers
    are loaded or unavailable.
    """
    balancer, _ = make_balancer("a" * 12)
    group = balancer.long_group
    assert len(group) == 3
    used = fill(balancer, SHORT)
    assert not group & set(used[:54]) and set(used[54:]) == group
    balancer, _ = make_balancer("a" * 12)
    assert set(fill(balancer, LONG)) == group


def test_weight_zero_is_never_chosen():
    """Guards against requests to an ejected server."""
    balancer, _ = make_balancer("aaa", {"s0": 0.0, "s1": 0.0}, long_share=0)
    assert set(fill(balancer, SHORT)) == {"s2"}


def test_shedding_server_gets_no_requests_until_its_pause_ends():
    """Guards against overloading a full server, and against never using it again."""
    balancer, clock = make_balancer("a", long_share=0)
    balancer.start("s0", "short")
    balancer.finish("s0", "short", AttemptResult("s0", AttemptStatus.SHED))
    assert balancer.choose(SHORT) is None and balancer.get_capacity("short") == 0
    clock.advance(0.2)
    assert balancer.choose(SHORT).server.name == "s0"


def test_result_of_a_removed_server_ends_its_attempt():
    """Guards against in-flight counts that leak or go negative on list changes."""
    balancer, _ = make_balancer("a", long_share=0)
    balancer.start("s0", "short")
    balancer.replace_servers([])
    assert balancer.choose(SHORT) is None
    assert balancer.get_in_flight("s0", "short") == 1
    for _ in range(2):
        balancer.finish("s0", "short", AttemptResult("s0", AttemptStatus.OK))
    assert balancer.get_in_flight("s0", "short") == 0


def test_short_overflows_when_all_other_servers_report_full():
    """Guards against idle slots in the long group during a spike of short requests."""
    balancer, _ = make_balancer("a" * 12)
    group = balancer.long_group
    full = AttemptResult("", AttemptStatus.OK, 0.03, load=1.0)
    others = sorted({f"s{index}" for index in range(12)} - group)
    for name in others:
        assert balancer.choose(SHORT).server.name not in group
        balancer.start(name, "short")
        balancer.finish(name, "short", full)
    assert balancer.choose(SHORT).server.name in group


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["short", "long"]),
            st.sampled_from(list(AttemptStatus)),
            st.booleans(),
        ),
        max_size=80,
    )
)
def test_counts_and_long_bound_hold(steps):
    """Guards against long requests outside their group and wrong in-flight counts."""
    balancer, clock = make_balancer("aabbccaabbcc")
    running = []
    for work, status, begin in steps:
        clock.advance(0.01)
        if begin:
            if choice := balancer.choose(make_route(work)):
                balancer.start(choice.server.name, work)
                running.append((choice.server.name, work))
        elif running:
            name, ended = running.pop(0)
            balancer.finish(name, ended, AttemptResult(name, status))
        for index in range(12):
            for kind in ("short", "long"):
                count = balancer.get_in_flight(f"s{index}", kind)
                assert count == running.count((f"s{index}", kind))
    assert {name for name, work in running if work == "long"} <= balancer.long_group
