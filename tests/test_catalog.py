"""Tests for the catalog: applying documents in revision order."""

import json

import pytest

from lavendermast.catalog import Catalog
from lavendermast.clock import ManualClock
from lavendermast.codec import Envelope, FrameCodec
from lavendermast.messages_model import StoredChange, StoredChanges
from lavendermast.models import ServerState
from lavendermast.platform.documents import CONFIG_KEY, decode_document
from lavendermast.platform.store import MetadataStore

ZONES = {"a": "north"}


def make_entry(state="ready", service="stock", address="10.0.0.1:80", **more):
    value = {
        "addr": address,
        "info": {"service": service, "version": "v1", "zone": "a", "capacity": 6},
        "status": {"state": state, "sequence": 1, "warmup_left_ms": 0},
        "born": 1000,
    }
    return json.dumps({**value, **more}).encode()


def make_config(version, timeout_ms=4000):
    rule = {
        "name": "r-1",
        "type": "idempotent",
        "goal_ms": 2000,
        "match": {"prefix": "/stock/"},
        "action": {"service": "stock", "timeout_ms": timeout_ms, "max_attempts": 2},
    }
    value = {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "listeners": [{"host": "a.example", "rules": [rule]}],
        "upstreams": [{"name": "stock", "health_path": "/h", "max_conns": 360}],
    }
    return json.dumps(value).encode()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def events():
    return []


def make_catalog(clock, record=lambda event, **fields: None):
    return Catalog(
        lambda key, content: decode_document(key, content, ZONES),
        clock,
        record,
        lapse_s=2.0,
    )


@pytest.fixture
def catalog(clock, events):
    return make_catalog(clock, lambda event, **fields: events.append((event, fields)))


def put(key, content, revision):
    return StoredChange(key, revision, False, content)


def delete(key, revision):
    return StoredChange(key, revision, True, b"")


def apply(catalog, first, last, *changes, whole=False):
    return catalog.apply(StoredChanges(first, last, whole, changes), "store")


def get_names(catalog):
    return [listed.server.name for listed in catalog.get_servers("stock")]


def test_changes_apply_in_order_and_gaps_are_refused(catalog):
    """Guards against a gap in the server list after a message was lost."""
    assert apply(catalog, 0, 5, put("servers/s1", make_entry(), 5), whole=True)
    assert not apply(catalog, 6, 7, delete("servers/s1", 7))
    assert get_names(catalog) == ["s1"]
    assert apply(catalog, 5, 7, delete("servers/s1", 7))
    assert get_names(catalog) == []


def test_older_configuration_is_never_applied(catalog):
    """Guards against going back to an older version of the configuration."""
    apply(catalog, 0, 5, put(CONFIG_KEY, make_config(7), 5), whole=True)
    apply(catalog, 5, 6, put(CONFIG_KEY, make_config(6), 6))
    assert catalog.config_version == 7
    apply(catalog, 0, 4, put(CONFIG_KEY, make_config(9), 4), whole=True)
    assert catalog.config_version == 7


@pytest.mark.parametrize("content", [b"\xff", b"[]", b'{"version": "r9"}'])
def test_invalid_configuration_keeps_the_previous_one(catalog, events, content):
    """Guards against losing all routes because of one invalid document."""
    apply(catalog, 0, 5, put(CONFIG_KEY, make_config(7), 5), whole=True)
    apply(catalog, 5, 6, put(CONFIG_KEY, content, 6))
    assert catalog.config_version == 7
    assert events[-1][0] == "document_rejected"


@pytest.mark.parametrize(
    "entry",
    [
        b"\x00\xff",
        b"7",
        make_entry(state="gone"),
        make_entry(address=7),
        make_entry(born="soon"),
        make_entry(info={"service": "stock"}),
    ],
)
def test_entry_without_a_usable_server_is_ignored(catalog, entry):
    """
    Guards against requests to an entry that describes no server, and against one such
    entry that hides valid servers.
    """
    good = put("servers/s1", make_entry(), 4)
    apply(catalog, 0, 5, good, put("servers/s2", entry, 5), whole=True)
    assert get_names(catalog) == ["s1"]


def test_draining_server_is_listed_as_leaving(catalog):
    """Guards against new requests to a draining server."""
    apply(catalog, 0, 5, put("servers/s1", make_entry(state="draining"), 5), whole=True)
    listed = catalog.get_server("s1")
    assert listed.server.state is ServerState.LEAVING


def test_entries_deleted_in_an_outage_are_used_until_they_return(catalog, clock):
    """Guards against an empty server list right after an outage of the store."""
    apply(catalog, 0, 5, put("servers/s1", make_entry(), 5), whole=True)
    catalog.handle_store_recovery()
    apply(catalog, 0, 9, whole=True)
    assert get_names(catalog) == ["s1"]
    clock.advance(1.0)
    apply(catalog, 9, 10, put("servers/s1", make_entry(), 10))
    clock.advance(2.0)
    assert get_names(catalog) == ["s1"]


