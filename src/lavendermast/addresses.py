"""Chooses the VM addresses that callers use."""

from lavendermast.hashing import rank_members

ADDRESSES_PATH = "/.well-known/lavendermast/addresses"


class AddressBook:
    """
    Builds the responses to address requests.

    :param policy: object with the current ``config`` and ``get_service_set``.
    :param get_members: callable that returns the members that accept new callers.
    :param get_issuer: callable that returns the ``tokens.TokenIssuer``.
    :param get_local_member: callable that returns the update about this VM, which is
        used when no other member accepts callers.
    """

    def __init__(
        self, policy, get_members, get_issuer, get_local_member, clock, record_event
    ):
        self._policy = policy
        self._get_members = get_members
        self._get_issuer = get_issuer
        self._get_local_member = get_local_member
        self._clock = clock
        self._record_event = record_event

    def get_addresses(self, service, zone, caller):
        """
        Return the addresses for one caller.

        :param service: requested service, empty for any.
        :param zone: the caller's zone, empty if unknown.
        :param caller: identifier of the caller, hashed to distribute callers over VMs.
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
        service_set = self._policy.get_service_set(service)
        if service_set is not None:
            members = {vm: members[vm] for vm in service_set if vm in members}
        if not members:
            return [self._get_local_member()]
        region = next((m.region for m in members.values() if m.zone == zone), None)
        by_distance = ([], [], [])
        for member in members.values():
            by_distance[get_distance(member, zone, region)].append(member.vm)
        # Ranked by distance, because ranking all of 3,600 VMs takes 8 ms and usually
        # the caller's zone has enough VMs.
        chosen = []
        for names in by_distance:
            if len(chosen) < count:
                chosen += rank_members(caller, names)
        return [members[vm] for vm in chosen[:count]]


def get_distance(member, zone, region):
    """Return 0 for the same zone, 1 for the same region, 2 for another region."""
    if member.zone == zone:
        return 0
    return 1 if member.region == region else 2
