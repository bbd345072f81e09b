"""Guards against wrong weights: missed faults, false ejections, too many ejections."""

import attrs
import pytest

from lavendermast.clock import ManualClock
from lavendermast.floors import EjectionBudget
from lavendermast.health import RAMP_START_WEIGHT, REDUCED_WEIGHT, HealthTracker
from lavendermast.messages_model import Verdict
from lavendermast.models import AttemptResult, AttemptStatus, Server, ServerState
from lavendermast.settings_model import Service

OK, ERROR = AttemptStatus.OK, AttemptStatus.ERROR


class Fixture:
    def __init__(self, servers=6, floor=0.5, expected=None):
        self.clock = ManualClock()
        self.events = []
        settings = {"expected_servers": expected or servers, "floor": floor}
        self.tracker = HealthTracker.from_config(
            "stock",
            Service.from_config(settings),
            self.clock,
            lambda event, **fields: self.events.append((event, fields)),
        )
        self.servers = [build_server(n) for n in range(servers)]
        self.tracker.replace_servers(self.servers)

    def run(self, seconds, statuses=None, latencies=None):
        """Send each server one request every 0.5 s."""
        for _ in range(round(seconds / 0.5)):
            for server in self.servers:
                status = (statuses or {}).get(server.name, OK)
                latency = (latencies or {}).get(server.name, 0.02)
                attempt = self.tracker.start_attempt(server.name, "short")
                result = AttemptResult(server.name, status, latency)
                self.tracker.finish_attempt(attempt, result)
            self.advance(0.5)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.tracker.advance()

    def send_verdict(self, server, health="sick", score=1.0, age_ms=0):
        issued = self.clock.get_unix_ms() - age_ms
        verdict = Verdict("stock", server, health, score, "v1", issued, issued + 5000)
        self.tracker.apply_verdict(verdict)

    def get_weights(self):
        return [self.tracker.get_weight(server.name) for server in self.servers]


def build_server(n, state=ServerState.LIVE, address="127.0.0.1"):
    return Server(f"s{n}", "stock", "r", f"r-{n % 2}", f"{address}:{n}", state)


def test_error_responses_eject_without_verdict():
    fixture = Fixture()
    fixture.run(4, {"s0": ERROR})
    assert fixture.get_weights() == [0, 1, 1, 1, 1, 1]
    event, fields = fixture.events[-1]
    assert (event, fields["source"], fields["cause"]) == ("ejected", "local", "errors")


@pytest.mark.parametrize("status", ["timeout", "connect_failed", "cut"])
def test_failure_that_may_be_a_link_fault_only_reduces_the_weight(status):
    fixture = Fixture()
    fixture.run(4, {"s0": AttemptStatus(status)})
    assert fixture.get_weights() == [REDUCED_WEIGHT, 1, 1, 1, 1, 1]
    assert "ejected" not in dict(fixture.events)


@pytest.mark.parametrize("status", ["shed", "expired", "cancelled"])
def test_shed_expired_and_cancelled_attempts_are_not_failures(status):
    fixture = Fixture()
    fixture.run(10, {"s0": AttemptStatus(status)})
    assert fixture.get_weights() == [1] * 6


def test_whole_service_failing_ejects_nothing():
    fixture = Fixture()
    fixture.run(10, {server.name: ERROR for server in fixture.servers})
    assert fixture.get_weights() == [1] * 6


def test_slow_server_is_found_and_a_common_slowdown_is_not():
    fixture = Fixture()
    fixture.run(4)
    fixture.run(4, latencies={server.name: 0.4 for server in fixture.servers})
    assert fixture.get_weights() == [1] * 6
    fixture.run(10)
    fixture.run(6, latencies={"s0": 0.4})
    assert fixture.get_weights() == [REDUCED_WEIGHT, 1, 1, 1, 1, 1]


def test_request_in_flight_counts_as_slow_before_it_ends():
    fixture = Fixture()
    fixture.run(2)
    fixture.tracker.collect_evidence()
    fixture.tracker.start_attempt("s0", "short")
    fixture.advance(0.3)
    assert [entry.slow for entry in fixture.tracker.collect_evidence()] == [1, 1]


def test_long_route_is_not_compared_with_short_route():
    fixture = Fixture()
    for _ in range(40):
        for server in fixture.servers[:3]:
            attempt = fixture.tracker.start_attempt(server.name, "long")
            result = AttemptResult(server.name, OK, 5.0)
            fixture.tracker.finish_attempt(attempt, result)
        fixture.run(0.5)
    assert fixture.get_weights() == [1] * 6


def test_attempts_in_flight_across_a_pause_are_not_counted():
    fixture = Fixture()
    fixture.run(4)
    attempts = [fixture.tracker.start_attempt("s0", "short") for _ in range(9)]
    fixture.clock.advance(30)
    for attempt in attempts:
        result = AttemptResult("s0", AttemptStatus.TIMEOUT, 30.0)
        fixture.tracker.finish_attempt(attempt, result)
    fixture.tracker.advance()
    assert fixture.get_weights() == [1] * 6
    assert fixture.tracker.collect_evidence() == []


def test_stale_verdicts_are_ignored():
    fixture = Fixture()
    fixture.send_verdict("s0", age_ms=5000)
    fixture.send_verdict("s1")
    fixture.advance(5.2)
    assert "returned" in dict(fixture.events)
    fixture.send_verdict("s1", age_ms=1000)
    assert min(fixture.get_weights()) > 0


