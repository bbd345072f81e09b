"""Tests of the compact form of reports and summaries, and of what summaries send."""

import math
import random
import types

import pytest

from lavendermast.clock import ManualClock
from lavendermast.codec import Envelope, FrameCodec
from lavendermast.compactreports import (
    pack_reports,
    pack_summaries,
    unpack_reports,
    unpack_summaries,
)
from lavendermast.evidenceregistry import EvidenceRegistry
from lavendermast.evidencesharing import SUMMARY_INTERVAL_S, EvidenceSharing
from lavendermast.losstracker import LossTracker
from lavendermast.messages_model import (
    AttemptReport,
    AttemptReports,
    ServerSummaries,
    ServerSummary,
)
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.peers import MAX_DATAGRAM_BYTES
from lavendermast.ratelimits import RateLimits
from lavendermast.suspicion import AttemptOutcome
from tests.test_selection import ROUTE

CODEC = FrameCodec({1: b"0123456789abcdef"}, 1)
PHASES = ("pending", "succeeded", "failed", "refused", "abandoned", "error")
REGIONS = {"a": "north", "b": "south"}


def encode(body):
    return CODEC.encode(Envelope("edge-zone-12", 2**48, 2**41, body))


@pytest.mark.parametrize("name_length", [3, 12, 200])
def test_reports_survive_the_compact_form_and_fit_datagrams(name_length):
    """
    Guards against reports that are lost, changed or dropped as too large.

    Names may be long and share any prefix, and each report may name a limit.
    """
    rng = random.Random(name_length)
    reports = [
        AttemptReport(
            f"{rng.choice('ab')}{rng.getrandbits(900):0300x}"[:name_length],
            rng.randrange(2**32),
            rng.choice(PHASES),
            rng.randrange(2**16),
            rng.randrange(2**16),
            f"route-{rng.randrange(9)}-é",
            rng.choice([0.0, math.inf, 2.5]),
            rng.randrange(2**16),
        )
        for _ in range(120)
    ]
    frames = [encode(message) for message in pack_reports(reports)]
    assert max(map(len, frames)) <= MAX_DATAGRAM_BYTES
    received = [
        report
        for frame in frames
        for report in unpack_reports(CODEC.decode(frame).body)
    ]
    assert sorted(received, key=repr) == sorted(reports, key=repr)


def test_reports_of_an_older_build_are_read():
    """Guards against evidence that is lost while builds of two kinds run."""
    report = AttemptReport("s1", 7, "error", 20, 10, "r", 2.5, 3)
    message = CODEC.decode(encode(AttemptReports((report,)))).body
    assert unpack_reports(message) == [report]
    summary = ServerSummary("s1", 700, 3, 2.5, 30, 0.5)
    message = CODEC.decode(encode(ServerSummaries(True, (summary,)))).body
    assert unpack_summaries(message) == [summary]


@pytest.mark.parametrize(
    "message",
    [
        AttemptReports(servers=" s1", routes=" r", entries=b"x"),
        AttemptReports(servers=" s1", routes=" r", entries=bytes(4) + b"\x01" * 9),
        AttemptReports(
            servers=" s1", routes=" r", entries=bytes(6) + b"\x20" + bytes(6)
        ),
        AttemptReports(servers="\n", routes=" r", entries=bytes(13)),
    ],
)
def test_malformed_reports_are_rejected_whole(message):
    """Guards against evidence on the wrong server."""
    with pytest.raises(ValueError, match="malformed"):
        unpack_reports(message)


def test_summaries_survive_the_compact_form():
    """Guards against a limit that moves to another server."""
    summaries = [
        ServerSummary(f"s{n:04}", n, n % 7, (0.0, math.inf, 2.5)[n % 3], n, n % 3 // 2)
        for n in range(300)
    ]
    frames = [encode(ServerSummaries(**part)) for part in pack_summaries(summaries)]
    assert max(map(len, frames)) <= MAX_DATAGRAM_BYTES
    received = [
        item for frame in frames for item in unpack_summaries(CODEC.decode(frame).body)
    ]
    assert received == summaries


class Sender:
    """The representative of a region with two servers, and what it sends."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.sent = []
        limits = RateLimits(self.clock, lambda event, **fields: None, lambda name: True)
        self.registry = EvidenceRegistry(self.clock, lambda name: ROUTE, limits)
        relays = [
            types.SimpleNamespace(vm=f"b{n}", peer_address=f"b{n}", cores=1.0)
            for n in range(3)
        ]
        network = types.SimpleNamespace(
            register=lambda *args: None,
            broadcast=lambda addresses, body: self.sent.append((addresses, body)),
        )
        catalog = types.SimpleNamespace(
            get_region_servers=lambda region: {"stock": ["s1", "s2"]}
        )
        fleet = types.SimpleNamespace(
            get_active=lambda zone: relays if zone == "b" else []
        )
        self.sharing = EvidenceSharing(
            types.SimpleNamespace(region="north"),
            REGIONS,
            self.registry,
            LossTracker(self.registry.get, 0.5),
            catalog,
            fleet,
            network,
            self.clock,
        )

    def observe(self, server, status=AttemptStatus.OK):
        failed = status is not AttemptStatus.OK
        attempt = self.registry.start(server, ROUTE)
        result = AttemptResult(server, status)
        outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.SUCCEEDED
        self.registry.finish(server, ROUTE, attempt, result, outcome)

    def send(self):
        """Return the servers in the summaries of the next interval."""
        self.sent.clear()
        self.clock.advance(SUMMARY_INTERVAL_S)
        self.sharing.send_summaries()
        return [s.server for _, body in self.sent for s in unpack_summaries(body)]


def test_unchanged_summaries_are_repeated_rarely():
    """Guards against bytes between regions for servers that stay healthy."""
    sender = Sender()
    for _ in range(5):
        sender.observe("s1")
        sender.observe("s2")
    rounds = [sender.send() for _ in range(7)]
    assert rounds == [["s1", "s2"], [], []] * 2 + [["s1", "s2"]]


def test_sick_server_is_in_the_next_summary():
    """Guards against another region that sends requests to a sick server for longer."""
    sender = Sender()
    for _ in range(5):
        sender.observe("s1")
        sender.observe("s2")
    sender.send()
    for _ in range(3):
        sender.observe("s2", AttemptStatus.CUT)
    assert sender.send() == ["s2"]


def test_relays_take_turns():
    """Guards against one VM that relays all summaries to its region."""
    sender = Sender()
    relays = set()
    for _ in range(3):
        sender.observe("s1", AttemptStatus.CUT)
        for _ in range(3):
            sender.send()
            relays.update(address for sent, _ in sender.sent for address in sent)
    assert relays == {"b0", "b1", "b2"}


def test_report_of_an_end_replaces_that_of_its_start():
    """Guards against two datagrams where the second holds all that the first does."""
    sender = Sender()
    attempt = sender.registry.start("s1", ROUTE)
    assert [report.phase for report in sender.registry.take_reports()] == ["pending"]
    result = AttemptResult("s1", AttemptStatus.OK)
    sender.registry.finish("s1", ROUTE, attempt, result, AttemptOutcome.SUCCEEDED)
    batches = []
    for _ in range(4):
        batches.append([report.phase for report in sender.registry.take_reports()])
        sender.clock.advance(0.3)
    assert batches == [["succeeded"], ["succeeded"], [], []]
    assert not sender.registry.has_reports
