"""Membership of the fleet: merging updates, refutation, suspicion timers."""

import attrs

from lavendermast.members import STATE_RANKS, MemberTable, get_precedence
from lavendermast.messages_model import MemberUpdate

#: A suspect VM, or a leaving one that stopped responding, is marked dead after this.
SUSPICION_TIMEOUT_S = 6.0


@attrs.define
class MergeResult:
    """
    Result of merging received updates into the member table.

    :param changed: updates that changed the table, including one about this VM.
    :param corrections: table entries that are newer than the received updates.
    :param unconfirmed_deaths: updates that mark a VM dead which is alive in the table;
        they are not applied, the VM must be pinged first.
    """

    changed: list = attrs.Factory(list)
    corrections: list = attrs.Factory(list)
    unconfirmed_deaths: list = attrs.Factory(list)


class Membership(MemberTable):
    """
    One VM's view of the members of the fleet.

    :param local_member: initial update about this VM.
    :param record_event: called as ``record_event(event, **fields)``.
    :param seeds: peer addresses admitted in addition to members and listed VMs.
    """

    def __init__(self, local_member, clock, random, record_event, seeds=()):
        super().__init__(local_member, clock, random)
        self.on_change = []
        self.on_replaced = []
        self.changed_at = clock.monotonic()
        self._record_event = record_event
        self.seeds = tuple(seed for seed in seeds if seed != local_member.peer_address)
        self._listed = {}
        self._replaced_by = 0

    @classmethod
    def from_settings(cls, settings, clock, random, record_event):
        """Return the table of a starting process, with a new boot id."""
        local_member = MemberUpdate(
            vm=settings.vm,
            boot_id=random.getrandbits(64) or 1,
            boot_time=clock.get_unix_ms(),
            state="starting",
            region=settings.region,
            zone=settings.zone,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
        )
        return cls(local_member, clock, random, record_event, settings.seeds)

    def set_listed(self, vms):
        """
        Replace the VM list.

        :param vms: mapping of VM name to peer address, live and leaving VMs.
        """
        self._listed = {
            vm: address for vm, address in vms.items() if vm != self.local_member.vm
        }

    def set_local_state(self, state, continued_by=0):
        """Change the state of this VM and raise its incarnation."""
        self._set_local_member("own", state=state, continued_by=continued_by)
        return self.local_member

    def raise_incarnation(self, cause):
        """Raise the incarnation of this VM to refute updates of other VMs about it."""
        self._set_local_member(cause)
        return self.local_member

    def merge(self, updates, cause="gossip"):
        """
        Merge updates into the table, ignoring those that are older than its entries.

        :return: a :class:`MergeResult`.
        """
        result = MergeResult()
        for update in updates:
            if update.state not in STATE_RANKS or not update.vm:
                continue
            if update.vm == self.local_member.vm:
                self._merge_local_member(update, result)
            else:
                self._merge_other(update, cause, result)
        return result

    def mark_suspect(self, vm, cause):
        """
        Mark a VM that did not respond as suspect.

        :return: updates to announce; none for a leaving VM, which only gets a deadline.
        """
        member = self._members[vm]
        if member.update.state == "leaving":
            if member.deadline is None:
                self._set_deadline(vm, member, SUSPICION_TIMEOUT_S)
            return []
        if member.update.state not in ("alive", "starting"):
            return []
        return [self._apply(attrs.evolve(member.update, state="suspect"), cause)]

    def record_response(self, vm):
        """Clear the deadline of a leaving VM that responded."""
        member = self._members.get(vm)
        if member and member.update.state == "leaving":
            member.deadline = None
            self._vms_with_deadline.pop(vm, None)

    def expire(self):
        """Mark members whose deadline has passed as dead and return their updates."""
        now = self._clock.monotonic()
        due = [
            vm for vm in self._vms_with_deadline if self._members[vm].deadline <= now
        ]
        updates = []
        for vm in due:
            update = self._members[vm].update
            cause = "left" if update.state == "leaving" else "timeout"
            updates.append(self._apply(attrs.evolve(update, state="dead"), cause))
        return updates

    def postpone(self, seconds):
        """Extend all deadlines, after a time in which no responses were read."""
        for vm in self._vms_with_deadline:
            self._members[vm].deadline += seconds

    def pick_missing_address(self):
        """Return a random address of a listed VM or seed that is not a live member."""
        addresses = [*self._listed.values(), *self.seeds]
        missing = [address for address in addresses if not self._is_live(address)]
        return self._random.choice(missing) if missing else None

    def _is_live(self, address):
        member = self.get_member(self._addresses.get(address))
        return member is not None and member.state != "dead"

    def find_drop_reason(self, envelope, address):
        """Return why a message is dropped, or ``None`` if its sender is admitted."""
        sender, boot_id = envelope.sender, envelope.boot_id
        if sender == self.local_member.vm and boot_id == self.local_member.boot_id:
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

    def _merge_local_member(self, update, result):
        local_member = self.local_member
        if update.boot_id != local_member.boot_id:
            self._merge_other_boot(update, result)
            return
        needs_refutation = (
            update.state in ("suspect", "dead") or update.state != local_member.state
        )
        if update.incarnation > local_member.incarnation or (
            update.incarnation == local_member.incarnation and needs_refutation
        ):
            self._set_local_member("refuted", incarnation=update.incarnation + 1)
            result.changed.append(self.local_member)
        elif update.incarnation < local_member.incarnation:
            result.corrections.append(local_member)

    def _merge_other_boot(self, update, result):
        """Handle an update about another boot of this VM; the newer one wins."""
        if get_precedence(update)[:2] < get_precedence(self.local_member)[:2]:
            result.corrections.append(self.local_member)
        elif self.local_member.state == "starting":
            # The previous process ran on a host whose clock was ahead. With a later
            # boot time this process wins.
            self._set_local_member("clock", boot_time=update.boot_time + 1)
            result.changed.append(self.local_member)
        elif update.boot_id != self._replaced_by:
            self._replaced_by = update.boot_id
            self._record(update, self.local_member.state, "replaced")
            for callback in self.on_replaced:
                callback(update)

    def _merge_other(self, update, cause, result):
        member = self._members.get(update.vm)
        if member is not None:
            known = member.update
            if get_precedence(update) <= get_precedence(known):
                if get_precedence(update) < get_precedence(known):
                    result.corrections.append(known)
                return
            if self._is_unconfirmed_death(update, known):
                result.unconfirmed_deaths.append(update)
                return
        elif update.state == "dead":
            return
        result.changed.append(self._apply(update, cause))

    @staticmethod
    def _is_unconfirmed_death(update, known):
        # A VM that does not respond is marked dead only after six seconds of suspicion.
        # A dead state without a known suspicion comes from the other side of a
        # partition, or the update with the suspicion did not arrive. It must be
        # confirmed before it is applied.
        return (
            update.state == "dead"
            and update.boot_id == known.boot_id
            and known.state in ("alive", "starting")
        )

    def _apply(self, update, cause):
        """Store an update that is newer than the table and return it as stored."""
        update, cause = self._resolve_address_conflict(update, cause)
        previous = self.get_member(update.vm)
        member = self._store(update)
        if update.state == "suspect":
            self._set_deadline(update.vm, member, SUSPICION_TIMEOUT_S)
        self._notify(update, previous, cause)
        return update

    def _resolve_address_conflict(self, update, cause):
        """
        Keep only the newest process at an address and mark the others dead.

        This VM keeps its own address in any case.
        """
        holder = self._addresses.get(update.peer_address)
        if update.state == "dead" or holder == update.vm or not update.peer_address:
            return update, cause
        other = self.get_member(holder) if holder else None
        if other is not None and other.peer_address == update.peer_address:
            if (
                get_precedence(other)[:2] > get_precedence(update)[:2]
                or other is self.local_member
            ):
                return attrs.evolve(update, state="dead"), "replaced"
            if other.state != "dead":
                self._apply(attrs.evolve(other, state="dead"), "replaced")
        self._addresses[update.peer_address] = update.vm
        return update, cause

    def _set_local_member(self, cause, **changes):
        previous = self.local_member
        changes.setdefault("incarnation", previous.incarnation + 1)
        self.local_member = attrs.evolve(previous, **changes)
        self._digest ^= self._hash_update(previous) ^ self._hash_update(
            self.local_member
        )
        self._notify(self.local_member, previous, cause)

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
