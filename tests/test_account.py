"""Tests of combining the logs of several processes by request and by key."""

import io
import json

import pytest

from lavendermast.clockskew import ClockEstimator
from lavendermast.incident import Filter, Incident
from lavendermast.incident_output import write_json, write_text
from lavendermast.logs import digest_bytes, format_event
from lavendermast.report import count_versions, draw_ejections, load_figure_class
from lavendermast.timeline import Ejection
from tests.cluster import Cluster

START = 1_700_000_000.0
KEY = "aaaaaaaaaaaaaaaa"
ANSWER = {"outcome": "answered", "status": 200, "bytes": 2, "body_digest": "b1"}
UNKNOWN = {"outcome": "unknown", "reason": "owner-cut", "status": 504}
HANDOVER = {"successor": "b", "entries": 3, "accepted": True}


def write_log(folder, rows):
    """Write rows of (seconds, VM, event, fields), one file for each VM."""
    paths = {folder / f"{row[1]}.log" for row in rows}
    for path in paths:
        lines = [
            format_event(
                {
                    "ts": f"{START + at:.6f}",
                    "event": event,
                    "vm": vm,
                    "zone": "z",
                    **rest,
                }
            )
            for at, vm, event, rest in rows
            if vm == path.stem
        ]
        path.write_text("".join(line + "\n" for line in lines))
    return sorted(paths)


def make_run(at, vm, request):
    """Return the lines of a request with a key that ran on a server."""
    common = {"request": request, "attempt": 1, "server": "s1"}
    end = {"request": request, "key": KEY, "attempts": 1, "server": "s1", **ANSWER}
    return [
        (at, vm, "decision", common),
        (at, vm, "attempt", {**common, "status": "ok", "http_status": 200}),
        (at, vm, "request", end),
    ]


def make_replay(at, vm, request, **response):
    """Return the lines of a repeated request that a VM answered from its ledger."""
    head = {"request": request, "key": KEY}
    return [
        (at, vm, "duplicate", {**head, "action": "replayed"}),
        (at, vm, "request", {**head, "attempts": 0, **ANSWER, **response}),
    ]


def list_issues(logs):
    """Return (kind, text) of all issues."""
    stream = io.StringIO()
    with Incident(logs) as incident:
        write_json(incident, Filter(), stream, False)
    report = json.loads(stream.getvalue())
    rows = [issue for item in report["requests"] for issue in item["issues"]]
    rows += report["fleet_issues"]
    return [(row["kind"], row["text"]) for row in rows]


def make_forward(at, vm, request, owner, response):
    """Return the lines of the VM that forwards a request."""
    head = {"request": request, "key": KEY}
    return [
        (at, vm, "forwarded", {**head, "owner": owner, "address": "127.0.0.1:1"}),
        (at + 0.2, vm, "request", {**head, "attempts": 0, **response}),
    ]


def test_response_of_successor_is_compared_with_that_of_sender(tmp_path):
    """
    Guards against an unchecked response of a successor.

    The token names the previous owner, so the line of the VM that took over its keys
    was not compared with the sender's.
    """
    rows = make_run(0, "a", "r1") + [(1, "a", "handover", HANDOVER)]
    rows += make_forward(2, "c", "r2", "a", ANSWER)
    logs = write_log(tmp_path, rows + make_replay(2.1, "b", "r2"))
    assert list_issues(logs) == []
    logs = write_log(tmp_path, rows + make_replay(2.1, "b", "r2", body_digest="b2"))
    text = "told body_digest b1, but the owner b told b2"
    assert ("contradiction", text) in list_issues(logs)


def test_restarted_vm_forwards_keys_of_its_previous_process(tmp_path):
    """
    Guards against comparing the sender with itself.

    The token names a VM that has restarted, so sender and owner have the same name.
    """
    rows = make_run(0, "a", "r1") + [(1, "a", "handover", HANDOVER)]
    rows += make_forward(2, "a", "r2", "a", ANSWER)
    rows += make_replay(2.1, "b", "r2", status=201)
    assert ("contradiction", "told status 200, but the owner b told 201") in (
        list_issues(write_log(tmp_path, rows))
    )


def test_rejected_handover_moves_no_key(tmp_path):
    """Guards against accepting a replay by a VM that never received the key."""
    rejected = {**HANDOVER, "accepted": False}
    rows = make_run(0, "a", "r1") + [(1, "a", "handover", rejected)]
    ((kind, text),) = list_issues(write_log(tmp_path, rows + make_replay(2, "b", "r2")))
    assert kind == "unknown"
    assert "no handover to b" in text


def test_not_run_for_a_key_that_ran_is_found(tmp_path):
    """Guards against a false not-run (R3): each request alone is consistent."""
    response = {"request": "r2", "key": KEY, "outcome": "not-run", "attempts": 0}
    rows = [*make_run(0, "a", "r1"), (1, "b", "request", response)]
    text = f"told not-run, but key {KEY} may have run in r1"
    assert list_issues(write_log(tmp_path, rows)) == [("contradiction", text)]


def test_lost_response_of_an_owner_is_unknown(tmp_path):
    """Guards against confirming an outcome that did not reach the sender."""
    rows = make_run(0.1, "a", "r1") + make_forward(0, "c", "r1", "a", UNKNOWN)
    ((kind, text),) = list_issues(write_log(tmp_path, rows))
    assert (kind, text) == (
        "unknown",
        "the outcome answered of the owner a did not reach c",
    )


