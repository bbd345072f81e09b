"""Fetches announced document versions from the peers that announced them."""

import collections

from lavendermast.exceptions import MessageError, PeerError
from lavendermast.messages_model import Document, FetchDocument

FETCH_TIMEOUT_S = 5.0
#: Announcing peers kept for each document, in case one does not reply.
MAX_SOURCES = 4


class DocumentExchange:
    """
    Keeps the documents of a VM at the highest version that a peer announces.

    A newly accepted value is announced to three members immediately.

    :param documents: the VM's :class:`~lavendermast.documents.DocumentStore`.
    """

    def __init__(self, documents, gossip, transport, clock):
        self._documents = documents
        self._gossip = gossip
        self._transport = transport
        self._clock = clock
        self._sources = {}
        self.failures = collections.Counter()
        gossip.get_versions = documents.get_versions
        gossip.on_versions = self.handle_versions
        documents.on_accept.append(lambda value: gossip.announce_versions())
        transport.register(FetchDocument, self._handle_fetch)

    def handle_versions(self, sender, address, versions):
        """Start a fetch for each announced version that is wanted."""
        for announced in versions:
            if not self._documents.is_wanted(announced, sender):
                continue
            sources = self._sources.get(announced.name)
            if sources is None:
                self._sources[announced.name] = {address: (sender, announced)}
                self._transport.spawn(self._fetch_announced, announced.name)
            elif address in sources or len(sources) < MAX_SOURCES:
                sources[address] = (sender, announced)

    def fetch(self, name, address, sender, whole=False):
        """
        Fetch a document from one peer; blocks.

        :param whole: ask for the whole value, not for a delta.
        :raises PeerError: when the peer did not reply.
        :raises MessageError: when its value cannot be verified.
        """
        version, digest = (
            (0, b"") if whole else self._documents.get_version_and_digest(name)
        )
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        body = FetchDocument(name, version, digest)
        reply = self._transport.request(address, body, deadline)
        if not isinstance(reply, Document) or reply.name != name:
            raise MessageError("wrong_reply", name)
        return self._documents.apply(reply, sender) if reply.version else None

    def _fetch_announced(self, name):
        sources = self._sources[name]
        try:
            while sources:
                address, (sender, announced) = sources.popitem()
                if self._documents.is_wanted(announced, sender):
                    self._try_source(name, address, sender)
        finally:
            del self._sources[name]

    def _try_source(self, name, address, sender):
        # If a delta cannot be applied, the whole value is requested.
        for whole in (False, True):
            try:
                self.fetch(name, address, sender, whole)
            except PeerError:
                self.failures["no_reply"] += 1
                return
            except MessageError as error:
                self.failures[error.reason] += 1
            else:
                return

    def _handle_fetch(self, envelope, address):
        return self._documents.make_reply(envelope.body)
