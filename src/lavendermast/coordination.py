"""Composition of the fleet's coordination modules for one VM."""

import attrs

from lavendermast.detector import FailureDetector
from lavendermast.documents import DocumentStore
from lavendermast.exchange import DocumentExchange
from lavendermast.gossip import Gossip
from lavendermast.lifecycle import Starter
from lavendermast.membership import Membership


@attrs.define
class Coordination:
    """The coordination modules of one VM, connected to each other."""

    membership: Membership
    gossip: Gossip
    detector: FailureDetector
    documents: DocumentStore
    exchange: DocumentExchange
    starter: Starter

    @classmethod
    def from_settings(cls, settings, transport, clock, random, record_event, validate):
        """
        Return connected modules over a transport.

        :param transport: a :class:`~lavendermast.peers.PeerTransport`.
        :param random: a ``random.Random``.
        """
        own = (clock, random, record_event)
        membership = Membership.from_settings(settings, *own)
        gossip = Gossip(membership, transport, clock, random)
        detector = FailureDetector(membership, gossip, transport, *own)
        documents = DocumentStore(clock, record_event, validate)
        exchange = DocumentExchange(documents, gossip, transport, clock)
        starter = Starter(membership, gossip, detector, documents, transport, random)
        return cls(membership, gossip, detector, documents, exchange, starter)

    def set_state(self, state, continued_by=0):
        """Change the own state and announce it at once."""
        self.gossip.introduce()
        self.gossip.announce([self.membership.set_own_state(state, continued_by)])
