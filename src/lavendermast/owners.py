"""Finds the process that owns an idempotency token."""

#: Takeovers are kept longer than any token is remembered by default.
TAKEOVER_TTL_S = 3600.0
MAX_TAKEOVERS = 10_000


class OwnerTable:
    """
    Tracks which process took over a ledger in a graceful shutdown.

    :param membership: the member table.
    """

    def __init__(self, membership, clock):
        self._membership = membership
        self._clock = clock
        self._takeovers = {}

    def apply_update(self, update):
        """Record the process that took over a member's ledger, if there is one."""
        if not update.continued_by:
            return
        now = self._clock.monotonic()
        if len(self._takeovers) >= MAX_TAKEOVERS:
            self._takeovers = {
                boot_id: item
                for boot_id, item in self._takeovers.items()
                if item[1] > now
            }
        self._takeovers[update.boot_id] = (
            update.continued_by,
            now + TAKEOVER_TTL_S,
        )

    def find_owner(self, token):
        """Return the caller address of a token's owner, or ``None`` if unknown."""
        member = self._membership.get_member(token.vm)
        boot_id = token.boot_id
        if (
            member is not None
            and member.boot_id == boot_id
            and not self._is_dead_or_taken_over(member)
        ):
            return member.caller_address
        seen = set()
        while boot_id in self._takeovers and boot_id not in seen:
            seen.add(boot_id)
            boot_id = self._takeovers[boot_id][0]
        if boot_id == token.boot_id:
            return None
        for member in self._membership.get_members():
            if member.boot_id == boot_id:
                return member.caller_address
        return None

    @staticmethod
    def _is_dead_or_taken_over(member):
        return member.state == "dead" or member.continued_by
