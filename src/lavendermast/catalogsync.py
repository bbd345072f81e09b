"""Keeps the catalog current: one VM per zone reads the store and updates its peers."""

import abc
import math
import random

import eventlet

from lavendermast.codec import compress_changes, expand_changes
from lavendermast.exceptions import (
    HistoryLostError,
    MessageError,
    PeerError,
    StoreError,
    StoreLagError,
    StoreShortageError,
)
from lavendermast.linkcapacity import BYTES_PER_S_AND_MBPS
from lavendermast.messages_model import FetchChanges, StoredChanges

#: Maximum duration of one watch call. Its end confirms that nothing has changed, for
#: the whole zone; MAX_AGE_S has to be longer.
WATCH_WAIT_S = 1.0
#: Maximum duration of a watch call of a VM without others in its zone: nobody tells it
#: of changes while a lost call waits for its timeout, 1.5 s later.
LONE_WATCH_WAIT_S = 0.5
#: Delay after a change before the next call, so that further changes share that call.
BATCH_DELAY_S = 0.25
#: Backoff between failed calls to the store; each delay is 1.5 times the last one.
MIN_RETRY_DELAY_S = 0.4
MAX_RETRY_DELAY_S = 1.5
#: Interval at which a VM that is not the reader checks whether it has become it.
ROLE_CHECK_INTERVAL_S = 0.2
PEER_REQUEST_TIMEOUT_S = 1.0
#: A VM whose link is slower than this fetches its first documents from other VMs. A
#: faster one reads the store at once: callers are directed to it, and it refuses them
#: until it has the documents.
SLOW_LINK_BYTES_PER_S = 50 * BYTES_PER_S_AND_MBPS
#: A VM without documents fetches them from its zone at once, and after this time also
#: from other zones of its region. Seeds answer within two delays between regions.
ZONE_PREFERENCE_S = 0.15
#: Without a peer that has them, the first VM of a zone by name reads the store after
#: this time, which the VMs of a zone that start together need to hear of each other.
FIRST_READ_DELAY_S = 0.2
#: A VM that has heard of no other reads the store after this time. The VMs of a fleet
#: start within 0.3 s.
ALONE_READ_DELAY_S = 0.4
#: Any VM without documents reads the store after this time, give or take the jitter.
MAX_READ_DELAY_S = 0.7
READ_DELAY_JITTER = 0.15
START_CHECK_INTERVAL_S = 0.05
#: A VM refuses to send a snapshot that its link could not finish within this time after
#: the ones before it. The VMs that it refuses ask those that have got theirs.
MAX_SNAPSHOT_DELAY_S = 0.2
#: Link of a VM whose settings name none.
DEFAULT_LINK_BYTES_PER_S = 125_000_000
#: Leaves time to try another VM before the store is read. A compressed snapshot of
#: 50 KB takes 0.08 s on a link of 5 Mbit/s.
FIRST_FETCH_TIMEOUT_S = 0.3
#: VMs whose last heartbeat is younger are asked first, because others may be dead.
FRESH_AGE_S = 0.5
#: A watch that still delivers nothing this long after a peer had a newer state is
#: ended, and the next VM reads.
MAX_WATCH_LAG_S = 0.8
#: A VM whose state the store has not confirmed for this long asks the store itself,
#: whatever its peers say. Operators expect changes in force within 2.5 s. Hubs, which
#: hear the reader's heartbeats first, ask earlier and pass the answer on.
MAX_AGE_S = 2.0
MAX_HUB_AGE_S = 1.7
#: A VM whose state is not confirmed for longer than changes may take logs it.
LATE_AGE_S = 2.5
#: Longest age that fits the field of a heartbeat.
MAX_REPORTED_AGE_MS = 2**32 - 2
#: A VM whose latest heartbeat is older does not count as the reader of its zone. Each
#: hub sends one to the zone every 1.2 s, and one datagram may be lost.
READER_TIMEOUT_S = 2.6


