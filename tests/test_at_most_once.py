"""Searches message schedules for a second run of a key or a wrong not-run."""

import collections

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lavendermast.clock import ManualClock
from lavendermast.forwarding import Forwarder
from lavendermast.ledger import Action, Ledger
from lavendermast.models import AttemptResult, AttemptStatus, CallerRequest, Outcome
from lavendermast.submissions import compute_digest
from lavendermast.tokens import TokenIssuer, TokenVerifier

SECRET = b"0123456789abcdef"
NAMES = st.sampled_from(["a", "b"])
SERVER_RESULTS = st.sampled_from(["ok", "late", "shed", "lost"])
OTHER = {"a": "b", "b": "a"}
CAPACITY = 3


class OffsetClock(ManualClock):
    """Clock of one VM: shared monotonic time, separate wall time."""

    def __init__(self, shared, skew):
        super().__init__()
        self.shared, self.skew = shared, skew

    def monotonic(self):
        return self.shared.monotonic()

    def time(self):
        return self.shared.time() + self.skew


class Process:
    """One boot of a VM."""

    def __init__(self, clock, name, boot_id):
        self.name, self.boot_id = name, boot_id
        self.ledger = Ledger(clock, boot_id, CAPACITY, 900_000)
        self.issuer = TokenIssuer(name, boot_id, 60_000, 1, SECRET)


@attrs.frozen
class Message:
    """A request in transit to a VM; ``hop`` is set if it was forwarded."""

    key: str
    vm: str
    deadline: float
    hop: bool = False


@attrs.frozen
class Job:
    """A key that a process admitted; ``sent`` is set once it was sent to a server."""

    key: str
    process: Process
    deadline: float
    sent: bool = False


