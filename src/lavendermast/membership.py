"""Membership of the fleet: merging updates, refutation, suspicion timers."""

import attrs

from lavendermast.members import STATE_RANKS, MemberTable, get_order
from lavendermast.messages_model import MemberUpdate

#: A suspect, or a leaving VM that stopped responding, is dead after this time.
SUSPICION_S = 6.0


@attrs.define
class MergeResult:
    """
    What a merge found.

    :param changed: updates that changed the table, the own one included.
    :param corrections: entries of the table that are newer than what was received.
    :param claims: statements that a VM is dead which the table holds as alive.
    """

    changed: list = attrs.Factory(list)
    corrections: list = attrs.Factory(list)
    claims: list = attrs.Factory(list)


class Membership(MemberTable):
    """
    The members of the fleet as one VM knows them.

    :param own: first update about this VM.
    :param record_event: called as ``record_event(event, **fields)``.
    :param seeds: peer addresses that are admitted beside members and listed VMs.
    """

    def __init__(self, own, clock, random, record_event, seeds=()):
        super().__init__(own, clock, random)
        self.on_change = []
        self.on_replaced = []
        self.changed_at = clock.monotonic()
        self._record_event = record_event
        self.seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._listed = {}
        self._replaced_by = 0

    @classmethod
    def from_settings(cls, settings, clock, random, record_event):
        """Return the table of a starting process, with a new boot id."""
        own = MemberUpdate(
            vm=settings.vm,
            boot_id=random.getrandbits(64) or 1,
            boot_time=clock.get_unix_ms(),
            state="starting",
            region=settings.region,
            zone=settings.zone,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
        )
        return cls(own, clock, random, record_event, settings.seeds)

    def set_listed(self, vms):
        """
        Replace the VM list.

        :param vms: mapping of VM name to peer address, live and leaving VMs.
        """
        self._listed = {vm: address for vm, address in vms.items() if vm != self.own.vm}

    def set_own_state(self, state, continued_by=0):
        """Announce another state of this VM under a higher incarnation."""
        self._set_own("own", state=state, continued_by=continued_by)
        return self.own

    def raise_incarnation(self, cause):
        """Contradict what others may say about this VM."""
        self._set_own(cause)
        return self.own

    def merge(self, updates, cause="gossip"):
        """
        Take updates in, ignoring those that are older than the table.

        :return: a :class:`MergeResult`.
        """
        result = MergeResult()
        for update in updates:
            if update.state not in STATE_RANKS or not update.vm:
                continue
            if update.vm == self.own.vm:
                self._merge_own(update, result)
            else:
                self._merge_other(update, cause, result)
        return result

    def mark_suspect(self, vm, cause):
        """
        Suspect a VM that did not respond.

        :return: updates to announce; none for a leaving VM, which is only timed.
        """
        member = self._members[vm]
        if member.update.state == "leaving":
            if member.deadline is None:
                self._set_deadline(vm, member, SUSPICION_S)
            return []
        if member.update.state not in ("alive", "starting"):
            return []
        return [self._apply(attrs.evolve(member.update, state="suspect"), cause)]

    def note_response(self, vm):
        """Stop the timer of a leaving VM that responded."""
        member = self._members.get(vm)
        if member and member.update.state == "leaving":
            member.deadline = None
            self._timed.pop(vm, None)

    def expire(self):
        """Mark members dead whose time is over and return their updates."""
        now = self._clock.monotonic()
        due = [vm for vm in self._timed if self._members[vm].deadline <= now]
        updates = []
        for vm in due:
            update = self._members[vm].update
            cause = "left" if update.state == "leaving" else "timeout"
            updates.append(self._apply(attrs.evolve(update, state="dead"), cause))
        return updates

    def postpone(self, seconds):
        """Move all timers back, since this process did not run for that time."""
        for vm in self._timed:
            self._members[vm].deadline += seconds

    def pick_lost(self):
        """Return the address of a listed VM or seed that is no live member."""
        addresses = [*self._listed.values(), *self.seeds]
        lost = [address for address in addresses if not self._is_live(address)]
        return self._random.choice(lost) if lost else None

    def _is_live(self, address):
        member = self.get_member(self._addresses.get(address))
        return member is not None and member.state != "dead"

    def find_refusal(self, envelope, address):
        """Return why a message is dropped, or ``None`` when its sender is admitted."""
        sender, boot_id = envelope.sender, envelope.boot_id
        if sender == self.own.vm and boot_id == self.own.boot_id:
            return "own_frame"
        member = self.get_member(sender)
        if member is not None and member.boot_id == boot_id:
            return None
        if self._is_introduction(envelope):
            return None
        if member is not None:
            return "unknown_boot"
        if sender in self._listed or address in self.seeds:
            return None
        return "unknown_sender"

    def _is_introduction(self, envelope):
        body = getattr(envelope.body, "piggyback", envelope.body)
        return any(
            update.vm == envelope.sender
            and update.boot_id == envelope.boot_id
            and update.state != "dead"
            for update in getattr(body, "updates", ())
        )

    def _merge_own(self, update, result):
        own = self.own
        if update.boot_id != own.boot_id:
            self._merge_namesake(update, result)
            return
        refuted = update.state in ("suspect", "dead") or update.state != own.state
        if update.incarnation > own.incarnation or (
            update.incarnation == own.incarnation and refuted
        ):
            self._set_own("refuted", incarnation=update.incarnation + 1)
            result.changed.append(self.own)
        elif update.incarnation < own.incarnation:
            result.corrections.append(own)

    def _merge_namesake(self, update, result):
        """Settle which of two processes with this VM's name is the newer one."""
        if get_order(update)[:2] < get_order(self.own)[:2]:
            result.corrections.append(self.own)
        elif self.own.state == "starting":
            # The previous process ran on a host whose clock was ahead.
            self._set_own("clock", boot_time=update.boot_time + 1)
            result.changed.append(self.own)
        elif update.boot_id != self._replaced_by:
            self._replaced_by = update.boot_id
            self._record(update, self.own.state, "replaced")
            for callback in self.on_replaced:
                callback(update)

    def _merge_other(self, update, cause, result):
        member = self._members.get(update.vm)
        if member is not None:
            known = member.update
            if get_order(update) <= get_order(known):
                if get_order(update) < get_order(known):
                    result.corrections.append(known)
                return
            if self._is_claim(update, known):
                result.claims.append(update)
                return
        elif update.state == "dead":
            return
        result.changed.append(self._apply(update, cause))

    @staticmethod
    def _is_claim(update, known):
        # A dead state follows six seconds of suspicion. One that comes without is from
        # the other part of a partition, or the suspicion was lost: it is checked first.
        return (
            update.state == "dead"
            and update.boot_id == known.boot_id
            and known.state in ("alive", "starting")
        )

    def _apply(self, update, cause):
        """Store an update that is newer than the table; return it as stored."""
        update, cause = self._settle_address(update, cause)
        previous = self.get_member(update.vm)
        member = self._store(update)
        if update.state == "suspect":
            self._set_deadline(update.vm, member, SUSPICION_S)
        self._notify(update, previous, cause)
        return update

    def _settle_address(self, update, cause):
        """Keep only the newest process of an address; the others are dead."""
        holder = self._addresses.get(update.peer_address)
        if update.state == "dead" or holder == update.vm or not update.peer_address:
            return update, cause
        other = self.get_member(holder) if holder else None
        if other is not None and other.peer_address == update.peer_address:
            if get_order(other)[:2] > get_order(update)[:2] or other is self.own:
                return attrs.evolve(update, state="dead"), "replaced"
            if other.state != "dead":
                self._apply(attrs.evolve(other, state="dead"), "replaced")
        self._addresses[update.peer_address] = update.vm
        return update, cause

    def _set_own(self, cause, **changes):
        previous = self.own
        changes.setdefault("incarnation", previous.incarnation + 1)
        self.own = attrs.evolve(previous, **changes)
        self._digest ^= self._hash_update(previous) ^ self._hash_update(self.own)
        self._notify(self.own, previous, cause)

    def _notify(self, update, previous, cause):
        self.changed_at = self._clock.monotonic()
        self._record(update, previous.state if previous else "-", cause)
        for callback in self.on_change:
            callback(update, previous)

    def _record(self, update, previous, cause):
        self._record_event(
            "member",
            member=update.vm,
            state=update.state,
            previous=previous,
            incarnation=update.incarnation,
            cause=cause,
        )