def test_retained_entry_that_does_not_return_expires(catalog, clock):
    """Guards against requests to a server that died during an outage of the store."""
    apply(catalog, 0, 5, put("servers/s1", make_entry(), 5), whole=True)
    catalog.handle_store_recovery()
    apply(catalog, 5, 6, delete("servers/s1", 6))
    clock.advance(2.1)
    assert get_names(catalog) == []


def test_peer_gets_the_changes_it_missed(catalog, clock):
    """Guards against a VM that never catches up after it missed changes."""
    apply(catalog, 0, 5, put("servers/s1", make_entry(), 5), whole=True)
    apply(catalog, 5, 6, put("servers/s2", make_entry(), 6))
    peer = Catalog(
        lambda key, content: decode_document(key, content, ZONES),
        clock,
        lambda event, **fields: None,
        2.0,
    )
    assert peer.apply(catalog.get_changes_since(0), "vm")
    assert sorted(get_names(peer)) == ["s1", "s2"]
    apply(catalog, 6, 7, delete("servers/s1", 7))
    changes = catalog.get_changes_since(6)
    assert len(changes.changes) == 1
    assert peer.apply(changes, "vm")
    assert get_names(peer) == ["s2"]


def put_era(catalog, era, revision, *changes, source="store"):
    snapshot = StoredChanges(0, revision, True, changes, era)
    return catalog.apply(snapshot, source)


def make_written(sequence, state="ready"):
    status = {"state": state, "sequence": sequence, "warmup_left_ms": 0}
    return make_entry(status=status)


def test_same_revision_of_another_era_is_another_change(catalog):
    """Guards against changes that look old because revisions were given out again."""
    put_era(catalog, 1, 9, put(CONFIG_KEY, make_config(7), 9))
    put_era(catalog, 2, 6, put(CONFIG_KEY, make_config(5), 6))
    changes = StoredChanges(6, 9, False, (put(CONFIG_KEY, make_config(8), 9),), 2)
    assert catalog.apply(changes, "store")
    assert (catalog.config_version, catalog.revision, catalog.era) == (8, 9, 2)


def test_configuration_in_force_stays_when_the_restored_copy_is_older(catalog, clock):
    """Guards against a configuration that goes back together with the store."""
    put_era(catalog, 1, 9, put(CONFIG_KEY, make_config(7), 9))
    put_era(catalog, 2, 6, put(CONFIG_KEY, make_config(5), 6))
    put_era(catalog, 3, 5)
    assert catalog.config_version == 7
    started = make_catalog(clock)
    put_era(started, 3, 5, put(CONFIG_KEY, make_config(5), 5))
    started.apply(catalog.get_changes_since(0), "vm")
    assert started.config_version == 7


def test_changes_of_an_older_era_are_not_applied(catalog):
    """Guards against a VM that is cut off from the store and pushes lost changes."""
    put_era(catalog, 2, 6, put("servers/s1", make_written(4), 6))
    late = StoredChanges(6, 7, False, (delete("servers/s1", 7),), 1)
    assert not catalog.apply(late, "vm")
    assert not put_era(catalog, 1, 30, source="vm")
    assert get_names(catalog) == ["s1"]
    assert catalog.revision == 6


def test_servers_missing_in_the_restored_copy_lapse(catalog, clock):
    """Guards against losing servers that have not written their entries again yet."""
    old = put("servers/s1", make_written(4), 5)
    put_era(catalog, 1, 9, old, put("servers/s2", make_written(1), 9))
    put_era(catalog, 2, 6, old)
    assert get_names(catalog) == ["s1", "s2"]
    clock.advance(2.1)
    assert get_names(catalog) == ["s1"]


def test_draining_server_is_not_ready_again_by_the_restored_copy(catalog):
    """Guards against requests to a server that was draining before the restore."""
    put_era(catalog, 1, 9, put("servers/s1", make_written(5, "draining"), 9))
    put_era(catalog, 2, 6, put("servers/s1", make_written(4), 6))
    assert catalog.get_server("s1").server.state is ServerState.LEAVING
    again = put("servers/s1", make_written(6, "draining"), 7)
    assert catalog.apply(StoredChanges(6, 7, False, (again,), 2), "store")
    assert catalog.get_server("s1").server.state is ServerState.LEAVING


def test_removed_server_returns_only_if_its_restored_entry_stays(catalog, clock):
    """Guards against servers that are gone and come back with the copy."""
    put_era(catalog, 1, 8, put("servers/s1", make_written(5), 8))
    removed = StoredChanges(8, 9, False, (delete("servers/s1", 9),), 1)
    catalog.apply(removed, "store")
    put_era(catalog, 2, 6, put("servers/s1", make_written(4), 6))
    assert get_names(catalog) == []
    clock.advance(6.1)
    assert get_names(catalog) == ["s1"]