def test_request_never_sent_to_its_owner_needs_no_lines_of_the_owner(tmp_path):
    """Guards against requiring lines that a dead owner cannot have written."""
    response = {**UNKNOWN, "reason": "owner-connect-failed"}
    rows = make_forward(0, "c", "r1", "a", response) + make_run(5, "a", "r2")
    assert list_issues(write_log(tmp_path, rows)) == []


def test_key_is_one_trace_across_a_handover(tmp_path):
    """Guards against a trace that ends with the first process of the owner."""
    rows = make_run(0, "a", "r1") + [(1, "a", "handover", HANDOVER)]
    logs = write_log(tmp_path, rows + make_replay(2, "b", "r2"))
    stream = io.StringIO()
    with Incident(logs) as incident:
        write_text(incident, Filter(key=KEY), stream, False)
    text = stream.getvalue()
    assert f"key {KEY}, 2 requests" in text
    ran = text.index("r1  attempt 1 on s1")
    moved = text.index("a  handed its ledger of 3 keys over to b")
    assert ran < moved < text.index("r2  repeated idempotency key: replayed")


@pytest.mark.parametrize("cut", [5, 40, 75])
def test_line_after_a_torn_one_is_read(tmp_path, cut):
    """Guards against losing the line that follows a torn one of a killed process."""
    (path,) = write_log(tmp_path, make_run(0, "a", "r1") + make_run(1, "a", "r2"))
    lines = path.read_text().splitlines(keepends=True)
    lines[2] = lines[2][:cut]
    path.write_text("".join(lines))
    with Incident([path]) as incident:
        assert (incident.counts.torn, incident.counts.damaged) == (1, 0)
        traces = {trace.request: trace for trace in incident.iterate_traces()}
    assert traces["r1"].response_line is None
    assert len(traces["r2"].lines) == 3


def test_inaccurate_sample_does_not_change_a_clock():
    """Guards against a 1 s offset from one slow forward despite links of a few ms."""
    clocks = ClockEstimator()
    samples = [("a", "b", 0.004, 0.0), ("b", "c", 0.004, 0.0), ("a", "c", 2.0, 1.9)]
    for sender, owner, length, delay in samples:
        request = sender + owner
        clocks.add_forwarded(request, sender, owner, START)
        clocks.add_request(request, sender, START + length, length)
        clocks.add_request(request, owner, START + delay + 0.002, 0.001)
    offsets = clocks.estimate("abc")
    assert [offsets[vm].seconds for vm in "abc"] == [0, 0, 0]
    assert 0 < offsets["c"].error < 0.01


def test_plot_shows_all_ejections():
    """Guards against an axis that ends at one server, however many are ejected."""
    axes = load_figure_class()().add_subplot()
    items = [
        Ejection(n, 9, "a", "s", f"s{n}", "errors", "local", 2 - n) for n in range(3)
    ]
    assert draw_ejections(axes, items, 0, 10)
    assert axes.get_ylim()[1] > 3


def test_versions_in_force_are_counted_by_vm():
    """Guards against counting a VM with both its old and its new version."""
    versions = {"a": [(0, 1, ""), (5, 2, "")], "b": [(1, 1, "")]}
    rows = [(moment, dict(counts)) for moment, counts in count_versions(versions)]
    assert rows == [(0, {1: 1}), (1, {1: 2}), (5, {2: 1, 1: 1})]


@pytest.fixture(scope="module")
def cluster():
    made = Cluster(2)
    yield made
    made.stop()


def test_attempts_of_a_refused_request_are_logged(cluster, monkeypatch):
    """Guards against logging 0 attempts for a request that every server shed (R8)."""
    for name in ("stock-1", "stock-2"):
        monkeypatch.setattr(cluster.backends[name], "queue", -100)
    headers = [("Lavendermast-Request", "shed-by-all")]
    status, headers, _ = cluster.request("GET", "/stock/1", headers)
    assert (status, headers["lavendermast-outcome"]) == (503, "not-run")
    attempts = cluster.read_log(0, "attempt")
    (row,) = cluster.read_log(0, "request")
    assert row["attempts"] == str(len(attempts)) != "0"


def test_unready_vm_reports_unknown_for_a_key(cluster, monkeypatch):
    """Guards against a false not-run (R3): the key may have run at its owner."""
    monkeypatch.setattr(cluster.nodes[1].policy, "ready", False)
    for key, outcome in (("", "not-run"), ("token.x", "unknown")):
        headers = [("Lavendermast-Key", key)] if key else []
        answer = cluster.request("POST", "/orders", headers, b"x", number=1)
        assert (answer[0], answer[1]["lavendermast-outcome"]) == (503, outcome)


def test_key_of_an_idempotent_request_is_not_logged(cluster):
    """
    Guards against reporting a repeated idempotent request as a second run.

    Idempotent routes ignore a key that the caller sends, so the request may run again.
    """
    headers = [("Lavendermast-Key", "token.y"), ("Lavendermast-Request", "with-key")]
    cluster.request("GET", "/stock/1", headers, number=1)
    rows = cluster.read_log(1, "request")
    digest = digest_bytes(b"token.y")
    assert [row["request"] for row in rows if row["key"] == digest] == []
