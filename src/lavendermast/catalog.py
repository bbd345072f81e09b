"""Documents of the store as this VM holds them, in the order of their revisions."""

import math

import attrs

from lavendermast.entrymodel import ConfigDocument, ServerRecord
from lavendermast.exceptions import DocumentError
from lavendermast.messages_model import StoredChange, StoredChanges

#: Changes kept for VMs that missed some; older ones get everything.
MAX_RECENT_CHANGES = 512


@attrs.define(eq=False)
class ListedServer:
    """
    A server of the list; times are monotonic.

    :param lapsed_until: end of the time for which its vanished entry still counts,
        0.0 while it is listed.
    """

    record: ServerRecord
    listed_at: float
    warm_until: float
    lapsed_until: float = 0.0

    @property
    def server(self):
        """The backend server."""
        return self.record.server

    @property
    def slots(self):
        """Requests that it works on at once."""
        return self.record.slots


class Catalog:
    """
    The configuration in force and the listed servers.

    ``on_config`` is called with each newer configuration, ``on_server`` with the name
    of each server that was added, changed or removed.

    :param decode: function ``(key, content) -> document``; raises ``DocumentError``.
    :param lapse_s: seconds for which entries that vanished in an outage of the store
        are still used after its return.
    """

    def __init__(self, decode, clock, record_event, lapse_s):
        self._decode = decode
        self._clock = clock
        self._record_event = record_event
        self._lapse_s = lapse_s
        self._documents = {}
        self._recent = []
        self._servers = {}
        self._services = {}
        self._outage_until = 0.0
        self._next_lapse = math.inf
        self.revision = 0
        self.config = None
        self.on_config = []
        self.on_server = []

    @property
    def config_version(self):
        """Version of the configuration in force, 0 before the first."""
        return self.config.version if self.config else 0

    def get_servers(self, service):
        """Return the listed servers of a service."""
        if self._clock.monotonic() >= self._next_lapse:
            self._drop_lapsed()
        return self._services.get(service, ())

    def get_server(self, name):
        """Return one listed server, or ``None``."""
        return self._servers.get(name)

    def get_region_servers(self, region):
        """Return the names of the servers in a region by service."""
        names = {}
        for name, listed in self._servers.items():
            if listed.server.region == region:
                names.setdefault(listed.server.service, []).append(name)
        return names

    def count_servers(self):
        """Return the number of listed servers by service."""
        return {name: len(servers) for name, servers in self._services.items()}

    def note_outage_end(self):
        """Keep entries that vanish now for a while: servers write theirs again."""
        self._outage_until = self._clock.monotonic() + self._lapse_s

    def apply(self, changes, source):
        """
        Apply changes that follow on the own revision, or a whole state.

        :param source: who sent them, for the log.
        :return: whether they were used.
        """
        if changes.to_revision <= self.revision and not changes.whole:
            return changes.to_revision == self.revision
        if changes.to_revision < self.revision:
            return False
        if changes.from_revision > self.revision and not changes.whole:
            return False
        if changes.whole:
            kept = {change.key for change in changes.changes}
            gone = [key for key in self._documents if key not in kept]
            for key in gone:
                self._apply_change(
                    StoredChange(key, changes.to_revision, True, b""), source
                )
        for change in sorted(changes.changes, key=lambda item: item.revision):
            self._apply_change(change, source)
        self.revision = changes.to_revision
        self._rebuild()
        return True

    def make_changes(self, revision):
        """Return what leads from a revision to the own one."""
        first = self._recent[0].revision if self._recent else self.revision + 1
        if revision < self.revision and (not revision or revision + 1 < first):
            documents = tuple(
                StoredChange(key, change.revision, False, change.content)
                for key, change in self._documents.items()
            )
            return StoredChanges(0, self.revision, True, documents)
        changes = tuple(item for item in self._recent if item.revision > revision)
        return StoredChanges(revision, self.revision, False, changes)

    def _drop_lapsed(self):
        """Remove servers whose vanished entries have not come back in time."""
        now = self._clock.monotonic()
        lapsing = [item for item in self._servers.values() if item.lapsed_until]
        for listed in lapsing:
            if now >= listed.lapsed_until:
                self._remove_server(listed.server.name, "lapsed")
        self._next_lapse = min(
            (item.lapsed_until for item in lapsing if now < item.lapsed_until),
            default=math.inf,
        )
        self._rebuild()

    def _apply_change(self, change, source):
        known = self._documents.get(change.key)
        if known is not None and change.revision <= known.revision:
            return
        if change.deleted:
            self._documents.pop(change.key, None)
        else:
            self._documents[change.key] = change
        self._recent.append(change)
        del self._recent[:-MAX_RECENT_CHANGES]
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
            if change.deleted and now < self._outage_until:
                listed.lapsed_until = listed.lapsed_until or self._outage_until
                self._next_lapse = min(self._next_lapse, listed.lapsed_until)
                return
            self._remove_server(document.name, source)
            return
        record = document.record
        if listed is not None and listed.record == record and not listed.lapsed_until:
            return
        restarted = (
            listed is not None
            and listed.record.started_unix_ms != record.started_unix_ms
        )
        if listed is None or restarted:
            listed = ListedServer(record, now, now + record.warm_up_s)
            self._servers[document.name] = listed
        listed.record = record
        listed.warm_until = now + record.warm_up_s
        listed.lapsed_until = 0.0
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

    def _rebuild(self):
        services = {}
        for listed in self._servers.values():
            services.setdefault(listed.server.service, []).append(listed)
        self._services = services
