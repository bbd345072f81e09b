"""Creates and connects the coordination modules of one VM."""

import attrs

from lavendermast.detector import FailureDetector
from lavendermast.documents import DocumentStore
from lavendermast.exchange import DocumentExchange
from lavendermast.gossip import Gossip
from lavendermast.lifecycle import ReadinessCheck
from lavendermast.membership import Membership


@attrs.define
class Coordination:
    """
    Creates and connects the coordination modules of one VM.

    They are the membership, gossip, failure detector, documents with their exchange,
    and the readiness check.
    """

    membership: Membership
    gossip: Gossip
    detector: FailureDetector
    documents: DocumentStore
    exchange: DocumentExchange
    readiness: ReadinessCheck

    @classmethod
    def from_settings(cls, settings, transport, clock, random, record_event, validate):
        """
        Return connected modules over a transport.

        :param transport: a :class:`~lavendermast.peers.PeerTransport`.
        :param random: a ``random.Random``.
        """
        common = (clock, random, record_event)
        membership = Membership.from_settings(settings, *common)
        gossip = Gossip(membership, transport, clock, random)
        detector = FailureDetector(membership, gossip, transport, *common)
        documents = DocumentStore(clock, record_event, validate)
        exchange = DocumentExchange(documents, gossip, transport, clock)
        readiness = ReadinessCheck(
            membership, gossip, detector, documents, transport, random
        )
        return cls(membership, gossip, detector, documents, exchange, readiness)

    def set_state(self, state, continued_by=0):
        """Change the state of this VM and announce it immediately."""
        self.gossip.introduce()
        self.gossip.announce([self.membership.set_local_state(state, continued_by)])
