"""Responses of stores that do not end."""

import eventlet
import pytest

import lavendermast.store
from lavendermast.exceptions import StoreError
from lavendermast.platform import store
from lavendermast.platform.store import MetadataStore

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
HEAD_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n"


def serve(head, write):
    listener = eventlet.listen(("127.0.0.1", 0))

    def run():
        while True:
            peer, _ = listener.accept()
            peer.recv(65536)
            try:
                peer.sendall(head)
                write(peer)
            except OSError:
                peer.close()

    eventlet.spawn(run)
    return "{}:{}".format(*listener.getsockname())


def write_fast(peer):
    for _ in range(100_000):
        peer.sendall(b"x" * 65536)


def write_slowly(peer):
    while True:
        peer.sendall(b"x")
        eventlet.sleep(0.05)


@pytest.mark.parametrize("head", [HEAD, HEAD_WITH_LENGTH])
@pytest.mark.parametrize("write", [write_fast, write_slowly])
def test_store_response_without_end_is_given_up(head, write, monkeypatch):
    """Guards against a reader that a store's response holds or fills up for ever."""
    monkeypatch.setattr(store, "READ_TIMEOUT_S", 0.5)
    monkeypatch.setattr(store, "MAX_TRANSFER_S", 0.5)
    monkeypatch.setattr(store, "MAX_RESPONSE_BYTES", 1024 * 1024)
    with eventlet.Timeout(20), pytest.raises(StoreError):
        MetadataStore(serve(head, write)).read_all()


@pytest.mark.parametrize("head", [HEAD, HEAD_WITH_LENGTH])
@pytest.mark.parametrize("write", [write_fast, write_slowly])
def test_daemon_gives_up_a_store_response_without_end(head, write, monkeypatch):
    """Guards against a reader that a store's response holds or fills up for ever."""
    monkeypatch.setattr(lavendermast.store, "READ_TIMEOUT_S", 0.5)
    monkeypatch.setattr(lavendermast.store, "MAX_TRANSFER_S", 0.5)
    client = lavendermast.store.StoreClient(serve(head, write), lambda: 0)
    with eventlet.Timeout(20), pytest.raises(StoreError):
        client.read("config")


def test_call_that_is_never_answered_ends_and_the_next_one_is_answered():
    """
    Guards against a reader that a call made in a silence of the store holds.

    The connection of that call stays silent for good, while new ones work.
    """
    calls = []

    def serve_after_silence():
        while True:
            peer, _ = listener.accept()
            calls.append(peer)
            if len(calls) > 1:
                peer.recv(65536)
                body = b'{"items": [], "at_rev": 7}'
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                peer.sendall(head.encode() + body)

    listener = eventlet.listen(("127.0.0.1", 0))
    eventlet.spawn(serve_after_silence)
    client = MetadataStore("{}:{}".format(*listener.getsockname()))
    with eventlet.Timeout(store.READ_TIMEOUT_S + 0.5), pytest.raises(StoreError):
        client.read_all()
    with eventlet.Timeout(0.5):
        assert client.read_all().to_revision == 7
