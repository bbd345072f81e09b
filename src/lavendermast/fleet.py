"""This VM's part in the fleet: peers, membership, documents and the store."""

import json
import random

import eventlet

from lavendermast.codec import FrameCodec
from lavendermast.detector import FailureDetector
from lavendermast.documents import DocumentStore
from lavendermast.exceptions import PeerError
from lavendermast.gossip import Gossip
from lavendermast.membership import Membership
from lavendermast.messages_model import Document, FetchDocument
from lavendermast.peers import PeerNetwork
from lavendermast.settings import check_bundle
from lavendermast.store import StoreClient, StoreReader, is_store_reader
from lavendermast.vmlist import check_list

FETCH_TIMEOUT_S = 5.0
DOCUMENTS = {"config": "version", "vms": "revision"}


def validate_document(name, content):
    """
    Return the findings of a document's content.

    :param name: ``config`` or ``vms``.
    :param content: bytes as the configuration service holds them.
    """
    try:
        value = json.loads(content)
    except ValueError as error:
        return [f"{name} is not JSON: {error}"]
    return check_bundle(value) if name == "config" else check_list(value)


def read_version(name, content):
    """
    Return the version inside a document's content, or ``None`` if there is none.

    >>> read_version("vms", b'{"revision": 3, "vms": []}')
    3
    """
    try:
        version = json.loads(content).get(DOCUMENTS[name])
    except (ValueError, AttributeError):
        return None
    valid = isinstance(version, int) and not isinstance(version, bool)
    return version if valid and version > 0 else None


class FleetAgent:
    """
    Joins the fleet and keeps its documents current.

    :param settings: the process settings.
    """

    def __init__(self, settings, clock, record_event):
        self.settings = settings
        self._clock = clock
        self._record_event = record_event
        self._random = random.SystemRandom()
        tools = (clock, self._random, record_event)
        self.membership = Membership.from_settings(settings, *tools)
        self.codec = FrameCodec.from_settings(settings)
        self.network = PeerNetwork.from_settings(settings, self.codec, clock)
        self.network.record_error = self._record_error
        self.gossip = Gossip(self.membership, self.network, clock, self._random)
        self.detector = FailureDetector(
            self.membership, self.gossip, self.network, *tools
        )
        self.documents = DocumentStore(clock, record_event, validate_document)
        self.store = StoreClient.from_settings(settings)
        self.gossip.get_versions = self.documents.get_versions
        self.gossip.on_versions = self._consider_versions
        self.documents.on_accept.append(self._announce_document)
        self.network.register(FetchDocument, self._handle_fetch)
        self._fetching = set()
        self._tasks = []

    def start(self):
        """Start the tasks of this VM's fleet membership."""
        self._tasks = [
            eventlet.spawn(self.network.run),
            eventlet.spawn(self.detector.run),
        ]
        for name in DOCUMENTS:
            reader = StoreReader(
                name,
                self.store,
                lambda name=name: self._is_reader(name),
                lambda content, name=name: self.offer(name, content, "store"),
                self._record_event,
            )
            self._tasks.append(eventlet.spawn(reader.run))

    def stop(self):
        """End all tasks and close the sockets."""
        for task in self._tasks:
            task.kill()
        self.network.close()

    def offer(self, name, content, source):
        """Offer content read from the store; return the document store's result."""
        version = read_version(name, content)
        if version is None:
            self._record_event(
                "config_rejected",
                document=name,
                version=None,
                source=source,
                findings=f"no positive integer {DOCUMENTS[name]}",
            )
            return None
        return self.documents.offer(name, version, content, source)

    def get_live_members(self):
        """Return the members that may serve callers, suspects included."""
        return self.membership.get_members(("alive", "suspect"))

    def get_fit_members(self):
        """Return the members to which callers may be sent."""
        return self.membership.get_members(("alive",))

    def reload_keys(self, settings):
        """Sign and verify with the fleet keys of new process settings."""
        keys = {key.id: key.secret.encode() for key in settings.fleet_keys}
        self.codec.replace_keys(keys, settings.fleet_keys[0].id)

    def apply_list(self, vms):
        """Admit the entry VMs of a VM list as peers."""
        listed = {vm["name"]: vm["peer_address"] for vm in vms if vm["kind"] == "entry"}
        self.membership.set_listed(listed)

    def _is_reader(self, name):
        own = self.membership.own
        return is_store_reader(name, own.vm, own.zone, self.get_live_members())

    def _announce_document(self, value):
        self.gossip.announce_versions()

    def _consider_versions(self, sender, address, versions):
        for version in versions:
            wanted = self.documents.is_wanted(version, sender)
            if wanted and version.name not in self._fetching:
                self._fetching.add(version.name)
                self.network.spawn(self._fetch, version.name, address)

    def _fetch(self, name, address):
        try:
            self.fetch_document(name, address)
        finally:
            self._fetching.discard(name)

    def fetch_document(self, name, address):
        """
        Fetch a peer's version of a document and offer it.

        :raises PeerError: when the peer did not answer with the document.
        """
        request = FetchDocument(name, *self.documents.make_request(name))
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        reply = self.network.request(address, request, deadline)
        if not isinstance(reply, Document):
            raise PeerError(f"{address}: unexpected reply {type(reply).__name__}")
        return self.documents.apply(reply)

    def _handle_fetch(self, envelope, address):
        return self.documents.make_reply(envelope.body)

    def _record_error(self, error):
        self._record_event("handler_failed", detail=f"{type(error).__name__}: {error}")
