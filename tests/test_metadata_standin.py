"""The stand-in of the platform's store."""

import eventlet

from lavendermast.platform.store import MetadataStore
from standins.metadata import MetadataStandIn


def test_watch_that_ends_as_a_change_comes_does_not_skip_it():
    """
    Guards against a soak that blames VMs for a change that its store never sent.

    The response named the revision of the change without the change.
    """
    store = MetadataStandIn()
    store.start()
    client = MetadataStore(store.address)
    first_revision = revision = client.read_all().to_revision
    seen = []
    for number in range(12):
        # The changes come at moments around the end of the watch.
        eventlet.spawn_after(0.05 + 0.003 * number, store.put, "servers/s", number)
        while len(seen) <= number:
            changes = client.watch(revision, 0.06)
            revision = changes.to_revision
            seen += [change.content for change in changes.changes]
            assert len(seen) == revision - first_revision, "a change was skipped"
