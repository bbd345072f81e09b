"""Searches message schedules for a second run and for a false not-run."""

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, multiple, rule

from lavendermast.clock import ManualClock
from lavendermast.forwarding import Forwarder
from lavendermast.ledger import Action, Ledger
from lavendermast.models import AttemptResult, AttemptStatus, CallerRequest, Outcome
from lavendermast.submissions import compute_digest
from lavendermast.tokens import TokenIssuer, TokenVerifier

SECRET = b"0123456789abcdef"
NAMES = st.sampled_from(["a", "b"])
CAPACITY = 4


class OffsetClock(ManualClock):
    """One VM's clock: shared monotonic time, wall time of its own."""

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
    """A request on its way to a VM; ``hop`` is set once it was forwarded."""

    key: str
    vm: str
    deadline: float
    hop: bool = False


@attrs.frozen
class Job:
    """A key that a process admitted; ``sent`` once it is on its way to a server."""

    key: str
    process: Process
    deadline: float


class Fleet(RuleBasedStateMachine):
    """Two VMs, their messages, and a server that counts runs."""

    keys = Bundle("keys")
    messages = Bundle("messages")
    jobs = Bundle("jobs")
    sent = Bundle("sent")
    handovers = Bundle("handovers")

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.skews = {"a": 0.0, "b": -40.0}
        self.boots = 0
        self.continued = {}
        self.runs = {}
        self.told_not_run = set()
        self.verifier = TokenVerifier({1: SECRET})
        self.processes = {name: self.boot(name) for name in "ab"}

    def boot(self, name):
        self.boots += 1
        return Process(OffsetClock(self.clock, self.skews[name]), name, self.boots)

    # Caller.

    @rule(target=keys, name=NAMES)
    def make_key(self, name):
        process = self.processes[name]
        return f"{process.issuer.issue(process.ledger.get_unix_ms())}.{len(self.runs)}"

    @rule(
        target=messages,
        key=keys,
        name=NAMES,
        copies=st.integers(1, 3),
        wait=st.sampled_from([1, 100, 2000]),
    )
    def submit(self, key, name, copies, wait):
        self.runs.setdefault(key, 0)
        message = Message(key, name, self.clock.monotonic() + wait)
        return multiple(*[message] * copies)

    # Fleet.

    @rule(target=jobs, message=consumes(messages))
    def deliver(self, message):
        """A message that is never delivered is lost; a late one was delayed."""
        job = self.handle(message)
        return multiple(*[job] if job else [])

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
            self.tell(message.key, admission.outcome)
        return None

    def forward(self, message, token):
        hop = _Hop(self, message)
        headers = [("Lavendermast-Forwarded", "x")] if message.hop else []
        forwarder = Forwarder(hop, self.find_owner)
        request = make_request(message, headers)
        reply = forwarder.forward(request, token, message.deadline)
        if hop.job is None:
            self.tell(message.key, reply.outcome)
        return hop.job

    def find_owner(self, token):
        boot = self.continued.get(token.boot_id, token.boot_id)
        for name, process in self.processes.items():
            if process.boot_id == boot:
                return name
        return token.vm

    @rule(target=sent, job=consumes(jobs))
    def send(self, job):
        """A paused process resumes here: its deadline is checked before it sends."""
        if self.clock.monotonic() >= job.deadline:
            job.process.ledger.release(job.key)
            self.tell(job.key, Outcome.NOT_RUN)
            return multiple()
        return job

    @rule(job=consumes(sent), status=st.sampled_from(["ok", "late", "shed", "lost"]))
    def serve(self, job, status):
        ledger = job.process.ledger
        if status == "shed":
            ledger.release(job.key)
            self.tell(job.key, Outcome.NOT_RUN)
            return
        if status != "lost":
            self.run(job.key)
        if status == "ok":
            ledger.finish(job.key, 200, [], b"x")
        else:
            ledger.mark_unknown(job.key)

    # Faults.

    @rule(seconds=st.sampled_from([0.5, 30, 70, 1000]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @rule(name=NAMES)
    def restart(self, name):
        """Jobs of the old process that were sent may still run."""
        self.processes[name] = self.boot(name)

    @rule(target=handovers, name=NAMES)
    def stop(self, name):
        source = self.processes[name]
        target = self.processes["b" if name == "a" else "a"]
        if not source.ledger.frozen:
            source.ledger.freeze(target.boot_id)
        return multiple(
            *[(name, source.boot_id, part) for part in source.ledger.export_handovers()]
        )

    @rule(handover=handovers, acknowledged=st.booleans())
    def hand_over(self, handover, acknowledged):
        """Handovers stay in the bundle, so they are also doubled and late."""
        name, boot_id, part = handover
        target = self.processes["b" if name == "a" else "a"]
        if target.ledger.import_handover(part) and acknowledged:
            self.continued[boot_id] = target.boot_id

    # What must hold.

    def run(self, key):
        self.runs[key] += 1
        assert self.runs[key] == 1, "second run"
        assert key not in self.told_not_run, "ran after not-run was told"

    def tell(self, key, outcome):
        if outcome is Outcome.NOT_RUN:
            assert self.runs[key] == 0, "not-run was told after a run"
            self.told_not_run.add(key)


class _Hop:
    """The upstream of a forwarder: delivers to the owner within the model."""

    def __init__(self, fleet, message):
        self.fleet, self.message, self.job = fleet, message, None
        self.outcome = None

    def send(self, request, server, deadline, cancelled=None):
        fleet = self.fleet
        told = fleet.tell
        fleet.tell = lambda key, outcome: setattr(self, "outcome", outcome)
        try:
            message = attrs.evolve(self.message, vm=server.address, hop=True)
            self.job = fleet.handle(message)
        finally:
            fleet.tell = told
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
