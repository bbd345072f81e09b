"""Choice of servers by an entry VM."""

import collections
import random
import types

import attrs
import pytest

from lavendermast.attemptstate import classify_attempt
from lavendermast.catalog import ListedServer
from lavendermast.clock import ManualClock
from lavendermast.entrymodel import EntryRoute, RequestKind, ServerRecord, SplitPart
from lavendermast.evidenceregistry import COPY_DELAY_S, EvidenceRegistry
from lavendermast.losstracker import FLOOR_MARGIN, HEALTHY_FLOOR_MARGIN, LossTracker
from lavendermast.models import AttemptResult, AttemptStatus, Server, ServerState
from lavendermast.notices import ServerNotices
from lavendermast.ratelimits import RateLimits
from lavendermast.regions import NearestFirst
from lavendermast.selection import (
    IDEMPOTENT_TRIAL,
    NON_IDEMPOTENT_TRIAL,
    ServerSelector,
)
from lavendermast.suspicion import AttemptOutcome

ROUTE = EntryRoute(
    "r", "h", "/", (SplitPart("stock"),), RequestKind.IDEMPOTENT, 4.0, 2.0
)
BYTES = 1500


def ignore_event(event, **fields):
    pass


def find_listed(listed, name):
    return next((item for item in listed if item.server.name == name), None)


NO_NOTICES = ServerNotices(lambda name: None, ManualClock(), ignore_event)


@pytest.fixture
def world():
    clock = ManualClock(100.0)
    listed = [
        ListedServer(ServerRecord(Server(name, "stock", region, zone, name), 6), 0, 0)
        for name, region, zone in (
            ("near", "north", "a"),
            ("region", "north", "b"),
            ("far", "south", "c"),
        )
    ]
    rate_limits = RateLimits(
        clock, lambda event, **fields: None, {"near", "region"}.__contains__, regions=2
    )
    registry = EvidenceRegistry(clock, lambda name: ROUTE, rate_limits)
    catalog = types.SimpleNamespace(get_servers=lambda service: listed)
    loss_tracker = LossTracker(registry.get, 0.7)
    unconnected = set()
    notices = ServerNotices(lambda name: find_listed(listed, name), clock, ignore_event)
    selector = ServerSelector(
        catalog,
        registry.get,
        "a",
        "north",
        clock,
        random.Random(1),
        loss_tracker,
        lambda server, retryable: server.name not in unconnected,
        rate_limits,
        notices,
    )
    return types.SimpleNamespace(
        clock=clock,
        registry=registry,
        rate_limits=rate_limits,
        listed=listed,
        server_selector=selector,
        notices=notices,
        unconnected=unconnected,
    )


def observe(world, name, status=AttemptStatus.OK, times=4):
    for _ in range(times):
        attempt = world.registry.start(name, ROUTE)
        world.clock.advance(0.3)
        result = AttemptResult(name, status, body=b"x" * BYTES)
        outcome = classify_attempt(result, 1.0)
        world.registry.finish(name, ROUTE, attempt, result, outcome)


def finish(world, name, attempt):
    result = AttemptResult(name, AttemptStatus.OK, body=b"x" * BYTES)
    world.registry.finish(name, ROUTE, attempt, result, AttemptOutcome.SUCCEEDED)


def choose(world, size=BYTES, **options):
    return world.server_selector.choose("stock", size, **options).listed.server.name


def test_server_that_said_it_is_leaving_gets_no_request_until_it_restarts(world):
    """Guards against requests to a leaving server whose entry still says ready."""
    for name in ("far", "region", "near"):
        observe(world, name)
    world.notices.mark_leaving("near")
    rules = (None, IDEMPOTENT_TRIAL, NON_IDEMPOTENT_TRIAL)
    for _ in range(40):
        world.clock.advance(2.0)
        for rule in rules:
            assert choose(world, trial=rule, is_first=True) != "near"
    assert world.notices.count_leaving() == 1
    restarted = world.listed[0].record
    world.listed[0].record = attrs.evolve(restarted, started_unix_ms=7)
    assert choose(world) == "near"


