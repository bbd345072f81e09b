"""Failure detector: pings other members, directly and through helpers."""

import attrs

from lavendermast.lifecycle import PauseDetector
from lavendermast.membership import SUSPICION_TIMEOUT_S
from lavendermast.messages_model import Ack, MemberUpdate, Ping, PingRequest

TICK_S = 0.1
PING_INTERVAL_S = 0.5
DIRECT_TIMEOUT_S = 0.2
#: Added for a target in another region: 20 ms of latency and room for queueing.
REGION_TIMEOUT_S = 0.1
#: An indirect ping takes four one-way trips, two of them possibly between regions.
INDIRECT_TIMEOUT_S = 0.4
#: No VM is marked suspect or dead for this long after a pause, since the member table
#: is outdated and acks may still be queued.
RESUME_GRACE_S = 2.0
#: Interval of pings to listed VMs and seeds that are not live members.
CONTACT_INTERVAL_S = 5.0
MAX_RELAYS = 1_000
#: Unconfirmed deaths that are checked with a ping in one ping interval.
MAX_DEATH_CHECKS = 8
MAX_UNCONFIRMED_DEATHS = 4_096


@attrs.define
class PendingPing:
    """
    A ping whose ack has not arrived yet.

    :param indirect: whether helpers were asked to ping the target.
    """

    target: MemberUpdate
    deadline: float
    indirect: bool = False


@attrs.define
class Relay:
    """
    An indirect ping sent on behalf of another VM.

    :param address: address of the VM that asked for it.
    :param sequence: sequence number of that VM's own ping, for the ack to it.
    """

    target: str
    address: str
    sequence: int
    deadline: float