def test_lapsed_server_stays_if_the_restored_copy_lists_it(catalog, clock):
    """Guards against dropping a server whose entry expired only during the outage."""
    put_era(catalog, 1, 8, put("servers/s1", make_written(5), 8))
    catalog.handle_store_recovery()
    lapsed = StoredChanges(8, 9, False, (delete("servers/s1", 9),), 1)
    catalog.apply(lapsed, "store")
    put_era(catalog, 2, 6, put("servers/s1", make_written(4), 6))
    clock.advance(10.0)
    assert get_names(catalog) == ["s1"]


def test_peer_of_an_older_build_without_eras_is_followed(catalog):
    """Guards against a fleet whose VMs do not all know eras yet."""
    put_era(catalog, 2, 6, put("servers/s1", make_written(4), 6))
    removed = StoredChanges(6, 7, False, (delete("servers/s1", 7),), 0)
    assert catalog.apply(removed, "vm")
    assert get_names(catalog) == []
    fresh = StoredChanges(0, 3, True, (put("servers/s1", make_written(4), 3),), 0)
    other = make_catalog(ManualClock())
    assert other.apply(fresh, "vm")
    assert other.apply(StoredChanges(3, 7, False, (delete("servers/s1", 7),), 2), "vm")
    assert other.era == 2


def test_peer_between_two_snapshots_learns_of_removals(catalog, clock):
    """
    Guards against a server that stays listed on a VM that missed its removal.

    The VM is behind a peer that read a snapshot without the server, because the store
    had dropped its history.
    """
    peer = make_catalog(clock)
    apply(catalog, 0, 5, put("servers/s1", make_entry(), 5), whole=True)
    apply(peer, 0, 5, put("servers/s1", make_entry(), 5), whole=True)
    apply(peer, 5, 6, put("servers/s2", make_entry(), 6))
    apply(catalog, 0, 9, put("servers/s3", make_entry(), 8), whole=True)
    assert peer.apply(catalog.get_changes_since(6), "vm")
    assert get_names(peer) == get_names(catalog) == ["s3"]


@pytest.mark.parametrize(
    "content",
    [
        b"[" * 200_000,
        make_entry(status={"state": "ready", "warmup_left_ms": 10**400}),
        make_entry(address="10.0.0.1:\u00b2"),
        *[
            make_entry(address=address)
            for address in (
                "10.0.0.1:0",
                "10.0.0.1:99999",
                "10.0.0.1:" + "9" * 5000,
                "nonsense host:80",
                "10.0.0.1\r\nX:80",
                "\ud800:80",
            )
        ],
        *[
            make_entry(info={"service": service, "zone": "a", "capacity": capacity})
            for service, capacity in (
                ("stock", 0),
                ("stock", -5),
                ("stock", 10**400),
                ("\ud800", 6),
                ("st\0ck", 6),
                ("", 6),
            )
        ],
        *[make_entry(born=born) for born in (-1, 10**30, 10**400)],
        *[
            make_entry(status={"state": "ready", "sequence": 1, **more})
            for more in (
                {"sequence": 10**400},
                {"warmup_left_ms": float("inf")},
                {"warmup_left_ms": float("nan")},
                {"warmup_left_ms": 1e300},
            )
        ],
    ],
)
def test_document_that_no_parser_accepts_does_not_stop_the_others(catalog, content):
    """Guards against one document that ends the task which applies all of them."""
    apply(
        catalog,
        0,
        5,
        put("servers/bad", content, 4),
        put(CONFIG_KEY, make_config(7), 5),
        put("servers/s1", make_entry(), 5),
        whole=True,
    )
    assert apply(catalog, 5, 6, put(CONFIG_KEY, b"[" * 200_000, 6))
    assert get_names(catalog) == ["s1"]
    assert catalog.config_version == 7


def test_error_in_one_document_does_not_hide_the_changes_after_it(catalog, events):
    """Guards against a VM that reads the same change for ever (CONFIG, DRAIN)."""

    def fail(name):
        raise ZeroDivisionError("handler")

    catalog.on_server.append(fail)
    config = put(CONFIG_KEY, make_config(7), 5)
    assert apply(catalog, 0, 5, put("servers/s1", make_entry(), 4), config, whole=True)
    assert catalog.config_version == 7
    assert events[-2][0] == "document_failed"


@pytest.mark.parametrize("key", ["servers/\ud800", "servers/", "servers/a b", 7, None])
def test_odd_key_is_not_passed_on(key):
    """Guards against a key of another program that no VM can send to its peers."""
    item = {"rev": 4, "value": "e30="}
    items = [{"key": key, **item}, {"key": "servers/s1", **item}]
    changes = MetadataStore("127.0.0.1:1")._read_items(items)
    assert [change.key for change in changes] == ["servers/s1"]
    envelope = Envelope("a1", 1, 1, StoredChanges(0, 4, True, tuple(changes)))
    assert FrameCodec({1: b"k"}, 1).encode(envelope)