def test_paused_server_gets_no_request_and_its_neighbours_no_queue(world):
    """
    Guards against requests to a server that asked for a pause, and against its share on
    the queues of the others.
    """
    for name in ("far", "region", "near"):
        observe(world, name)
    world.notices.pause("near", world.clock.monotonic() + 4.0)
    for _ in range(60):
        candidate = world.server_selector.choose("stock", BYTES)
        if candidate is None:
            break
        assert candidate.listed.server.name != "near"
        world.registry.start(candidate.listed.server.name, ROUTE)
    assert candidate is None
    forecast = world.server_selector.forecast_room("stock")
    assert forecast.delay_s == pytest.approx(4.0)
    assert 0 < forecast.interval_s < 1
    world.clock.advance(4.0)
    assert choose(world) == "near"


def test_pause_ends_when_the_server_has_restarted(world):
    """Guards against a pause of the run before, or one that a shorter one ends."""
    listed = world.listed[0]
    world.notices.pause("near", world.clock.monotonic() + 4.0)
    world.notices.pause("near", world.clock.monotonic() + 1.0)
    assert world.notices.compute_pause(listed) == pytest.approx(4.0)
    world.clock.advance(0.5)
    listed.record = attrs.evolve(listed.record, started_unix_ms=7)
    listed.listed_at = world.clock.monotonic() + 3.0
    assert world.notices.compute_pause(listed) == 0.0


def test_pause_stays_when_the_restart_before_it_is_heard_of_late(world):
    """Guards against a pause that ends with the news of an earlier restart."""
    listed = world.listed[0]
    world.notices.pause("near", world.clock.monotonic() + 4.0)
    world.clock.advance(0.1)
    listed.record = attrs.evolve(listed.record, started_unix_ms=7)
    listed.listed_at = world.clock.monotonic()
    assert world.notices.compute_pause(listed) == pytest.approx(3.9)


def test_suspects_of_a_crash_are_sent_to_different_servers(world):
    """Guards against innocent requests that are in the next crash with the guilty."""
    for name in ("far", "region", "near"):
        observe(world, name)
    chosen = {key: choose(world, spread_key=key) for key in map(str, range(12))}
    assert set(chosen.values()) == {"region", "near"}
    assert all(choose(world, spread_key=key) == chosen[key] for key in chosen)
    observe(world, "near", AttemptStatus.CUT)
    assert "near" not in {choose(world, spread_key=key) for key in chosen}


def test_equal_servers_are_chosen_by_distance(world):
    """Guards against sending long responses over paid links."""
    for name in ("far", "region", "near"):
        observe(world, name)
    assert {choose(world, 90_000) for _ in range(20)} == {"near"}


def test_sick_near_server_loses_to_a_healthy_far_one(world):
    """Guards against preferring a near server although it is sick."""
    observe(world, "near", AttemptStatus.CUT)
    observe(world, "region", AttemptStatus.CUT)
    observe(world, "far")
    assert choose(world) == "far"


def test_open_connections_are_preferred_among_equal_servers(world):
    """Guards against paying for a new connection while an equal server has one open."""
    for name in ("near", "region"):
        observe(world, name)
    world.unconnected.add("near")
    assert {choose(world) for _ in range(20)} == {"region"}
    for _ in range(4):
        world.registry.start("region", ROUTE)
    assert choose(world) == "near"


def test_full_server_is_not_chosen_while_another_has_free_slots(world):
    """Guards against queueing at one server while others have free slots."""
    for name in ("near", "region"):
        observe(world, name)
    for _ in range(6):
        world.registry.start("near", ROUTE)
    assert choose(world) == "region"


def test_leaving_and_tried_servers_are_not_chosen(world):
    """Guards against requests to a leaving server (R5) and retries at the same one."""
    for name in ("near", "region"):
        observe(world, name)
    server = world.listed[0].record.server
    leaving = Server(
        server.name, "stock", "north", "a", server.address, ServerState.LEAVING
    )
    world.listed[0].record = ServerRecord(leaving, 6)
    assert choose(world) == "region"
    assert choose(world, excluded={"region"}) == "far"


