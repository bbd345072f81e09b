"""Peer transport over real sockets on the loopback interface."""

import contextlib
import errno
import random
import types

import attrs
import eventlet
import pytest

from lavendermast.clock import SystemClock
from lavendermast.codec import FrameCodec
from lavendermast.coordination import Coordination
from lavendermast.exceptions import PeerError
from lavendermast.gossip import MAX_PIGGYBACK_ITEMS
from lavendermast.messages_model import (
    Evidence,
    FetchDocument,
    MemberUpdate,
    Piggyback,
    Ping,
    SyncMembers,
    Verdict,
)
from lavendermast.peers import (
    MAX_CONNECTIONS,
    MAX_DATAGRAM_BYTES,
    MAX_TRANSFERS,
    PeerNetwork,
    parse_address,
)
from lavendermast.settings_model import ProcessSettings
from tests.memory_network import Fleet

CODEC = FrameCodec({1: b"0123456789abcdef"}, 1)


@pytest.fixture
def start_vm():
    started = []

    def start(vm, seeds=()):
        place = (
            "riga",
            "riga-0",
            "site",
            "",
            "127.0.0.1:0",
            "",
            "",
            (),
            seeds,
            "-",
            0,
            0,
        )
        settings = ProcessSettings(vm, *place)
        clock = SystemClock()
        network = PeerNetwork.from_settings(settings, CODEC, clock)
        settings = attrs.evolve(settings, peer_address=network.address)
        common = (clock, random.Random(vm), lambda *args, **fields: None)
        coordination = Coordination.from_settings(
            settings, network, *common, lambda *_: ()
        )
        started.append((network, coordination, eventlet.spawn(network.run)))
        started[-1] += (eventlet.spawn(coordination.detector.run),)
        return network, coordination

    yield start
    for network, _, *tasks in started:
        network.close()
        for task in tasks:
            task.kill()


def wait_until(condition):
    with eventlet.Timeout(20):
        while not condition():
            eventlet.sleep(0.02)


def test_two_vms_join_exchange_a_document_and_survive_bad_input(start_vm):
    """Guards against damaged frames or failing handlers that end receiving tasks."""
    network, first = start_vm("vm-1")
    first.documents.offer("config", 3, b"content" * 50_000, "store")
    first.set_state("alive")
    other, second = start_vm("vm-2", (network.address,))

    def fail(envelope, address):
        raise RuntimeError("handler")

    network.register(Evidence, fail)
    second.readiness.contact_peers()
    wait_until(lambda: second.documents.get("config"))
    wait_until(lambda: second.readiness.evaluate().ready)
    second.set_state("alive")
    wait_until(lambda: first.membership.get_member("vm-2").state == "alive")

    other._udp.sendto(b"\x01\x01noise", parse_address(network.address))
    with eventlet.connect(parse_address(network.address)) as connection:
        connection.sendall(b"\xff\xff\xff\xff")
    other.send(network.address, Evidence())
    deadline = other._clock.monotonic() + 10
    with pytest.raises(PeerError):
        other.request(network.address, Evidence(), deadline)
    wait_until(lambda: network.counts.drops["handler_error"] == 2)
    wait_until(lambda: network.counts.drops["connection_error"] >= 1)
    assert network.counts.drops["truncated"] == 1
    assert network.counts.bytes["received", "ping"] > 0
    reply = other.request(network.address, FetchDocument("config"), deadline + 10)
    assert second.documents.apply(reply) == "same"

    unknown, _ = start_vm("vm-3")
    unknown.send(network.address, Ping(1))
    wait_until(lambda: network.counts.drops["unknown_sender"] == 1)
    unknown.send(network.address, Piggyback(updates=(MemberUpdate("x" * 1400),)))
    assert unknown.counts.drops["datagram_too_large"] == 1


def test_request_ends_at_its_deadline_when_the_peer_is_silent(start_vm):
    network, _ = start_vm("vm-1")
    silent = eventlet.listen(("127.0.0.1", 0))
    address = f"127.0.0.1:{silent.getsockname()[1]}"
    for wait in (-1, 0.05):
        with pytest.raises(PeerError):
            deadline = network._clock.monotonic() + wait
            network.request(address, SyncMembers(), deadline)
    with pytest.raises(eventlet.Timeout), eventlet.Timeout(0.05):
        network.request(address, SyncMembers(), deadline + 60)


