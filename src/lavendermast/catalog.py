"""This VM's copy of the documents in the store, updated in revision order."""

import collections
import math

import attrs

from lavendermast.entrymodel import ConfigDocument, ServerRecord
from lavendermast.exceptions import DocumentError
from lavendermast.messages_model import StoredChange, StoredChanges

#: Removed servers whose last entries are remembered, so that a restored copy of the
#: store does not bring them back.
MAX_REMOVED_SERVERS = 2048
#: After this time a restored entry of a removed server shows that the server lives:
#: entries expire after 4.5 s without a heartbeat.
RESTORED_ENTRY_TTL_S = 6.0
#: Changes kept for VMs that missed some; a VM further behind gets a full snapshot.
MAX_RECENT_CHANGES = 512


@attrs.define(eq=False)
class ListedServer:
    """
    A server in the catalog; times are monotonic.

    :param retained_until: time until which the server is used although its entry was
        deleted, 0.0 while the entry exists.
    """

    record: ServerRecord
    listed_at: float
    warm_until: float
    retained_until: float = 0.0

    @property
    def server(self):
        """The backend server."""
        return self.record.server

    @property
    def slots(self):
        """Number of requests that the server processes concurrently."""
        return self.record.slots


class Catalog:
    """
    The current configuration and the listed servers.

    Revisions only compare within one era of the store. When the store was restored from
    a copy, its era rises and what is in use is kept where the copy is older.

    Handlers in ``on_config`` are called with each newer configuration, those in
    ``on_server`` with the name of each server that was added, changed or removed, and
    those in ``on_restart`` with the name of each server that has restarted.

    :param decode: function ``(key, content) -> document``; raises ``DocumentError``.
    :param lapse_s: seconds after the recovery of the store for which servers are
        still used whose entries were deleted during the outage.
    """

    def __init__(self, decode, clock, record_event, lapse_s):
        self._decode = decode
        self._clock = clock
        self._record_event = record_event
        self._lapse_s = lapse_s
        self._documents = {}
        self._recent_changes = []
        self._servers = {}
        self._services = {}
        self._retain_until = 0.0
        self._next_expiry = math.inf
        self._restored_entries = {}
        self._removed = collections.OrderedDict()
        self.era = 0
        self.has_changed_era = False
        self.revision = 0
        self.config = None
        self.on_config = []
        self.on_server = []
        self.on_restart = []

    @property
    def config_version(self):
        """Version of the current configuration, 0 before the first one."""
        return self.config.version if self.config else 0

    def get_servers(self, service):
        """Return the listed servers of a service."""
        if self._clock.monotonic() >= self._next_expiry:
            self._remove_expired()
        return self._services.get(service, ())

    def get_server(self, name):
        """Return a listed server by name, or ``None``."""
        return self._servers.get(name)

    def get_region_servers(self, region):
        """Return a mapping of service to the names of its servers in a region."""
        names = {}
        for name, listed in self._servers.items():
            if listed.server.region == region:
                names.setdefault(listed.server.service, []).append(name)
        return names

    def count_servers(self):
        """Return a mapping of service to the number of its listed servers."""
        return {name: len(servers) for name, servers in self._services.items()}

    def handle_store_recovery(self):
        """
        Retain servers whose entries are found deleted in the next ``lapse_s``.

        Entries of live servers can expire while the store is down; the servers write
        them again after it recovers.
        """
        self._retain_until = self._clock.monotonic() + self._lapse_s

    def apply(self, changes, source):
        """
        Apply a full snapshot, or changes without a gap to the current revision.

        :param source: sender of the changes, for the log.
        :return: whether the catalog is now at the revision of the changes.
        """
        if self._begins_era(changes):
            self._begin_era(changes, source)
            return True
        if changes.whole and changes.era and self.revision:
            self._apply_newer_config(changes, source)
        if not self._is_same_era(changes.era):
            return False
        if changes.to_revision <= self.revision and not changes.whole:
            return changes.to_revision == self.revision
        if changes.to_revision < self.revision:
            self._record_event(
                "changes_ignored",
                revision=self.revision,
                to_revision=changes.to_revision,
                source=source,
            )
            return False
        if changes.from_revision > self.revision and not changes.whole:
            return False
        if changes.whole:
            self._delete_absent(changes, source)
        for change in sorted(changes.changes, key=lambda item: item.revision):
            self._apply_safely(change, source)
        if changes.whole:
            # A snapshot does not name what was removed before it, so peers that are
            # behind need the snapshot too.
            self._recent_changes.clear()
        self.era = max(self.era, changes.era)
        self.revision = changes.to_revision
        self._rebuild_services()
        return True

    def _delete_absent(self, snapshot, source):
        present_keys = {change.key for change in snapshot.changes}
        for key in [key for key in self._documents if key not in present_keys]:
            self._apply_safely(
                StoredChange(key, snapshot.to_revision, True, b""), source
            )

    def get_changes_since(self, revision, era=0):
        """
        Return the changes since a revision.

        For revision 0 or one of another era, or when some of the changes were
        discarded, return a snapshot.

        :param era: era of the revision, 0 if it is not known.
        """
        if era not in (0, self.era):
            revision = 0
        first = (
            self._recent_changes[0].revision
            if self._recent_changes
            else self.revision + 1
        )
        if revision < self.revision and (not revision or revision + 1 < first):
            documents = tuple(
                StoredChange(key, change.revision, False, change.content)
                for key, change in self._documents.items()
            )
            return StoredChanges(0, self.revision, True, documents, self.era)
        changes = tuple(
            item for item in self._recent_changes if item.revision > revision
        )
        return StoredChanges(revision, self.revision, False, changes, self.era)

    def _begins_era(self, changes):
        """Return whether a snapshot replaces the known history."""
        if not changes.whole or changes.era <= self.era:
            return False
        return self.era > 0 or changes.to_revision < self.revision

    def _is_same_era(self, era):
        """Return whether changes are of this era; older builds send era 0."""
        unknown = era == 0 or self.era == 0
        return era == self.era or (unknown and not self.has_changed_era)

    def _begin_era(self, changes, source):
        """Apply a snapshot of a new era, but keep what is newer than the copy."""
        now = self._clock.monotonic()
        self._record_event(
            "store_restored",
            era=changes.era,
            previous_era=self.era,
            revision=changes.to_revision,
            previous_revision=self.revision,
            source=source,
        )
        self.has_changed_era = True
        self._retain_until = now + self._lapse_s
        previous, self._documents = self._documents, {}
        self._recent_changes.clear()
        self.era, self.revision = changes.era, changes.to_revision
        for change in sorted(changes.changes, key=lambda item: item.revision):
            document = self._decode_or_none(change)
            if not self._is_outdated(document):
                self._apply_safely(change, source)
            elif change.key in previous:
                kept = attrs.evolve(previous[change.key], revision=change.revision)
                self._documents[change.key] = kept
            else:
                self._documents[change.key] = change
                self._keep_or_list_later(document, change, now + RESTORED_ENTRY_TTL_S)
        present_keys = {change.key for change in changes.changes}
        for key in previous.keys() - present_keys:
            kept = attrs.evolve(previous[key], revision=changes.to_revision)
            if isinstance(self._decode_or_none(kept), ConfigDocument):
                self._documents[key] = kept
            else:
                self._apply_safely(attrs.evolve(kept, deleted=True), source)
        self._rebuild_services()

    def _is_outdated(self, document):
        """Return whether this catalog already had a newer state of a document."""
        if isinstance(document, ConfigDocument):
            return document.config.version < self.config_version
        if document is None or document.record is None:
            return False
        listed = self._servers.get(document.name)
        if listed is not None:
            return document.record.written_as < listed.record.written_as
        removed = self._removed.get(document.name)
        return removed is not None and document.record.written_as <= removed

    def _keep_or_list_later(self, document, change, due):
        """Keep a retained server, or list a removed one if its restored entry stays."""
        listed = self._servers.get(document.name)
        if listed is not None:
            listed.retained_until = 0.0
            return
        self._restored_entries[change.key] = (due, document, change)
        self._next_expiry = min(self._next_expiry, due)

    def _decode_or_none(self, change):
        try:
            return self._decode(change.key, change.content)
        except DocumentError:
            # _apply_change decodes it again and logs the error.
            return None

    def _apply_newer_config(self, changes, source):
        """Apply a configuration that a peer kept from an era that was lost."""
        for change in changes.changes:
            known = self._documents.get(change.key)
            if known is not None and known.content == change.content:
                continue
            document = self._decode_or_none(change)
            if not isinstance(document, ConfigDocument):
                continue
            if document.config.version > self.config_version:
                revision = known.revision if known else self.revision
                kept = attrs.evolve(change, revision=revision)
                self._documents[change.key] = kept
                self._apply_config(document.config, kept, source)

    def _remove_expired(self):
        """
        Remove retained servers whose entries were not written again in time.

        Also list removed servers whose restored entries did not expire.
        """
        now = self._clock.monotonic()
        retained = [item for item in self._servers.values() if item.retained_until]
        for listed in retained:
            if now >= listed.retained_until:
                self._remove_server(listed.server.name, "lapsed")
        for key, (due, document, change) in list(self._restored_entries.items()):
            if now >= due:
                del self._restored_entries[key]
                self._apply_server(document, change, "restored")
        times = [item.retained_until for item in retained if now < item.retained_until]
        times += [due for due, _, _ in self._restored_entries.values()]
        self._next_expiry = min(times, default=math.inf)
        self._rebuild_services()

    def _apply_safely(self, change, source):
        """Apply a change; an unexpected error must not hide the changes after it."""
        try:
            self._apply_change(change, source)
        except Exception as error:
            self._record_event(
                "document_failed",
                key=change.key,
                revision=change.revision,
                detail=f"{type(error).__name__}: {error}",
            )

    def _apply_change(self, change, source):
        known = self._documents.get(change.key)
        if known is not None and change.revision <= known.revision:
            return
        self._restored_entries.pop(change.key, None)
        if change.deleted:
            self._documents.pop(change.key, None)
        else:
            self._documents[change.key] = change
        self._recent_changes.append(change)
        del self._recent_changes[:-MAX_RECENT_CHANGES]
        try:
            document = self._decode(
                change.key, None if change.deleted else change.content
            )
        except DocumentError as error:
            self._record_event(
                "document_rejected",
                key=change.key,
                revision=change.revision,
                detail=str(error),
            )
            return
        if isinstance(document, ConfigDocument):
            self._apply_config(document.config, change, source)
        else:
            self._apply_server(document, change, source)

    def _apply_config(self, config, change, source):
        if config.version <= self.config_version:
            return
        self.config = config
        self._record_event(
            "config_accepted",
            config_version=config.version,
            revision=change.revision,
            source=source,
            routes=len(config.routes),
        )
        for handler in self.on_config:
            handler(config)

    def _apply_server(self, document, change, source):
        now = self._clock.monotonic()
        listed = self._servers.get(document.name)
        if document.record is None:
            if listed is None:
                return
            if change.deleted and now < self._retain_until:
                listed.retained_until = listed.retained_until or self._retain_until
                self._next_expiry = min(self._next_expiry, listed.retained_until)
                return
            self._remove_server(document.name, source)
            return
        record = document.record
        if listed is not None and listed.record == record and not listed.retained_until:
            listed.record = record
            return
        restarted = (
            listed is not None
            and listed.record.started_unix_ms != record.started_unix_ms
        )
        if listed is None or restarted:
            listed = ListedServer(record, now, now + record.warm_up_s)
            self._servers[document.name] = listed
        if restarted:
            for handler in self.on_restart:
                handler(document.name)
        listed.record = record
        listed.warm_until = now + record.warm_up_s
        listed.retained_until = 0.0
        self._record_event(
            "server_listed",
            server=document.name,
            service=record.server.service,
            state=record.server.state.value,
            address=record.server.address,
            revision=change.revision,
            source=source,
        )
        self._notify(document.name)

    def _remove_server(self, name, source):
        listed = self._servers.pop(name)
        self._removed[name] = listed.record.written_as
        self._removed.move_to_end(name)
        if len(self._removed) > MAX_REMOVED_SERVERS:
            self._removed.popitem(last=False)
        self._record_event(
            "server_removed", server=name, revision=self.revision, source=source
        )
        self._notify(name)

    def _notify(self, name):
        for handler in self.on_server:
            handler(name)

    def _rebuild_services(self):
        services = {}
        for listed in self._servers.values():
            services.setdefault(listed.server.service, []).append(listed)
        self._services = services