def test_idle_server_of_the_region_gets_occasional_trials(world):
    """Guards against starving a recovered server, and against overloading it."""
    choose(world)
    observe(world, "region", AttemptStatus.CUT)
    world.clock.advance(3.0)
    observe(world, "near")
    chosen = collections.Counter(
        choose(world, trial=IDEMPOTENT_TRIAL) for _ in range(36)
    )
    assert 1 <= chosen["region"] <= 4
    world.registry.start("region", ROUTE)
    assert choose(world, trial=IDEMPOTENT_TRIAL) == "near"


def test_time_before_the_first_request_is_not_idle_time(world):
    """
    Guards against trials of all servers in the first second of the fleet.

    Without this rule all servers look idle for as long as the VM has had no request.
    """
    world.clock.advance(60.0)
    observe(world, "near")
    for rule in (IDEMPOTENT_TRIAL, NON_IDEMPOTENT_TRIAL):
        assert {choose(world, trial=rule) for _ in range(40)} == {"near"}


def test_vm_explores_only_its_share_of_the_servers(world):
    """
    Guards against requests of each VM to every server after a start of the fleet.

    VMs get no reports from each other yet, so each one uses its share of the servers.
    """
    selector = ServerSelector(
        types.SimpleNamespace(get_servers=lambda service: world.listed),
        world.registry.get,
        "a",
        "north",
        world.clock,
        random.Random(1),
        LossTracker(world.registry.get, 0.7),
        lambda server, retryable: True,
        world.rate_limits,
        NO_NOTICES,
        vms=2,
    )
    assert not selector.choose("stock", BYTES).awaits_evidence
    world.registry.start("near", ROUTE)
    assert selector.choose("stock", BYTES).awaits_evidence
    observe(world, "region")
    assert not selector.choose("stock", BYTES).awaits_evidence


def test_server_with_one_response_gets_few_concurrent_requests(world):
    """Guards against overloading a sick server that responded to a single request."""
    observe(world, "region", times=1)
    for _ in range(2):
        chosen = world.server_selector.choose("stock", BYTES)
        assert not chosen.awaits_evidence
        world.registry.start(chosen.listed.server.name, ROUTE)
    chosen = world.server_selector.choose("stock", BYTES)
    assert chosen.listed.server.name == "region"
    assert chosen.awaits_evidence


def test_non_idempotent_request_is_no_trial_of_a_sick_server(world):
    """Guards against losing a request to a server that was sick a few seconds ago."""
    observe(world, "region", AttemptStatus.CUT)
    world.clock.advance(6.0)
    observe(world, "near")
    chosen = {choose(world, trial=NON_IDEMPOTENT_TRIAL) for _ in range(24)}
    assert chosen == {"near"}
    world.clock.advance(8.0)
    observe(world, "near")
    chosen = {choose(world, trial=NON_IDEMPOTENT_TRIAL) for _ in range(24)}
    assert chosen == {"near", "region"}


@pytest.mark.parametrize("lost", [0, 12])
def test_floor_is_kept_whether_or_not_requests_fail(world, lost):
    """
    Guards against idle healthy servers.

    Requests in flight may be lost with the VMs that sent them, which nobody knows
    before. So the region's servers must get requests at all times.
    """
    choose(world)
    world.listed += [
        ListedServer(ServerRecord(Server(f"x{n}", "stock", "north", "b", ""), 6), 0, 0)
        for n in range(8)
    ]
    for _ in range(3):
        observe(world, "near", times=1)
        observe(world, "region", times=1)
    for _ in range(lost):
        attempt = world.registry.start("region", ROUTE)
        result = AttemptResult("region", AttemptStatus.CUT)
        world.registry.finish("region", ROUTE, attempt, result, AttemptOutcome.FAILED)
    world.clock.advance(0.35)
    used, reasons = set(), set()
    for _ in range(8):
        chosen = world.server_selector.choose("stock", BYTES, is_first=True)
        used.add(chosen.listed.server.name)
        reasons.add(chosen.reason)
        world.registry.start(chosen.listed.server.name, ROUTE)
    assert len(used - {"far"}) >= 7
    assert "floor" in reasons


