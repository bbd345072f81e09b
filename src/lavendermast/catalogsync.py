"""Keeps the catalog current: one reader of the store a zone, peers for the others."""

import abc

import eventlet

from lavendermast.exceptions import HistoryLostError, PeerError, StoreError
from lavendermast.messages_model import FetchChanges, StoredChanges

#: Longest wait of one watch; short enough that a silent store is noticed.
WATCH_WAIT_S = 10.0
#: Changes of the next moments share one call of the store.
BATCH_S = 0.25
#: Pauses between calls of a store that fails, growing by half.
FIRST_RETRY_S = 0.4
LAST_RETRY_S = 1.5
CHECK_S = 0.2
FETCH_TIMEOUT_S = 1.0
#: A VM whose sign of life is older is not relied on to read for the zone. Each
#: hub tells the zone every 1.2 s, and one datagram may be lost.
READER_SILENCE_S = 2.6


class DocumentSource(abc.ABC):
    """The store that operators and servers write to; ``calls`` counts its calls."""

    calls = 0

    @abc.abstractmethod
    def read_all(self, fresh):
        """
        Return all documents as ``StoredChanges``.

        :param fresh: ``False`` for a cheaper answer that may be some seconds old.
        :raises StoreError: when the store does not answer.
        """

    @abc.abstractmethod
    def watch(self, revision, wait_s):
        """
        Return the changes after a revision; blocks until one comes or time ends.

        :raises HistoryLostError: when the store no longer has them.
        :raises StoreError: when the store does not answer.
        """


class CatalogSync:
    """
    Reads the store if it is this VM's turn, and passes changes on to the zone.

    :param source: a :class:`DocumentSource`.
    """

    def __init__(self, catalog, source, fleet, network, clock, record_event):
        self._catalog = catalog
        self._source = source
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._record_event = record_event
        self._retry_s = FIRST_RETRY_S
        self._lost_history = False
        self._fetching = False
        self.reachable = True
        network.register(StoredChanges, self._handle_changes)
        network.register(FetchChanges, self._handle_fetch)
        fleet.on_presence.append(self._consider_fetch)

    def run(self):
        """Follow the store until the task is killed."""
        while True:
            if not self.is_reader():
                self._clock.sleep(CHECK_S)
                continue
            try:
                changes = self._read()
            except StoreError as error:
                self._note_failure(error)
                self._clock.sleep(self._retry_s)
                continue
            self._note_success()
            if self._catalog.revision != changes.to_revision or changes.whole:
                self._accept(changes, "store")
                self._clock.sleep(BATCH_S)

    def is_reader(self):
        """Return whether this VM reads the store for its zone now."""
        if not self._catalog.revision:
            return True
        now = self._clock.monotonic()
        own = self._fleet.own.vm
        for name in self._fleet.get_zone_names():
            if name == own:
                return True
            vm = self._fleet.vms[name]
            if vm.told is None or now - vm.told_at > READER_SILENCE_S:
                continue
            if vm.told.store_reachable:
                return False
        return True

    @property
    def calls(self):
        """Calls of the store so far."""
        return self._source.calls

    def _read(self):
        if self._lost_history or not self._catalog.revision:
            # A stale answer may be older than the history that is left.
            changes = self._source.read_all(self._lost_history)
            self._lost_history = False
            return changes
        try:
            return self._source.watch(self._catalog.revision, WATCH_WAIT_S)
        except HistoryLostError:
            self._lost_history = True
            self._record_event("history_lost", revision=self._catalog.revision)
            return self._read()

    def _note_failure(self, error):
        if self.reachable:
            self._record_event("store_lost", detail=str(error))
        self.reachable = False
        self._retry_s = min(self._retry_s * 1.5, LAST_RETRY_S)

    def _note_success(self):
        self._retry_s = FIRST_RETRY_S
        if not self.reachable:
            self.reachable = True
            self._catalog.note_outage_end()
            self._record_event("store_regained", revision=self._catalog.revision)

    def _accept(self, changes, source):
        before = self._catalog.revision
        if not self._catalog.apply(changes, source):
            return
        if source != "store" or self._catalog.revision == before:
            return
        update = self._catalog.make_changes(before)
        for name in self._fleet.get_zone_names():
            vm = self._fleet.vms.get(name)
            if vm is not None:
                self._network.spawn(self._push, vm, update)

    def _push(self, vm, update):
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        self._network.request(vm.peer_address, update, deadline)

    def _handle_changes(self, envelope, address):
        self._accept(envelope.body, envelope.sender)
        if self._catalog.revision < envelope.body.to_revision:
            self._start_fetch(self._fleet.vms.get(envelope.sender))
        return FetchChanges(self._catalog.revision)

    def _consider_fetch(self, presence):
        if presence.revision > self._catalog.revision:
            self._start_fetch(self._fleet.vms.get(presence.own.vm))

    def _start_fetch(self, vm):
        if vm is not None and not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch, vm)

    def _fetch(self, vm):
        deadline = self._clock.monotonic() + FETCH_TIMEOUT_S
        try:
            changes = self._network.request(
                vm.peer_address, FetchChanges(self._catalog.revision), deadline
            )
            if isinstance(changes, StoredChanges):
                self._accept(changes, vm.vm)
        except PeerError as error:
            self._record_event("fetch_failed", member=vm.vm, detail=str(error))
        finally:
            self._fetching = False

    def _handle_fetch(self, envelope, address):
        return self._catalog.make_changes(envelope.body.revision)
