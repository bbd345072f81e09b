"""Keys of client accounts at an entry process between callers and a server."""

import eventlet
import pytest
from eventlet.green import socket

from standins.entryworld import HOST, READ_RULE, EntryWorld, make_config, make_rule

KEYS = ("secret-1", "secret-2", "secret-3")
OPEN_RULE = {**make_rule("open", "/open/", "idempotent"), "public": True}


def make_accounts(version, **keys):
    accounts = [{"name": name, "api_keys": list(held)} for name, held in keys.items()]
    return {**make_config(version, READ_RULE, OPEN_RULE), "tenants": accounts}


@pytest.fixture
def world(tmp_path):
    settings = {"key_removal_ms": 1500, "config_lag_ms": 1000}
    world = EntryWorld(tmp_path / "entry.json", **settings)
    world.store.put("op/config", make_accounts(4, one=KEYS[:1], two=KEYS[1:]))
    yield world
    world.stop()


def send_raw(world, *lines, path="/stock/7"):
    """Send a request with header lines as they are, and return the status."""
    head = [f"GET {path} HTTP/1.1", f"Host: {HOST}", "Connection: close", *lines]
    with socket.create_connection(("127.0.0.1", world.ports["caller"])) as sock:
        sock.sendall("\r\n".join([*head, "", ""]).encode())
        data = b""
        while piece := sock.recv(65536):
            data += piece
    return int(data.split()[1])


def test_keys_are_checked_and_never_passed_on(world):
    """
    Guards against requests without a valid key, against keys and account names of
    callers that reach a server in any spelling, and against keys in logs and metrics.
    """
    server = world.add("s1")
    world.wait_ready(1)
    world.wait_for(lambda: send_raw(world, f"Credential: {KEYS[0]}") == 200)
    del server.headers[:]
    spoofs = ("Tenant: two", "tenant: three", "TENANT: four")
    assert send_raw(world, f"cReDeNtIaL: {KEYS[0]}", *spoofs) == 200
    assert send_raw(world, *spoofs, f"CREDENTIAL:{KEYS[2]}") == 200
    assert send_raw(world, f"Credential: {KEYS[0]}", "Connection: Tenant") == 200
    assert send_raw(world, f"Credential: {KEYS[0]}", *spoofs, path="/open/1") == 200
    assert send_raw(world, path="/open/1") == 200
    names = [
        [value for name, value in lines if name.lower() == "tenant"]
        for lines in server.headers
    ]
    assert names == [["one"], ["two"], ["one"], [], []]
    refused = [
        (),
        ("Credential:",),
        ("Credential: other",),
        (f"Credential: {KEYS[0]}x",),
        (f"Credential: {KEYS[0]}", f"credential: {KEYS[0]}"),
        (f"Credential: {KEYS[0]}", f"CREDENTIAL: {KEYS[1]}"),
    ]
    assert [send_raw(world, *lines) for lines in refused] == [401] * len(refused)
    assert send_raw(world, "Credential: " + "x" * 1_000_000) in (400, 431)
    assert len(server.headers) == len(names)
    assert "credential" not in str(server.headers).lower()
    assert 'key_refusals_total{reason="unknown-key"} 6' in world.read_metrics()
    eventlet.sleep(0.2)
    written = str(server.headers) + world.read_metrics() + world.stop()
    assert "event=accounts_accepted" in written
    assert not any(key in written for key in KEYS)


def test_removed_key_and_silent_store_stop_requests_and_resume(world):
    """
    Guards against a removed key that stays in use, and against keyed requests at a VM
    that cannot know of removals; public routes go on.
    """
    world.add("s1")
    world.wait_ready(1)
    one, two = {"Credential": KEYS[0]}, {"Credential": KEYS[1]}
    world.wait_for(lambda: world.send(headers=one).status == 200)
    world.store.put("op/config", make_accounts(5, two=KEYS[1:]))
    world.wait_for(lambda: world.send(headers=one).status == 401)
    assert world.send(headers=two).status == 200
    world.store.failure = 503
    world.wait_for(lambda: world.send(headers=two).status == 503)
    reply = world.send(headers=one)
    assert (reply.status, reply.headers["Retry-After"]) == (503, "0.5")
    assert b"keys-unconfirmed" in reply.data
    assert world.send("/open/1").status == 200
    assert "lavendermast_entry_keys_fenced 1" in world.read_metrics()
    world.store.failure = None
    world.wait_for(lambda: world.send(headers=two).status == 200)
    assert world.send(headers=one).status == 401
    log = world.stop()
    assert "event=keys_fenced" in log and "event=keys_resumed" in log