def test_ejection_time_doubles_and_return_ramps():
    fixture = Fixture()
    fixture.send_verdict("s0")
    fixture.advance(5.1)
    assert RAMP_START_WEIGHT <= fixture.get_weights()[0] < 0.2
    fixture.advance(2.5)
    assert 0.4 < fixture.get_weights()[0] < 0.7
    fixture.send_verdict("s0")
    fixture.advance(9.5)
    assert fixture.get_weights()[0] == 0
    fixture.advance(6)
    assert fixture.get_weights()[0] > 0


def test_healthy_verdict_does_not_end_an_ejection():
    fixture = Fixture()
    fixture.run(4, {"s0": ERROR})
    fixture.send_verdict("s0", "healthy")
    fixture.send_verdict("s0", "recovering")
    assert fixture.get_weights()[0] == 0


def test_least_unhealthy_stay_at_reduced_weight_beyond_the_budget():
    fixture = Fixture(floor=0.6)
    for n, score in enumerate([0.4, 0.9, 0.8, 0.5]):
        fixture.send_verdict(f"s{n}", score=score)
    assert fixture.get_weights() == [REDUCED_WEIGHT, 0, 0, REDUCED_WEIGHT, 1, 1]


def test_leaving_missing_and_cold_servers_use_up_the_budget():
    fixture = Fixture(floor=0.5)
    for n in range(3):
        fixture.send_verdict(f"s{n}")
    assert fixture.get_weights()[:3] == [0, 0, 0]
    fixture.tracker.mark_leaving("s5", "gossip")
    fixture.send_verdict("s4", "cold")
    weights = fixture.get_weights()
    assert sorted(weights[:3]) == [0, REDUCED_WEIGHT, REDUCED_WEIGHT]
    assert weights[3:] == [1, RAMP_START_WEIGHT, 0]
    fixture.tracker.replace_servers(fixture.servers[:4])
    assert sorted(fixture.get_weights()[:3]) == [0, REDUCED_WEIGHT, REDUCED_WEIGHT]
    fixture.tracker.replace_servers(fixture.servers[:3])
    assert fixture.get_weights()[:3] == [REDUCED_WEIGHT] * 3


def test_leaving_server_gets_no_work_even_below_the_floor():
    fixture = Fixture(floor=1.0)
    fixture.run(0.5, {"s0": AttemptStatus.DRAINING})
    assert fixture.get_weights()[0] == 0
    verdicts = fixture.tracker.collect_draining_verdicts()
    assert [(v.server, v.health) for v in verdicts] == [("s0", "draining")]


def test_leaving_server_returns_only_on_a_new_address_or_recovering_verdict():
    fixture = Fixture()
    for n in range(3):
        fixture.tracker.mark_leaving(f"s{n}", "response")
    fixture.advance(60)
    fixture.tracker.replace_servers(fixture.servers)
    fixture.send_verdict("s0", "healthy")
    assert fixture.get_weights()[:3] == [0, 0, 0]
    replaced = build_server(1, address="127.0.0.2")
    fixture.tracker.replace_servers([fixture.servers[0], replaced])
    fixture.send_verdict("s0", "recovering")
    fixture.send_verdict("s0", "draining", age_ms=1000)
    assert fixture.get_weights()[:3] == [RAMP_START_WEIGHT, RAMP_START_WEIGHT, 0]


def test_service_with_failures_reports_failure_free_servers_promptly():
    fixture = Fixture()
    fixture.run(1, {"s0": ERROR})
    assert len(fixture.tracker.collect_evidence(include_failure_free=False)) == 7
    fixture.run(3)
    assert fixture.tracker.collect_evidence(include_failure_free=False) == []


def test_unchanged_thresholds_keep_the_evidence():
    # Otherwise configuration changes every few seconds would prevent detection.
    fixture = Fixture()
    settings = {"expected_servers": 6, "floor": 0.5}
    for _ in range(8):
        fixture.run(0.5, {"s0": ERROR})
        fixture.tracker.replace_service(Service.from_config(settings))
    assert fixture.get_weights()[0] == 0


def test_slowdown_detected_first_in_the_near_region_reduces_no_weight():
    fixture = Fixture(servers=24)
    near = fixture.servers[:3]
    far = [attrs.evolve(server, region="far") for server in fixture.servers[3:]]
    fixture.tracker.replace_servers([*near, *far])
    fixture.run(2, latencies={server.name: 0.2 for server in far})
    for server in fixture.servers * 20:
        fixture.tracker.start_attempt(server.name, "short")
    fixture.advance(0.3)
    assert fixture.get_weights() == [1] * 24


def test_server_that_joins_later_ramps_up():
    fixture = Fixture()
    fixture.tracker.replace_servers([*fixture.servers, build_server(9)])
    assert fixture.tracker.get_weight("s9") == pytest.approx(RAMP_START_WEIGHT)
    assert fixture.tracker.get_weight("unlisted") == 0


def test_each_ejection_and_denial_is_logged_once():
    fixture = Fixture(floor=1.0)
    fixture.send_verdict("s0")
    fixture.advance(2)
    fixture.send_verdict("s0")
    fixture.advance(1)
    assert [event for event, _ in fixture.events] == ["ejection_denied"]


def test_floor_is_exact_for_decimal_shares():
    assert EjectionBudget(20, 0.55).min_available == 11
    assert EjectionBudget(100, 0.07).min_available == 7
