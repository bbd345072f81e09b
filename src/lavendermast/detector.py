"""Failure detector: pings the successors on the ring, directly and through helpers."""

import attrs

from lavendermast.lifecycle import PauseDetector
from lavendermast.membership import SUSPICION_S
from lavendermast.messages_model import Ack, MemberUpdate, Ping, PingRequest

TICK_S = 0.1
PERIOD_S = 0.5
DIRECT_TIMEOUT_S = 0.2
#: Added when the target is in another region, 20 ms away, with room for queueing.
REGION_TIMEOUT_S = 0.1
#: An indirect ping takes four legs, two of them possibly between regions.
INDIRECT_TIMEOUT_S = 0.4
#: After a pause the own view is old and acks of others may still be queued.
QUIET_S = 2.0
CONTACT_INTERVAL_S = 5.0
MAX_RELAYS = 1_000
#: Statements about dead members that are checked in one period.
MAX_CLAIM_CHECKS = 8
MAX_CLAIMS = 4_096


@attrs.define
class Check:
    """A ping that waits for its ack."""

    target: MemberUpdate
    deadline: float
    indirect: bool = False


@attrs.define
class Relay:
    """An indirect ping made for another VM."""

    target: str
    address: str
    sequence: int
    deadline: float


class FailureDetector:
    """
    Monitors the VM's successors on the ring.

    :meth:`advance` must be called every :data:`TICK_S`; :meth:`run` does that.
    """

    def __init__(self, membership, gossip, transport, clock, random, record_event):
        self._membership = membership
        self._gossip = gossip
        self._transport = transport
        self._clock = clock
        self._random = random
        self._sequence = random.getrandbits(32)
        self._checks = {}
        self._checked = {}
        self._relays = {}
        self._claims = {}
        now = clock.monotonic()
        self._quiet_until = now
        self._next_period = now + random.uniform(0, PERIOD_S)
        self._next_contact = now + random.uniform(0, CONTACT_INTERVAL_S)
        self.on_ack = []
        self.pauses = PauseDetector(clock, TICK_S, record_event)
        self.pauses.on_pause.append(self._resume)
        gossip.on_claims = self._add_claims
        transport.register(Ping, self._handle_ping)
        transport.register(PingRequest, self._handle_ping_request)
        transport.register(Ack, self._handle_ack)

    def run(self):
        """Call :meth:`advance` until the task is killed."""
        while True:
            self._clock.sleep(TICK_S)
            self._transport.guard(self.advance)

    def advance(self):
        """Do what is due."""
        late = self.pauses.check()
        if late:
            self._postpone(late)
        now = self._clock.monotonic()
        self._expire_checks(now)
        self._drop_relays(now)
        if now >= self._next_period:
            self._next_period = max(self._next_period + PERIOD_S, now)
            self._ping_members()
        if now >= self._next_contact:
            self._next_contact = now + CONTACT_INTERVAL_S * self._random.uniform(0.5, 1)
            self._contact_lost()
        if now >= self._quiet_until:
            self._gossip.enqueue(self._membership.expire())
        self._gossip.advance()

    def _ping_members(self):
        targets = self._membership.get_successors()
        names = [target.vm for target in targets]
        neighbour = self._membership.pick_neighbour(names)
        if neighbour is not None:
            targets.append(neighbour)
        for target in targets:
            self._start_check(target)
        for vm in list(self._claims)[:MAX_CLAIM_CHECKS]:
            claim = self._claims.pop(vm)
            target = self._membership.get_member(vm)
            if target is not None and target.state in ("alive", "starting"):
                self._start_check(target, (claim,))

    def _start_check(self, target, extra=()):
        if target.vm in self._checked and not extra:
            return
        timeout = DIRECT_TIMEOUT_S
        if target.region != self._membership.own.region:
            timeout += REGION_TIMEOUT_S
        sequence = self._next_sequence()
        deadline = self._clock.monotonic() + timeout
        self._checks[sequence] = Check(target, deadline)
        self._checked[target.vm] = sequence
        self._ping(target, sequence, extra)

    def _ping(self, target, sequence, extra=()):
        piggyback = self._gossip.make_piggyback(target.vm, extra)
        self._transport.send(target.peer_address, Ping(sequence, piggyback))

    def contact(self, address):
        """Ping a VM that may not know this one."""
        piggyback = self._gossip.make_piggyback(introduce=True)
        self._transport.send(address, Ping(self._next_sequence(), piggyback))

    def _contact_lost(self):
        """Ping one listed VM that is no live member, so that partitions heal."""
        address = self._membership.pick_lost()
        if address:
            self.contact(address)

    def _expire_checks(self, now):
        due = [key for key, check in self._checks.items() if check.deadline <= now]
        for sequence in due:
            check = self._checks[sequence]
            if check.indirect:
                self._finish_check(sequence)
                self._fail(check)
            else:
                self._ask_helpers(sequence, check, now)

    def _ask_helpers(self, sequence, check, now):
        check.indirect = True
        check.deadline = now + INDIRECT_TIMEOUT_S
        self._ping(check.target, sequence)
        for helper in self._membership.pick_helpers(check.target):
            body = PingRequest(sequence, check.target.vm)
            self._transport.send(helper.peer_address, body)

    def _fail(self, check):
        target = check.target
        known = self._membership.get_member(target.vm)
        same = (known.boot_id, known.incarnation) == (
            target.boot_id,
            target.incarnation,
        )
        if same and self._clock.monotonic() >= self._quiet_until:
            self._gossip.announce(self._membership.mark_suspect(target.vm, "no_ack"))

    def _finish_check(self, sequence):
        check = self._checks.pop(sequence)
        if self._checked.get(check.target.vm) == sequence:
            del self._checked[check.target.vm]

    def _handle_ping(self, envelope, address):
        ping = envelope.body
        self._gossip.receive(envelope, address, ping.piggyback)
        sender = self._membership.get_member(envelope.sender)
        introduce = sender is None or sender.state == "starting"
        piggyback = self._gossip.make_piggyback(envelope.sender, introduce=introduce)
        ack = Ack(ping.sequence, self._membership.own.vm, piggyback)
        self._transport.send(address, ack)

    def _handle_ping_request(self, envelope, address):
        target = self._membership.get_member(envelope.body.target)
        if target is None or len(self._relays) >= MAX_RELAYS:
            return
        sequence = self._next_sequence()
        deadline = self._clock.monotonic() + INDIRECT_TIMEOUT_S
        relay = Relay(target.vm, address, envelope.body.sequence, deadline)
        self._relays[sequence] = relay
        self._ping(target, sequence)

    def _handle_ack(self, envelope, address):
        ack = envelope.body
        self._gossip.receive(envelope, address, ack.piggyback)
        if envelope.sender == ack.target:
            for callback in self.on_ack:
                callback(envelope.sender, ack.piggyback.versions)
        relay = self._relays.get(ack.sequence)
        if relay is not None and relay.target == envelope.sender:
            del self._relays[ack.sequence]
            body = Ack(relay.sequence, relay.target)
            self._transport.send(relay.address, body)
            return
        check = self._checks.get(ack.sequence)
        if check is None or check.target.vm != ack.target:
            return
        direct = envelope.sender == ack.target
        if direct and envelope.boot_id != check.target.boot_id:
            return
        self._finish_check(ack.sequence)
        self._membership.note_response(ack.target)

    def _add_claims(self, claims):
        for claim in claims:
            if len(self._claims) < MAX_CLAIMS:
                self._claims[claim.vm] = claim

    def _drop_relays(self, now):
        due = [key for key, relay in self._relays.items() if relay.deadline <= now]
        for sequence in due:
            del self._relays[sequence]

    def _postpone(self, late):
        """Give acks that wait in the socket the time in which nothing was read."""
        for check in self._checks.values():
            check.deadline += late
        self._membership.postpone(late)

    def _resume(self, late):
        """Forget what was pending before a pause; the view is old."""
        now = self._clock.monotonic()
        self._checks.clear()
        self._checked.clear()
        self._relays.clear()
        self._claims.clear()
        self._quiet_until = now + QUIET_S
        self._membership.postpone(SUSPICION_S)
        self._gossip.introduce()
        self._gossip.announce([self._membership.raise_incarnation("paused")])

    def _next_sequence(self):
        self._sequence = (self._sequence + 1) % 2**64
        return self._sequence