class DocumentSource(abc.ABC):
    """
    The store that operators and servers write to.

    ``calls`` counts calls to it. ``era`` is the highest era named in its responses, 0
    before the first one; it rises when the store is restored from a copy.
    """

    calls = 0
    era = 0

    @abc.abstractmethod
    def read_all(self):
        """
        Return all documents as ``StoredChanges``.

        :raises StoreError: when the store does not respond.
        """

    @abc.abstractmethod
    def watch(self, revision, wait_s):
        """
        Return the changes after a revision; blocks until there is one or times out.

        :raises HistoryLostError: when the store no longer has them.
        :raises StoreError: when the store does not respond.
        """


class CatalogSync:
    """
    Reads the store if this VM is the reader of its zone, and pushes changes to peers.

    The reader is the first live VM of the zone by name that reaches the store. The
    other VMs apply what it pushes, and fetch changes that they missed from a peer. A VM
    that starts fetches all documents from a VM of its region, and reads the store
    itself if none delivers them soon. A hub that gets changes from another zone
    pushes them too, because the store may have turned away the reader of its own zone.

    Heartbeats tell when the store last confirmed the sender's state. A VM that heard of
    no confirmation for ``MAX_AGE_S`` makes one call itself: the reader may be frozen,
    cut off or hear nothing, or this VM may be unable to fetch what it missed.

    :param source: a :class:`DocumentSource`.

    ``make_room`` is called when this process lacks descriptors for a call.
    """

    def __init__(self, catalog, source, fleet, network, clock, record_event):
        self._catalog = catalog
        self._source = source
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._record_event = record_event
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._fetching = False
        self._task = None
        self._watching = False
        self._watch_deadline = math.inf
        self._was_lost = False
        self._late_logged = False
        # Spreads the VMs that start together, in the same way in each simulation.
        self._random = random.Random(f"{fleet.local_vm.vm}/{fleet.local_vm.boot_id}")
        self._started_at = None
        self._read_delay_s = MAX_READ_DELAY_S
        self._failed_origins = set()
        self._snapshot_key = self._snapshot = None
        self._snapshots_sent_at = -math.inf
        self.link_bytes_per_s = DEFAULT_LINK_BYTES_PER_S
        self.make_room = lambda: 0
        self.watch_wait_s = WATCH_WAIT_S
        #: Added to the ages at which VMs ask the store themselves.
        self.stale_jitter_s = 0.0
        #: Returns whether a call is due that does not wait for news.
        self.needs_proof = lambda: False
        self.get_max_retry_delay = lambda: MAX_RETRY_DELAY_S
        #: Handlers of each successful call: era, revision, and when it was sent, of
        #: ``Clock.elapsed()``.
        self.on_read = []
        self.store_reachable = True
        #: Time at which the store last confirmed that this VM's state is the newest.
        self.confirmed_at = -math.inf
        network.register(StoredChanges, self._handle_changes)
        network.register(FetchChanges, self._handle_fetch)
        fleet.on_presence.append(self._fetch_if_behind)

    def run(self):
        """Watch the store until the task is killed."""
        self._task = eventlet.getcurrent()
        while True:
            self._record_late_state()
            wait_s = self._choose_wait()
            if wait_s is None:
                self._clock.sleep(
                    ROLE_CHECK_INTERVAL_S
                    if self._catalog.revision
                    else START_CHECK_INTERVAL_S
                )
                continue
            called_at = self._clock.monotonic()
            sent_at = self._clock.elapsed()
            known_state = (self._catalog.era, self._catalog.revision)
            try:
                changes = self._read(wait_s)
            except StoreError as error:
                self._handle_store_failure(error)
                delay_s = self._compute_retry_delay(called_at)
                self._clock.sleep(min(delay_s, self.get_max_retry_delay()))
                continue
            self._handle_store_success()
            is_news = self._catalog.revision != changes.to_revision or changes.whole
            if is_news:
                self._apply(changes, "store")
            self._confirm(changes.era, changes.to_revision, self._clock.monotonic())
            # A response that is older than the known state proves nothing.
            if (changes.era, changes.to_revision) >= known_state:
                for handler in self.on_read:
                    handler(changes.era, changes.to_revision, sent_at)
            if is_news:
                self._clock.sleep(BATCH_DELAY_S)

    def _choose_wait(self):
        """
        Return how long the next call of the store waits for news, in seconds.

        :return: ``None`` if this VM makes none.
        """
        if not self._catalog.revision:
            self._fetch_first()
            return self.watch_wait_s if self._is_first_read_due() else None
        if self._is_stale() or self.needs_proof():
            return 0.0
        if not self.is_reader():
            return None
        if self._is_alone():
            return min(self.watch_wait_s, LONE_WATCH_WAIT_S)
        return self.watch_wait_s

    def _compute_retry_delay(self, called_at):
        """Return the seconds until the call after one that failed."""
        if not self._is_alone():
            return self._retry_delay_s
        # The time-out of the call has been delay enough where nobody else asks.
        elapsed_s = self._clock.monotonic() - called_at
        return max(self._retry_delay_s - elapsed_s, 0.0)

    def _is_alone(self):
        """Return whether this VM knows no other one of its zone."""
        return self._fleet.get_vm_names() == [self._fleet.local_vm.vm]

    def _is_stale(self):
        """Return whether the store has not confirmed this VM's state for too long."""
        max_age_s = MAX_HUB_AGE_S if self._fleet.is_hub() else MAX_AGE_S
        max_age_s += self.stale_jitter_s
        if self._started_at is None:
            return self._get_age_s() > max_age_s
        # Documents that a starting VM got from a peer are confirmed by heartbeats.
        started_s = self._clock.monotonic() - self._started_at
        return min(self._get_age_s(), started_s) > max_age_s

    def _get_age_s(self):
        """Return the seconds since the store confirmed this VM's state."""
        return self._clock.monotonic() - self.confirmed_at

    def _get_start_age_s(self):
        """Return the seconds since this VM first looked for documents."""
        now = self._clock.monotonic()
        if self._started_at is None:
            self._started_at = now
            jitter = self._random.uniform(-READ_DELAY_JITTER, READ_DELAY_JITTER)
            self._read_delay_s = MAX_READ_DELAY_S * (1 + jitter)
        return now - self._started_at

    def _is_first_read_due(self):
        """Return whether a VM without documents reads the store now."""
        fleet, age_s = self._fleet, self._get_start_age_s()
        is_fast = self.link_bytes_per_s >= SLOW_LINK_BYTES_PER_S
        if is_fast or age_s >= self._read_delay_s:
            return True
        if not fleet.vms:
            return age_s >= ALONE_READ_DELAY_S or not fleet.get_other_seeds()
        if self._fetching or self._find_origins():
            return False
        is_first = fleet.get_vm_names()[0] == fleet.local_vm.vm
        return is_first and age_s >= FIRST_READ_DELAY_S

    def _find_origins(self):
        """Return the VMs of the nearest zones that have documents for this one."""
        vms = [
            vm
            for vm in self._fleet.vms.values()
            if vm.state == "alive" and vm.vm not in self._failed_origins
        ]
        scopes = ["zone"]
        if self._get_start_age_s() >= ZONE_PREFERENCE_S:
            scopes.append("region")
        for scope in scopes:
            origins = [
                vm for vm in vms if self._fleet.find_zone_scope(vm.zone) == scope
            ]
            if origins:
                seen_after = self._clock.monotonic() - FRESH_AGE_S
                fresh = [vm for vm in origins if vm.last_seen_at >= seen_after]
                return fresh or origins
        return []

    def _fetch_first(self):
        """Fetch the documents from a near VM that has them, if there is one."""
        origins = self._find_origins() if not self._fetching else []
        if origins:
            self._start_fetch(self._random.choice(origins), whole=True)

    def is_reader(self):
        """Return whether this VM is currently the reader of its zone."""
        if not self._catalog.revision:
            return True
        now = self._clock.monotonic()
        local_name = self._fleet.local_vm.vm
        for name in self._fleet.get_vm_names():
            if name == local_name:
                return True
            vm = self._fleet.vms[name]
            if vm.last_presence is None or now - vm.last_presence_at > READER_TIMEOUT_S:
                continue
            if vm.last_presence.store_reachable:
                return False
        return True

    def get_confirmed_age_ms(self):
        """
        Return the time since the store confirmed this VM's state, in ms plus one.

        It is ``MAX_REPORTED_AGE_MS`` plus one if the store never did.
        """
        return round(min(max(self._get_age_s() * 1000, 0), MAX_REPORTED_AGE_MS)) + 1

    def get_store_state(self):
        """
        Return what heartbeats tell of this VM's copy of the store.

        :return: configuration version, revision, whether the store is reachable, era,
            and the age of the state as in :meth:`get_confirmed_age_ms`.
        """
        return (
            self._catalog.config_version,
            self._catalog.revision,
            self.store_reachable,
            self._catalog.era,
            self.get_confirmed_age_ms(),
        )

    @property
    def calls(self):
        """Number of calls to the store so far."""
        return self._source.calls

    def _confirm(self, era, revision, moment):
        """
        Record that a state was the newest one at a moment, if this VM's is as new.

        :param era: era of the state, 0 if it is not known.
        :param moment: monotonic time at which the store confirmed the state.
        """
        if self._is_comparable(era) and not self._is_ahead(era, revision):
            self.confirmed_at = max(self.confirmed_at, moment)

    def _record_late_state(self):
        """Log once that the store has not confirmed this VM's state for long."""
        age_s = self._get_age_s()
        is_late = bool(self._catalog.revision) and age_s > LATE_AGE_S
        if is_late and not self._late_logged:
            self._record_event(
                "state_unconfirmed",
                age_ms=round(age_s * 1000) if math.isfinite(age_s) else None,
                revision=self._catalog.revision,
                is_reader=self.is_reader(),
            )
        self._late_logged = is_late

    def _read(self, wait_s=WATCH_WAIT_S):
        known_revision = self._catalog.revision
        if not known_revision or self._source.era > self._catalog.era:
            return self._source.read_all()
        try:
            changes = self._watch(known_revision, wait_s)
        except HistoryLostError:
            self._record_event(
                "history_lost", revision=known_revision, era=self._source.era
            )
            return self._source.read_all()
        if changes.era > self._catalog.era:
            # The revision also exists in the restored history, but names another state.
            return self._source.read_all()
        if changes.era == self._catalog.era and changes.to_revision < known_revision:
            raise StoreLagError("the response is older than the known state")
        return changes

    def _watch(self, revision, wait_s):
        self._watching = True
        self._watch_deadline = math.inf
        try:
            return self._source.watch(revision, wait_s)
        finally:
            self._watching = False

    def _limit_watch(self):
        """End a watch that peers have been ahead of for too long."""
        if not self._watching:
            return
        now = self._clock.monotonic()
        if self._watch_deadline == math.inf:
            self._watch_deadline = now + MAX_WATCH_LAG_S
            self._network.spawn(self._end_late_watch, self._watch_deadline)

    def _end_late_watch(self, deadline):
        self._clock.sleep(deadline - self._clock.monotonic())
        if self._watching and self._watch_deadline == deadline:
            eventlet.kill(self._task, StoreLagError("the watch is behind other VMs"))

    def _handle_store_failure(self, error):
        if self.store_reachable:
            self._record_event("store_lost", detail=str(error))
        self.store_reachable = False
        if isinstance(error, StoreShortageError):
            self.make_room()
        # Entries expire only while the store serves nobody.
        self._was_lost |= not isinstance(error, (StoreLagError, StoreShortageError))
        self._retry_delay_s = min(self._retry_delay_s * 1.5, MAX_RETRY_DELAY_S)

    def _handle_store_success(self):
        self._retry_delay_s = MIN_RETRY_DELAY_S
        if not self.store_reachable:
            self.store_reachable = True
            if self._was_lost:
                self._catalog.handle_store_recovery()
            self._was_lost = False
            self._record_event(
                "store_regained",
                revision=self._catalog.revision,
                era=self._source.era,
            )

    def _apply(self, changes, source):
        catalog = self._catalog
        era, revision = catalog.era, catalog.revision
        catalog.apply(changes, source)
        if (catalog.era, catalog.revision) == (era, revision):
            return
        if source != "store":
            self._limit_watch()
            if not (self._fleet.is_hub() and self._is_in_another_zone(source)):
                return
        elif not (self.is_reader() or self._fleet.is_hub()):
            return
        if not revision:
            # This VM has just started. Peers that are behind fetch what they miss;
            # a snapshot for each of them would delay the start of a whole zone.
            return
        update = catalog.get_changes_since(revision, era)
        for name in self._fleet.get_vm_names():
            vm = self._fleet.vms.get(name)
            if vm is not None:
                self._network.spawn(self._push, vm, update)

    def _is_in_another_zone(self, name):
        vm = self._fleet.vms.get(name)
        return vm is not None and vm.zone != self._fleet.local_vm.zone

    def _push(self, vm, update):
        deadline = self._clock.monotonic() + PEER_REQUEST_TIMEOUT_S
        self._network.request(vm.peer_address, update, deadline)

    def _handle_changes(self, envelope, address):
        changes = envelope.body
        self._apply(changes, envelope.sender)
        if self._is_ahead(changes.era, changes.to_revision):
            self._start_fetch(self._fleet.vms.get(envelope.sender))
        return FetchChanges(self._catalog.revision, self._catalog.era)

    def _fetch_if_behind(self, presence):
        self._take_confirmation(presence)
        if not self._catalog.revision:
            self._fetch_first()
            return
        vm = self._fleet.vms.get(presence.own.vm)
        if presence.config_version > self._catalog.config_version:
            # The VM may have the version from an era that was lost in a restore.
            self._start_fetch(vm, whole=True)
        elif self._is_ahead(presence.store_era, presence.revision):
            self._start_fetch(vm)

    def _take_confirmation(self, presence):
        now = self._clock.monotonic()
        era, revision = presence.store_era, presence.revision
        if presence.confirmed_age_ms:
            self._confirm(era, revision, now - presence.confirmed_age_ms / 1000)
        elif presence.store_reachable and revision == self._catalog.revision:
            # A VM of an older build sends no age, but says that it reaches the store.
            self._confirm(era, revision, now)

    def _is_comparable(self, era):
        """Return whether a state's era compares with this VM's; older builds send 0."""
        return era != 0 or not self._catalog.has_changed_era

    def _is_ahead(self, era, revision):
        """Return whether a peer's state is newer."""
        catalog = self._catalog
        if not self._is_comparable(era):
            return False
        return (era or catalog.era, revision) > (catalog.era, catalog.revision)

    def _start_fetch(self, vm, whole=False):
        if vm is not None and not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch, vm, whole)

    def _fetch(self, vm, whole):
        is_first = not self._catalog.revision
        timeout_s = FIRST_FETCH_TIMEOUT_S if is_first else PEER_REQUEST_TIMEOUT_S
        deadline = self._clock.monotonic() + timeout_s
        is_refused = False
        known_revision = 0 if whole else self._catalog.revision
        try:
            changes = self._network.request(
                vm.peer_address,
                FetchChanges(known_revision, self._catalog.era, True),
                deadline,
            )
            if isinstance(changes, StoredChanges):
                self._apply(expand_changes(changes), vm.vm)
        except (PeerError, MessageError) as error:
            is_refused = is_first and self._clock.monotonic() < deadline
            if not is_refused:
                self._record_event("fetch_failed", member=vm.vm, detail=str(error))
        finally:
            self._fetching = False
        if not self._catalog.revision:
            # One that refuses is busy with others and may be asked again.
            if not is_refused:
                self._failed_origins.add(vm.vm)
        elif is_first:
            self._record_event(
                "documents_fetched", member=vm.vm, revision=self._catalog.revision
            )

    def _handle_fetch(self, envelope, address):
        wanted, catalog = envelope.body, self._catalog
        is_start = not wanted.revision or wanted.era not in (0, catalog.era)
        if not (wanted.accepts_compressed and is_start and catalog.revision):
            return catalog.get_changes_since(wanted.revision, wanted.era)
        # Encoding all documents takes milliseconds, and a zone may start at once.
        key = (catalog.era, catalog.revision, catalog.config_version)
        if self._snapshot_key != key:
            self._snapshot = compress_changes(catalog.get_changes_since(0))
            self._snapshot_key = key
        now = self._clock.monotonic()
        sent_at = max(self._snapshots_sent_at, now)
        if sent_at - now > MAX_SNAPSHOT_DELAY_S:
            return None
        seconds = len(self._snapshot.compressed) / self.link_bytes_per_s
        self._snapshots_sent_at = sent_at + seconds
        return self._snapshot
