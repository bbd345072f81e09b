"""Graceful shutdown: moves callers, finishes requests, hands over the ledger."""

from lavendermast.exceptions import PeerError
from lavendermast.hashing import rank_members
from lavendermast.messages_model import HandoverReply

#: Time for the state ``leaving`` to reach every VM that gives addresses to callers.
PROPAGATION_MARGIN_S = 5.0
HANDOVER_TIMEOUT_S = 5.0
HANDOVER_ATTEMPTS = 3
#: Time for the announcement of the successor to reach the other VMs.
SUCCESSOR_PROPAGATION_S = 1.0


class Drainer:
    """
    Takes a node out of service without aborting a request.

    :param node: the running ``node.Node``.
    """

    def __init__(self, node):
        self._node = node
        self._clock = node.clock

    def drain(self):
        """
        Take the node out of service.

        Returns when nothing is in flight and the handover of the ledger, if one is
        needed and possible, was attempted.
        """
        node = self._node
        if not node.fleet.ready:
            node.caller_listener.stop()
            return
        node.fleet.set_state("leaving")
        node.gateway.close_connections = True
        hold_s = node.policy.config.addresses.hold_ms / 1000
        deadline = self._clock.monotonic() + hold_s + PROPAGATION_MARGIN_S
        while (remaining := deadline - self._clock.monotonic()) > 0:
            self._clock.sleep(min(remaining, 1.0))
        node.caller_listener.stop()
        self._hand_over()

    def _hand_over(self):
        ledger = self._node.idempotency_guard.ledger
        successor = self._choose_successor()
        if successor is None or not len(ledger):
            return
        ledger.freeze(successor.boot_id)
        entries = len(ledger)
        accepted = all(
            self._send(successor, handover) for handover in ledger.export_handovers()
        )
        self._node.log.record(
            "handover", successor=successor.vm, entries=entries, accepted=accepted
        )
        if accepted:
            self._node.fleet.set_state("leaving", successor.boot_id)
            self._clock.sleep(SUCCESSOR_PROPAGATION_S)

    def _choose_successor(self):
        local_member = self._node.fleet.membership.local_member
        members = {m.vm: m for m in self._node.fleet.get_alive_members()}
        members.pop(local_member.vm, None)
        same_zone = [
            vm for vm, member in members.items() if member.zone == local_member.zone
        ]
        ranked = rank_members(local_member.vm, same_zone or members)
        return members[ranked[0]] if ranked else None

    def _send(self, successor, handover):
        for _ in range(HANDOVER_ATTEMPTS):
            deadline = self._clock.monotonic() + HANDOVER_TIMEOUT_S
            try:
                reply = self._node.fleet.network.request(
                    successor.peer_address, handover, deadline
                )
            except PeerError:
                continue
            return isinstance(reply, HandoverReply) and reply.accepted
        return False
