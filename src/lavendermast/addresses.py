"""Tells callers which VMs to use."""

from lavendermast.hashing import rank_members

ADDRESSES_PATH = "/.well-known/lavendermast/addresses"


class AddressBook:
    """
    Makes address answers.

    :param policy: object with the current ``config`` and service ``sets``.
    :param get_members: callable that returns the members fit for new callers.
    :param get_issuer: callable that returns the ``tokens.TokenIssuer``.
    :param own: this VM's member record, the fallback when no other fits.
    """

    def __init__(self, policy, get_members, get_issuer, own, clock, record_event):
        self._policy = policy
        self._get_members = get_members
        self._get_issuer = get_issuer
        self._own = own
        self._clock = clock
        self._record_event = record_event

    def answer(self, service, zone, caller):
        """
        Return the addresses for one caller.

        :param service: service that the caller wants, empty for any.
        :param zone: the caller's zone, empty if unknown.
        :param caller: identity that spreads callers over the VMs.
        :return: a mapping as described in docs/callers.md.
        """
        settings = self._policy.config.addresses
        now = self._clock.get_unix_ms()
        members = self._choose(service, zone, caller, settings.count)
        issuer = self._get_issuer()
        tokens = [issuer.issue_for(m.vm, m.boot_id, now) for m in members]
        use_until = now + settings.hold_ms
        self._record_event(
            "address",
            caller=caller,
            service=service or None,
            addresses=",".join(member.vm for member in members),
            use_until=use_until,
        )
        return {
            "addresses": [
                {
                    "vm": member.vm,
                    "zone": member.zone,
                    "address": member.caller_address,
                    "token": token,
                }
                for member, token in zip(members, tokens, strict=True)
            ],
            "use_until": use_until,
            "token": tokens[0],
            "token_accept_until": now + issuer.accept_ms,
        }

    def _choose(self, service, zone, caller, count):
        members = {member.vm: member for member in self._get_members()}
        wanted = self._policy.get_service_set(service)
        if wanted is not None:
            members = {vm: members[vm] for vm in wanted if vm in members}
        if not members:
            return [self._own()]
        region = next((m.region for m in members.values() if m.zone == zone), None)
        near = ([], [], [])
        for member in members.values():
            near[get_distance(member, zone, region)].append(member.vm)
        # Ranking 3,600 VMs takes 8 ms, and mostly the caller's zone is enough.
        chosen = []
        for names in near:
            if len(chosen) < count:
                chosen += rank_members(caller, names)
        return [members[vm] for vm in chosen[:count]]


def get_distance(member, zone, region):
    """Return 0 for the same zone, 1 for the same region, 2 for another region."""
    if member.zone == zone:
        return 0
    return 1 if member.region == region else 2