def test_idle_servers_that_are_probably_sick_are_used_only_while_requests_fail(world):
    """Guards against losing requests at sick servers for the sake of the floor."""
    choose(world)
    near = world.listed[0].record
    for number in range(4):
        server = attrs.evolve(near.server, name=f"s{number}")
        world.listed.append(ListedServer(attrs.evolve(near, server=server), 0, 0))
    for name in ("s0", "s1", "s2", "s3", "region"):
        observe(world, name, AttemptStatus.CUT)
    world.clock.advance(4.0)
    for _ in range(8):
        observe(world, "near", times=1)
    assert {choose(world, is_first=True) for _ in range(30)} == {"near"}
    world.server_selector._loss_tracker.find_max_sick_probability = lambda *_: 1.0
    assert choose(world, is_first=True) != "near"


def test_shed_request_is_no_evidence_of_a_sick_server(world):
    """Guards against avoiding a server as sick because it is full."""
    observe(world, "near")
    before = world.registry.get("near").compute_sick_probability(
        world.clock.monotonic()
    )
    observe(world, "near", AttemptStatus.SHED, times=1)
    after = world.registry.get("near").compute_sick_probability(world.clock.monotonic())
    assert after == pytest.approx(before, abs=0.05)


def test_reports_reach_another_vm_although_one_copy_is_lost(world):
    """Guards against an attempt that stays pending for ever after a lost datagram."""
    other = EvidenceRegistry(world.clock, lambda name: ROUTE, world.rate_limits)
    attempt = world.registry.start("near", ROUTE)
    other.apply_reports("vm-1", 1, world.registry.take_reports())
    assert other.get("near").pending == 1
    world.clock.advance(0.3)
    result = AttemptResult("near", AttemptStatus.OK, body=b"x")
    world.registry.finish("near", ROUTE, attempt, result, AttemptOutcome.SUCCEEDED)
    world.registry.take_reports()
    world.clock.advance(COPY_DELAY_S)
    other.apply_reports("vm-1", 1, world.registry.take_reports())
    assert not world.registry.has_reports
    assert other.get("near").pending == 0
    assert other.get("near").attempts[0].outcome is AttemptOutcome.SUCCEEDED


def test_copies_of_reports_need_no_datagrams_of_their_own(world):
    """Guards against twice the bytes between zones for the same evidence."""
    batches = []
    for _ in range(8):
        attempt = world.registry.start("near", ROUTE)
        batches.append(world.registry.take_reports())
        world.clock.advance(0.1)
        result = AttemptResult("near", AttemptStatus.OK, body=b"x")
        world.registry.finish("near", ROUTE, attempt, result, AttemptOutcome.SUCCEEDED)
        batches += [world.registry.take_reports(), world.registry.take_reports()]
        world.clock.advance(0.1)
    assert sum(bool(batch) for batch in batches) == 16
    numbers = [report.sequence for batch in batches for report in batch]
    assert all(numbers.count(number) >= 3 for number in range(1, 8))


def limit_servers(world, **limits):
    for name, limit in limits.items():
        now = world.clock.monotonic()
        world.rate_limits.observe(name, limit, now, "response")


def test_server_at_its_rate_limit_gets_no_first_attempt_trial_or_floor_request(world):
    """Guards against any kind of request above the limit of a server."""
    for name in ("far", "region", "near"):
        observe(world, name)
    limit_servers(world, near=1.0, region=1.0)
    world.clock.advance(0.5)
    for options in ({}, {"trial": IDEMPOTENT_TRIAL}, {"is_first": True}):
        assert {choose(world, **options) for _ in range(30)} == {"far"}
    world.clock.advance(0.6)
    assert choose(world) == "near"