class FailureDetector:
    """
    Monitors other members with pings.

    It pings the VM's successors on the ring, one random nearby member, and members that
    were reported dead without confirmation.

    :meth:`advance` must be called every :data:`TICK_S`; :meth:`run` does that.
    """

    def __init__(self, membership, gossip, transport, clock, random, record_event):
        self._membership = membership
        self._gossip = gossip
        self._transport = transport
        self._clock = clock
        self._random = random
        self._sequence = random.getrandbits(32)
        self._pending_pings = {}
        self._pending_sequences = {}
        self._relays = {}
        self._unconfirmed_deaths = {}
        now = clock.monotonic()
        self._grace_until = now
        self._next_ping = now + random.uniform(0, PING_INTERVAL_S)
        self._next_contact = now + random.uniform(0, CONTACT_INTERVAL_S)
        self.on_ack = []
        self.pause_detector = PauseDetector(clock, TICK_S, record_event)
        self.pause_detector.on_pause.append(self._reset_after_pause)
        gossip.on_unconfirmed_deaths = self._add_unconfirmed_deaths
        transport.register(Ping, self._handle_ping)
        transport.register(PingRequest, self._handle_ping_request)
        transport.register(Ack, self._handle_ack)

    def run(self):
        """Call :meth:`advance` until the task is killed."""
        while True:
            self._clock.sleep(TICK_S)
            self._transport.run_safely(self.advance)

    def advance(self):
        """Expire pings, send the pings that are due and flush queued gossip."""
        delay = self.pause_detector.check()
        if delay:
            self._postpone(delay)
        now = self._clock.monotonic()
        self._expire_pending_pings(now)
        self._drop_relays(now)
        if now >= self._next_ping:
            self._next_ping = max(self._next_ping + PING_INTERVAL_S, now)
            self._ping_members()
        if now >= self._next_contact:
            self._next_contact = now + CONTACT_INTERVAL_S * self._random.uniform(0.5, 1)
            self._contact_missing_vm()
        if now >= self._grace_until:
            self._gossip.enqueue(self._membership.expire())
        self._gossip.advance()

    def _ping_members(self):
        targets = self._membership.get_successors()
        names = [target.vm for target in targets]
        nearby = self._membership.pick_nearby_member(names)
        if nearby is not None:
            targets.append(nearby)
        for target in targets:
            self._start_ping(target)
        for vm in list(self._unconfirmed_deaths)[:MAX_DEATH_CHECKS]:
            death = self._unconfirmed_deaths.pop(vm)
            target = self._membership.get_member(vm)
            if target is not None and target.state in ("alive", "starting"):
                self._start_ping(target, (death,))

    def _start_ping(self, target, extra=()):
        if target.vm in self._pending_sequences and not extra:
            return
        timeout = DIRECT_TIMEOUT_S
        if target.region != self._membership.local_member.region:
            timeout += REGION_TIMEOUT_S
        sequence = self._next_sequence()
        deadline = self._clock.monotonic() + timeout
        self._pending_pings[sequence] = PendingPing(target, deadline)
        self._pending_sequences[target.vm] = sequence
        self._send_ping(target, sequence, extra)

    def _send_ping(self, target, sequence, extra=()):
        piggyback = self._gossip.make_piggyback(target.vm, extra)
        self._transport.send(target.peer_address, Ping(sequence, piggyback))

    def contact(self, address):
        """Ping a VM that may not know this one."""
        piggyback = self._gossip.make_piggyback(introduce=True)
        self._transport.send(address, Ping(self._next_sequence(), piggyback))

    def _contact_missing_vm(self):
        """Ping a listed VM or seed that is no live member, to heal partitions."""
        address = self._membership.pick_missing_address()
        if address:
            self.contact(address)

    def _expire_pending_pings(self, now):
        due = [
            key
            for key, pending in self._pending_pings.items()
            if pending.deadline <= now
        ]
        for sequence in due:
            pending = self._pending_pings[sequence]
            if pending.indirect:
                self._remove_pending_ping(sequence)
                self._suspect_target(pending)
            else:
                self._request_indirect_pings(sequence, pending, now)

    def _request_indirect_pings(self, sequence, pending, now):
        pending.indirect = True
        pending.deadline = now + INDIRECT_TIMEOUT_S
        self._send_ping(pending.target, sequence)
        for helper in self._membership.pick_helpers(pending.target):
            body = PingRequest(sequence, pending.target.vm)
            self._transport.send(helper.peer_address, body)

    def _suspect_target(self, pending):
        target = pending.target
        known = self._membership.get_member(target.vm)
        unchanged = (known.boot_id, known.incarnation) == (
            target.boot_id,
            target.incarnation,
        )
        if unchanged and self._clock.monotonic() >= self._grace_until:
            self._gossip.announce(self._membership.mark_suspect(target.vm, "no_ack"))

    def _remove_pending_ping(self, sequence):
        pending = self._pending_pings.pop(sequence)
        if self._pending_sequences.get(pending.target.vm) == sequence:
            del self._pending_sequences[pending.target.vm]

    def _handle_ping(self, envelope, address):
        ping = envelope.body
        self._gossip.receive(envelope, address, ping.piggyback)
        sender = self._membership.get_member(envelope.sender)
        introduce = sender is None or sender.state == "starting"
        piggyback = self._gossip.make_piggyback(envelope.sender, introduce=introduce)
        ack = Ack(ping.sequence, self._membership.local_member.vm, piggyback)
        self._transport.send(address, ack)

    def _handle_ping_request(self, envelope, address):
        target = self._membership.get_member(envelope.body.target)
        if target is None or len(self._relays) >= MAX_RELAYS:
            return
        sequence = self._next_sequence()
        deadline = self._clock.monotonic() + INDIRECT_TIMEOUT_S
        relay = Relay(target.vm, address, envelope.body.sequence, deadline)
        self._relays[sequence] = relay
        self._send_ping(target, sequence)

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
        pending = self._pending_pings.get(ack.sequence)
        if pending is None or pending.target.vm != ack.target:
            return
        direct = envelope.sender == ack.target
        if direct and envelope.boot_id != pending.target.boot_id:
            return
        self._remove_pending_ping(ack.sequence)
        self._membership.record_response(ack.target)

    def _add_unconfirmed_deaths(self, unconfirmed_deaths):
        for death in unconfirmed_deaths:
            if len(self._unconfirmed_deaths) < MAX_UNCONFIRMED_DEATHS:
                self._unconfirmed_deaths[death.vm] = death

    def _drop_relays(self, now):
        due = [key for key, relay in self._relays.items() if relay.deadline <= now]
        for sequence in due:
            del self._relays[sequence]

    def _postpone(self, delay):
        """Extend all deadlines by a delay in which no ack was read from the socket."""
        for pending in self._pending_pings.values():
            pending.deadline += delay
        self._membership.postpone(delay)

    def _reset_after_pause(self, delay):
        """
        Reset the state after a pause, since the member table is outdated.

        Discards the pending pings, relays and unconfirmed deaths, postpones the
        suspicion timeouts and announces this VM again.
        """
        now = self._clock.monotonic()
        self._pending_pings.clear()
        self._pending_sequences.clear()
        self._relays.clear()
        self._unconfirmed_deaths.clear()
        self._grace_until = now + RESUME_GRACE_S
        self._membership.postpone(SUSPICION_TIMEOUT_S)
        self._gossip.introduce()
        self._gossip.announce([self._membership.raise_incarnation("paused")])

    def _next_sequence(self):
        self._sequence = (self._sequence + 1) % 2**64
        return self._sequence
