"""Guards against ejections below the floor by evidence, verdicts, lists or pauses."""

import collections
import math

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lavendermast.clock import ManualClock
from lavendermast.evidence import EvidenceReporter, Judge
from lavendermast.health import HealthTracker
from lavendermast.messages_model import Verdict
from lavendermast.models import AttemptResult, AttemptStatus, Server, ServerState
from lavendermast.settings_model import Service

Member = collections.namedtuple("Member", "vm zone")
MEMBERS = [Member(f"v{n}", f"z{n % 2}") for n in range(4)]
NAMES = [f"s{n}" for n in range(6)]
DETECTION = {"min_samples": 2, "ramp_ms": 3000, "ejection_ms": 2000}

vms = st.sampled_from([member.vm for member in MEMBERS])
some_vms = st.sets(vms, min_size=1)
servers = st.sampled_from(NAMES)
some_servers = st.sets(servers, min_size=1)
statuses = st.sampled_from(AttemptStatus)
healths = st.sampled_from(["sick", "sick", "cold", "draining", "healthy"])
ages = st.sampled_from([0, 900, 20_000])
counts = st.integers(1, 9)


def drop_event(event, **fields):
    pass


class FloorMachine(RuleBasedStateMachine):
    @initialize(floor=st.sampled_from([0.0, 0.3, 0.5, 0.67, 0.9, 1.0]))
    def start(self, floor):
        self.clock = ManualClock()
        self.min_available = math.ceil(floor * len(NAMES))
        service = Service.from_config(
            {"expected_servers": len(NAMES), "floor": floor, "detection": DETECTION}
        )
        self.trackers, self.reporters, self.judges = {}, {}, {}
        self.lists = {member.vm: {} for member in MEMBERS}
        self.marked_leaving = {member.vm: set() for member in MEMBERS}
        for vm, zone in MEMBERS:
            tracker = HealthTracker.from_config("s", service, self.clock, drop_event)
            self.trackers[vm] = tracker
            self.reporters[vm] = EvidenceReporter({"s": tracker}, self.clock)
            self.reporters[vm].replace_members("s", MEMBERS)
            self.judges[vm] = Judge(zone, vm, self.clock, drop_event)
            self.judges[vm].replace_service("s", service, self.build_list({}), MEMBERS)
            self.replace_list(vm, {})

    def build_list(self, states, missing=()):
        return [
            Server(
                name, "s", "r", f"z{n % 2}", name, states.get(name, ServerState.LIVE)
            )
            for n, name in enumerate(NAMES)
            if name not in missing
        ]

    def replace_list(self, vm, states, missing=()):
        listed = self.build_list(states, missing)
        self.lists[vm] = {server.name: server.state for server in listed}
        self.trackers[vm].replace_servers(listed)

    @rule(senders=some_vms, status=statuses, sick=some_servers, count=counts)
    def send_requests(self, senders, status, sick, count):
        for vm in senders:
            tracker = self.trackers[vm]
            for name in NAMES * count:
                result = AttemptResult(name, AttemptStatus.OK, 0.01)
                if name in sick:
                    result = AttemptResult(name, status, 0.5)
                tracker.finish_attempt(tracker.start_attempt(name, "short"), result)
            if status is AttemptStatus.DRAINING:
                self.marked_leaving[vm] |= sick

    @rule(receivers=some_vms, seconds=st.sampled_from([0.1, 0.3, 0.9]))
    def exchange_evidence(self, receivers, seconds):
        self.clock.advance(seconds)
        verdicts = []
        for vm, zone in MEMBERS:
            self.trackers[vm].advance()
            verdicts += self.judges[vm].advance()
            for judge, evidence in self.reporters[vm].collect():
                verdicts += self.judges[judge].receive(zone, vm, evidence)
        for vm in receivers:
            for verdict in verdicts:
                self.trackers[vm].apply_verdict(verdict)

    @rule(receivers=some_vms, seconds=st.sampled_from([1.5, 4.0, 30.0]))
    def pause_others(self, receivers, seconds):
        for _ in range(round(seconds / 0.5)):
            self.clock.advance(0.5)
            for vm in receivers:
                self.trackers[vm].advance()

    @rule(receivers=some_vms, names=some_servers, health=healths, age_ms=ages)
    def deliver_verdicts(self, receivers, names, health, age_ms):
        issued = self.clock.get_unix_ms() - age_ms
        for vm in receivers:
            for score, name in enumerate(names):
                verdict = Verdict("s", name, health, score, "v", issued, issued + 9000)
                self.trackers[vm].apply_verdict(verdict)
            if health == "draining":
                self.marked_leaving[vm] |= names

    @rule(vm=vms, leaving=st.sets(servers), missing=st.sets(servers))
    def change_list(self, vm, leaving, missing):
        states = dict.fromkeys(leaving, ServerState.LEAVING)
        self.replace_list(vm, states, missing)

    @rule(receivers=some_vms, name=servers)
    def mark_leaving(self, receivers, name):
        for vm in receivers:
            self.trackers[vm].mark_leaving(name, "gossip")
            self.marked_leaving[vm].add(name)

    @invariant()
    def keeps_floor(self):
        usable_sum = wanted_sum = 0
        for vm, listed in self.lists.items():
            weights = {name: self.trackers[vm].get_weight(name) for name in NAMES}
            usable = sum(1 for weight in weights.values() if weight > 0)
            # A server once marked as leaving may have returned, so it is not required.
            live = {n for n, state in listed.items() if state is ServerState.LIVE}
            wanted = min(self.min_available, len(live - self.marked_leaving[vm]))
            assert usable >= wanted, (vm, weights)
            usable_sum, wanted_sum = usable_sum + usable, wanted_sum + wanted
            assert not any(weights[name] for name in NAMES if name not in live)
        assert usable_sum >= wanted_sum


FloorMachine.TestCase.settings = settings(max_examples=120, stateful_step_count=30)
TestFloor = FloorMachine.TestCase