@pytest.mark.parametrize(("delay", "spread"), [(0.4, False), (0.7, True), (2.0, True)])
def test_servers_without_requests_are_used_after_the_start(world, delay, spread):
    """
    Guards against sound servers that get nothing in the first two seconds.

    The servers that answered first are preferred to unknown ones, and which requests
    are lost is not known before a second has passed.
    """
    near = world.listed[0].record
    for number in range(9):
        server = attrs.evolve(near.server, name=f"s{number}")
        world.listed.append(ListedServer(attrs.evolve(near, server=server), 0, 0))
    choose(world)
    world.clock.advance(0.01)
    for name in ("near", "region", "s0"):
        finish(world, name, world.registry.start(name, ROUTE))
    world.clock.advance(delay)
    used = {"near", "region", "s0"}
    for _ in range(20):
        name = choose(world, is_first=True, retryable=False)
        finish(world, name, world.registry.start(name, ROUTE))
        used.add(name)
        world.clock.advance(0.01)
    assert (len(used - {"far"}) >= 0.75 * 11) is spread


def test_server_at_its_rate_limit_counts_for_the_floor(world):
    """Guards against a floor that is taken of the servers without a limit only."""
    for name in ("far", "region"):
        observe(world, name, AttemptStatus.CUT)
    observe(world, "near")
    used = []
    world.server_selector._loss_tracker.is_below_floor = lambda *counts: used.append(
        counts
    )
    world.server_selector._loss_tracker.find_max_sick_probability = lambda *_: 1.0
    limit_servers(world, near=1.0)
    world.server_selector.choose("stock", BYTES, is_first=True)
    assert used == [(1, 1, HEALTHY_FLOOR_MARGIN), (2, 2, FLOOR_MARGIN)]


def test_requests_of_limited_servers_do_not_pile_up_on_their_neighbours(world):
    """Guards against unbounded queues at the servers that name no limit."""
    for name in ("far", "region", "near"):
        observe(world, name)
    limit_servers(world, near=1.0, region=1.0)
    sent = 0
    while (candidate := world.server_selector.choose("stock", BYTES)) is not None:
        assert candidate.listed.server.name == "far"
        world.registry.start("far", ROUTE)
        sent += 1
    assert sent == 3 * world.listed[2].slots


def test_attempt_at_a_removed_server_does_not_change_its_new_evidence(world):
    """
    Guards against a negative number of pending attempts, which no summary can carry.

    A server is removed while an attempt runs. The end of the attempt is counted in the
    new evidence about the server, where its start is not.
    """
    attempt = world.registry.start("near", ROUTE)
    world.registry.remove_server("near")
    result = AttemptResult("near", AttemptStatus.OK, body=b"x")
    world.registry.finish("near", ROUTE, attempt, result, AttemptOutcome.SUCCEEDED)
    assert world.registry.get("near").pending == 0


def test_report_on_a_removed_server_does_not_change_its_new_evidence(world):
    """
    Guards against a negative number of pending attempts of other VMs.

    A server is removed between the reports of the start and of the end of an attempt
    of another VM.
    """
    other = EvidenceRegistry(world.clock, lambda name: ROUTE, world.rate_limits)
    attempt = world.registry.start("near", ROUTE)
    other.apply_reports("vm-1", 1, world.registry.take_reports())
    other.remove_server("near")
    result = AttemptResult("near", AttemptStatus.OK, body=b"x")
    world.registry.finish("near", ROUTE, attempt, result, AttemptOutcome.SUCCEEDED)
    other.apply_reports("vm-1", 1, world.registry.take_reports())
    assert other.get("near").pending == 0


def test_slow_link_crosses_regions_only_while_the_region_is_full(world):
    """
    Guards against requests that cross regions while servers of their own are free.

    Half of the attempts of a day with free slots crossed regions, because a far server
    with an open connection cost less than a near one with requests in flight.
    """
    world.server_selector.region_policy = NearestFirst()
    for name in ("near", "region", "far"):
        observe(world, name)
    world.unconnected.update({"near", "region"})
    attempts = []
    for _ in range(12):
        name = choose(world)
        assert name != "far"
        attempts.append((name, world.registry.start(name, ROUTE)))
    assert choose(world) == "far"
    finish(world, *attempts.pop())
    assert choose(world) != "far"
