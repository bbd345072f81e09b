"""This VM's copy of the documents in the store, updated in revision order."""

import math

import attrs

from lavendermast.entrymodel import ConfigDocument, ServerRecord
from lavendermast.exceptions import DocumentError
from lavendermast.messages_model import StoredChange, StoredChanges

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
            present_keys = {change.key for change in changes.changes}
            deleted_keys = [key for key in self._documents if key not in present_keys]
            for key in deleted_keys:
                self._apply_change(
                    StoredChange(key, changes.to_revision, True, b""), source
                )
        for change in sorted(changes.changes, key=lambda item: item.revision):
            self._apply_change(change, source)
        self.revision = changes.to_revision
        self._rebuild_services()
        return True

    def get_changes_since(self, revision):
        """
        Return the changes since a revision.

        For revision 0, or when some of the changes were discarded, return a snapshot.
        """
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
            return StoredChanges(0, self.revision, True, documents)
        changes = tuple(
            item for item in self._recent_changes if item.revision > revision
        )
        return StoredChanges(revision, self.revision, False, changes)

    def _remove_expired(self):
        """Remove retained servers whose entries were not written again in time."""
        now = self._clock.monotonic()
        retained = [item for item in self._servers.values() if item.retained_until]
        for listed in retained:
            if now >= listed.retained_until:
                self._remove_server(listed.server.name, "lapsed")
        self._next_expiry = min(
            (item.retained_until for item in retained if now < item.retained_until),
            default=math.inf,
        )
        self._rebuild_services()

    def _apply_change(self, change, source):
        known = self._documents.get(change.key)
        if known is not None and change.revision <= known.revision:
            return
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
        del self._servers[name]
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