@pytest.mark.parametrize("silent", [MAX_TRANSFERS, MAX_CONNECTIONS + 1])
def test_silent_peers_keep_no_others_from_an_answer(start_vm, silent):
    """Guards against a listener that stands still for peers that were cut off."""
    network, first = start_vm("vm-1")
    first.documents.offer("config", 3, b"content", "store")
    other, second = start_vm("vm-2", (network.address,))
    second.readiness.contact_peers()
    wait_until(lambda: second.documents.get("config"))
    address = parse_address(network.address)
    with contextlib.ExitStack() as stack:
        connections = [
            stack.enter_context(eventlet.connect(address)) for _ in range(silent)
        ]
        deadline = other._clock.monotonic() + 3.0
        reply = other.request(network.address, FetchDocument("config"), deadline)
        assert second.documents.apply(reply) == "same"
        if silent > MAX_CONNECTIONS:
            assert connections[0].recv(1) == b""
        connections[-1].sendall(b"\xff\xff\xff\xff")
        wait_until(lambda: network.counts.drops["connection_error"])


def test_failed_accepts_are_counted_with_the_drops(start_vm, monkeypatch):
    """Guards against a lack of descriptors that no metric shows."""
    network, _ = start_vm("vm-1")
    listening = network._listener._socket
    accept, failures = listening.accept, []

    def fail_once():
        if not failures:
            failures.append(1)
            raise OSError(errno.EMFILE, "Too many open files")
        return accept()

    monkeypatch.setattr(listening, "accept", fail_once)
    eventlet.connect(parse_address(network.address)).close()
    wait_until(lambda: network.count_drops().get("accept_error") == 1)


@pytest.mark.parametrize("length", [1, 20, 63, 200])
def test_every_message_with_queued_items_fits_a_datagram(length):
    """Guards against fragmentation, where one loss drops all; sizes are worst cases."""
    fleet = Fleet(3, codec=CODEC)
    gossip = fleet.vms["vm-0"].gossip
    name = "é" * (length // 2) + "x" * (length % 2)
    for index in range(20):
        update = MemberUpdate(
            f"{name}{index}", 2**64 - 2, 2**63 + 1, 2**32 - 2, "dead", name, name
        )
        update = attrs.evolve(update, caller_address=name, peer_address=name)
        verdict = Verdict(name, f"{name}{index}", "cold", 0.3, name, 2**63 + 7, 2**62)
        gossip.enqueue([update], [verdict])
    sizes = []
    for _ in range(100):
        piggyback = gossip.make_piggyback("vm-1", introduce=True)
        count = len(piggyback.updates) + len(piggyback.verdicts)
        assert 1 <= count <= MAX_PIGGYBACK_ITEMS
        body = Ping(2**64 - 2, piggyback)
        envelope = fleet.transports["10.0.0.0:7000"].make_envelope(body, fleet.clock)
        sizes.append(len(CODEC.encode(envelope)))
    assert max(sizes) <= MAX_DATAGRAM_BYTES


def test_frame_that_raises_an_unexpected_error_does_not_stop_receiving(start_vm):
    """Guards against one datagram that ends the task which receives all of them."""
    network, first = start_vm("vm-1")
    decode, failures = CODEC.decode, []

    def fail_once(frame):
        if not failures:
            failures.append(frame)
            raise RuntimeError("unexpected")
        return decode(frame)

    network._codec = types.SimpleNamespace(encode=CODEC.encode, decode=fail_once)
    other, second = start_vm("vm-2", (network.address,))
    other._udp.sendto(b"\x01\x01noise", parse_address(network.address))
    wait_until(lambda: failures)
    second.readiness.contact_peers()
    wait_until(lambda: first.membership.get_member("vm-2") is not None)
    assert network.counts.drops["handler_error"] == 1


def test_bytes_are_counted_by_the_scope_of_the_other_vm(start_vm):
    """
    Guards against bytes without a scope: a request over TCP arrives from another port
    than the peer address, so its reply is counted by the sender's name.
    """
    first, _ = start_vm("vm-1")
    second, _ = start_vm("vm-2")
    for network in (first, second):
        network.find_scope = lambda vm: {"vm-1": "zone", second.address: "other"}.get(
            vm, "unknown"
        )
        network.set_membership(
            types.SimpleNamespace(
                local_member=types.SimpleNamespace(boot_id=1),
                find_drop_reason=lambda *args: None,
            )
        )
    second.register(FetchDocument, lambda envelope, address: Ping(1))
    first.request(second.address, FetchDocument(), first._clock.monotonic() + 5)
    sent = first.counts.scoped_bytes["sent", "fetchDocument", "other"]
    assert sent == second.counts.scoped_bytes["received", "fetchDocument", "zone"] > 0
    replied = first.counts.scoped_bytes["received", "ping", "other"]
    wait_until(lambda: second.counts.scoped_bytes["sent", "ping", "zone"] == replied)