class Fleet(RuleBasedStateMachine):
    """
    Two VMs, their messages, and a server that counts runs.

    There are few rules with many arguments: with one rule for each kind of step, hardly
    any example got a request as far as the server.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.skews = {"a": 0.0, "b": -40.0}
        self.boots = self.progressed = self.failed = 0
        self.continued = {}
        self.keys = []
        self.pending = []
        self.handovers = []
        self.runs = collections.Counter()
        self.reported_not_run = set()
        self.verifier = TokenVerifier({1: SECRET})
        self.processes = {name: self.boot(name) for name in "ab"}

    def boot(self, name):
        self.boots += 1
        return Process(OffsetClock(self.clock, self.skews[name]), name, self.boots)

    @rule(
        index=st.integers(0, 3),
        name=NAMES,
        owner=NAMES,
        copies=st.integers(1, 3),
        wait=st.sampled_from([5000, 100]),
    )
    def submit(self, index, name, owner, copies, wait):
        """Submits or repeats a key; the owner issues the token of a new key."""
        while index >= len(self.keys):
            process = self.processes[owner]
            text = process.issuer.issue(process.ledger.get_unix_ms())
            self.keys.append(f"{text}.{len(self.keys)}")
        message = Message(self.keys[index], name, self.clock.monotonic() + wait)
        self.pending += [message] * copies

    @precondition(lambda self: self.pending)
    @rule(
        steps=st.lists(
            st.tuples(st.integers(0, 5), SERVER_RESULTS), min_size=1, max_size=4
        )
    )
    def progress(self, steps):
        """Advances messages and jobs; one that is never chosen is lost or paused."""
        self.progressed += 1
        for index, result in steps:
            if self.pending:
                self.move(self.pending.pop(index % len(self.pending)), result)

    def move(self, item, result):
        if isinstance(item, Message):
            job = self.handle(item)
            self.pending += [job] if job else []
        elif not item.sent:
            self.send(item)
        else:
            self.serve(item, result)

    def handle(self, message):
        process = self.processes[message.vm]
        token = self.verifier.verify_key(message.key)
        if not process.ledger.owns(token.boot_id):
            return self.forward(message, token)
        request = make_request(message)
        admission = process.ledger.begin(message.key, compute_digest(request), token)
        if admission.action is Action.RUN:
            return Job(message.key, process, message.deadline)
        if admission.action is not Action.JOIN:
            self.report_outcome(message.key, admission.outcome)
        return None

    def forward(self, message, token):
        hop = ForwardingUpstream(self, message)
        headers = [("Lavendermast-Forwarded", "x")] if message.hop else []
        forwarder = Forwarder(hop, self.find_owner)
        request = make_request(message, headers)
        reply = forwarder.forward(request, token, message.deadline)
        if hop.job is None:
            self.report_outcome(message.key, reply.outcome)
        return hop.job

    def find_owner(self, token):
        boot = self.continued.get(token.boot_id, token.boot_id)
        for name, process in self.processes.items():
            if process.boot_id == boot:
                return name
        return token.vm

    def send(self, job):
        """A paused process resumes here: its deadline is checked before it sends."""
        if self.clock.monotonic() >= job.deadline:
            job.process.ledger.mark_not_run(job.key)
            self.report_outcome(job.key, Outcome.NOT_RUN)
            return
        self.pending.append(attrs.evolve(job, sent=True))

    def serve(self, job, status):
        ledger = job.process.ledger
        if status == "shed":
            ledger.mark_not_run(job.key)
            self.report_outcome(job.key, Outcome.NOT_RUN)
            return
        if status != "lost":
            self.run(job.key)
        if status == "ok":
            ledger.finish(job.key, 200, [], b"x")
        else:
            ledger.mark_unknown(job.key)

    @precondition(lambda self: self.failed <= self.progressed)
    @rule(
        kind=st.sampled_from(["advance", "restart", "stop", "hand over", "roll"]),
        name=NAMES,
        seconds=st.sampled_from([30, 70, 920]),
        index=st.integers(0, 3),
        acknowledged=st.booleans(),
    )
    def fail(self, kind, name, seconds, index, acknowledged):
        self.failed += 1
        if kind == "advance":
            self.clock.advance(seconds)
        elif kind == "restart":
            # Jobs that the old process sent may still run.
            self.processes[name] = self.boot(name)
        elif kind == "stop":
            self.stop(name)
        elif kind == "roll":
            self.stop(name)
            for handover in self.handovers[:]:
                self.hand_over(*handover, acknowledged)
            self.processes[name] = self.boot(name)
        elif self.handovers:
            self.hand_over(*self.handovers[index % len(self.handovers)], acknowledged)

    def stop(self, name):
        ledger = self.processes[name].ledger
        if not ledger.frozen:
            ledger.freeze(self.processes[OTHER[name]].boot_id)
        self.handovers += [(name, part) for part in ledger.export_handovers()]

    def hand_over(self, name, part, acknowledged):
        """Handovers stay in the list, so they are also duplicated and delayed."""
        target = self.processes[OTHER[name]]
        if target.ledger.import_handover(part) and acknowledged:
            self.continued[part.boot_id] = target.boot_id

    # Changes of state that check at-most-once execution and the reported outcomes.

    def run(self, key):
        self.runs[key] += 1
        assert self.runs[key] == 1, "second run"
        assert key not in self.reported_not_run, "ran after not-run was reported"

    def report_outcome(self, key, outcome):
        if outcome is Outcome.NOT_RUN:
            assert self.runs[key] == 0, "not-run was reported after a run"
            self.reported_not_run.add(key)


class ForwardingUpstream:
    """Upstream of a forwarder that delivers to the owner within the model."""

    def __init__(self, fleet, message):
        self.fleet, self.message, self.job = fleet, message, None
        self.outcome = None

    def send(self, request, server, deadline, cancellation=None):
        fleet = self.fleet
        original = fleet.report_outcome
        fleet.report_outcome = lambda key, outcome: setattr(self, "outcome", outcome)
        try:
            message = attrs.evolve(self.message, vm=server.address, hop=True)
            self.job = fleet.handle(message)
        finally:
            fleet.report_outcome = original
        if self.outcome is None:
            return AttemptResult(server.name, AttemptStatus.TIMEOUT)
        headers = [("Lavendermast-Outcome", self.outcome.value)]
        return AttemptResult(server.name, AttemptStatus.OK, 0, 504, headers)


def make_request(message, headers=()):
    return CallerRequest(
        "r",
        "POST",
        "/o",
        "",
        list(headers),
        b"",
        "c",
        message.deadline,
        0,
        0,
        message.key,
    )


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=300, stateful_step_count=40)
