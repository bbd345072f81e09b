"""Documents: total order, verified deltas, conflicts and spread over a fleet."""

import contextlib

import attrs
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lavendermast.clock import ManualClock
from lavendermast.documents import HISTORY_LENGTH, DocumentStore
from lavendermast.exceptions import MessageError
from lavendermast.messages_model import Document, DocumentVersion, FetchDocument
from tests.memory_network import Fleet


def make_content(version):
    return b"".join(b"%d: route %d;" % (n, n * version) for n in range(50))


def make_store(validate=lambda name, content: ()):
    events = []
    store = DocumentStore(
        ManualClock(), lambda event, **fields: events.append(event), validate
    )
    return store, events


def transfer(source, target, damage=None):
    have_version, have_digest = target.get_version_and_digest("config")
    reply = source.make_reply(FetchDocument("config", have_version, have_digest))
    return target.apply(damage(reply) if damage else reply) if reply.version else None


def test_conflicting_content_is_refused_and_logged_once_per_digest():
    store, events = make_store()
    assert store.offer("config", 5, b"x", "store") == "accepted"
    for _ in range(3):
        assert store.offer("config", 5, b"y", "store") == "conflict"
        assert not store.is_wanted(DocumentVersion("config", 5, b"other"), "vm-1")
    assert store.offer("config", 4, b"z", "store") == "older"
    assert store.get("config").content == b"x"
    assert events.count("config_conflict") == 2  # one for each conflicting digest


def test_rejected_value_is_neither_validated_nor_fetched_again():
    checks = []
    store, events = make_store(lambda *args: checks.append(args) or ["no services"])
    for _ in range(3):
        assert store.offer("config", 5, b"bad", "store") == "rejected"
    source, _ = make_store()
    source.offer("config", 5, b"bad", "store")
    assert not store.is_wanted(source.get_versions()[0], "vm-1")
    assert len(checks) == 1 and events == ["config_rejected"]
    assert store.get("config") is None


def test_value_on_which_validation_raises_is_rejected():
    store, _ = make_store(lambda name, content: 1 / 0)
    assert store.offer("config", 5, b"x", "store") == "rejected"


def test_announcement_alone_changes_nothing_and_declared_sizes_are_bounded():
    """Guards against a small frame that declares a large value to exhaust memory."""
    store, _ = make_store()
    assert store.is_wanted(DocumentVersion("config", 9, b"d"), "vm-1")
    oversized = (
        bytes.fromhex("28b52ffd") + b"\xe0" + b"\xff" * 7 + b"\x00" + b"\x01\x00\x00"
    )
    for content in (oversized, b"", b"text"):
        with pytest.raises(MessageError):
            store.apply(Document("config", 9, b"d", b"", content))
    assert store.get("config") is None


def test_history_is_bounded_and_an_unknown_base_gives_the_whole_value():
    source, _ = make_store()
    target, _ = make_store()
    source.offer("config", 1, make_content(1), "store")
    transfer(source, target)
    for version in range(2, HISTORY_LENGTH + 2):
        source.offer("config", version, make_content(version), "store")
    reply = source.make_reply(
        FetchDocument("config", *target.get_version_and_digest("config"))
    )
    assert reply.base_digest == b""
    assert target.apply(reply) == "accepted"


class Replicas(RuleBasedStateMachine):
    """Four replicas and a store whose readers may be stale; contents by version."""

    vms = st.integers(0, 3)
    versions = st.integers(1, 9)

    def __init__(self):
        super().__init__()
        self.replicas = [make_store()[0] for _ in range(4)]
        self.highest = [0] * 4
        self.parts = [0] * 4

    @rule(vm=vms, version=versions)
    def read_store(self, vm, version):
        self.replicas[vm].offer("config", version, make_content(version), "store")

    @rule(vm=vms, text=st.binary(max_size=5))
    def read_other_content_of_the_same_version(self, vm, text):
        value = self.replicas[vm].get("config")
        if value is not None and value.content != text:
            result = self.replicas[vm].offer("config", value.version, text, "store")
            assert result == "conflict"

    @rule(sender=vms, receiver=vms)
    def fetch(self, sender, receiver):
        if self.parts[sender] == self.parts[receiver]:
            transfer(self.replicas[sender], self.replicas[receiver])

    @rule(sender=vms, receiver=vms, place=st.integers(0, 999), bits=st.integers(1, 255))
    def fetch_damaged(self, sender, receiver, place, bits):
        def damage(reply):
            data = bytearray(reply.content)
            data[place % len(data)] ^= bits
            return attrs.evolve(reply, content=bytes(data))

        with contextlib.suppress(MessageError):
            transfer(self.replicas[sender], self.replicas[receiver], damage)

    @rule(vm=vms)
    def restart(self, vm):
        self.replicas[vm], self.highest[vm] = make_store()[0], 0

    @rule(parts=st.lists(st.integers(0, 1), min_size=4, max_size=4))
    def partition(self, parts):
        self.parts = parts

    @invariant()
    def no_replica_goes_back_and_equal_versions_have_equal_content(self):
        for index, replica in enumerate(self.replicas):
            value = replica.get("config")
            version = value.version if value else 0
            assert version >= self.highest[index]
            self.highest[index] = version
            assert value is None or value.content == make_content(version)


TestReplicas = Replicas.TestCase
TestReplicas.settings = settings(max_examples=60, stateful_step_count=30)


def get_versions(fleet):
    values = [
        coordination.documents.get("config") for coordination in fleet.vms.values()
    ]
    return {value.version if value else 0 for value in values}


def test_change_reaches_all_44_vms_in_time_despite_loss():
    fleet = Fleet(44, loss=0.05, duplication=0.05)
    fleet.run(1)
    for version in (1, 2):
        content = make_content(version)
        fleet.vms["vm-3"].documents.offer("config", version, content, "store")
        fleet.run(7)
        assert get_versions(fleet) == {version}


def test_parts_of_a_partition_converge_to_the_highest_version():
    """
    Guards against a return to an older version (R7).

    After healing, the part with the older version must not win.
    """
    fleet = Fleet(44)
    fleet.vms["vm-3"].documents.offer("config", 1, b"1", "store")
    fleet.run(3)

    def get_part(address):
        return int(address.split(":")[0].split(".")[3]) % 3 == 0

    fleet.block_rules.append(lambda a, b: get_part(a) != get_part(b))
    fleet.vms["vm-3"].documents.offer("config", 2, b"2", "store")
    fleet.vms["vm-4"].documents.offer("config", 3, b"3", "store")
    fleet.run(10)
    assert get_versions(fleet) == {2, 3}
    fleet.block_rules.clear()
    fleet.run(12)
    assert get_versions(fleet) == {3}
