"""Tests of reconstructing incidents from decision logs."""

import io
import json
import random
import re

import pytest
from hypothesis import given, strategies as st

from bench.incident_logs import START, generate_logs
from lavendermast.clockskew import ClockEstimator
from lavendermast.incident import Filter, Incident
from lavendermast.incident_output import write_json, write_text
from lavendermast.loglines import CallerRecord, parse_line
from lavendermast.logs import format_event
from lavendermast.report import write_page


@pytest.fixture(scope="module")
def sample(tmp_path_factory):
    """Logs of 5 VMs with 6,000 lines."""
    return generate_logs(tmp_path_factory.mktemp("logs"), 6_000, vms=5, seed=3)


def rebuild(logs, callers=(), selection=None, traces=False):
    """Return the JSON report of logs."""
    stream = io.StringIO()
    with Incident(logs, callers) as incident:
        clean = write_json(incident, selection or Filter(), stream, traces)
    result = json.loads(stream.getvalue())
    result["clean"] = clean
    return result


def list_issues(report, *kinds):
    """Return (request, text) of the issues of some kinds."""
    return [
        (issue["request"], issue["text"])
        for request in report["requests"]
        for issue in request["issues"]
        if issue["kind"] in kinds
    ]


def copy_logs(logs, directory, edit):
    """Copy logs; ``edit`` takes and returns a list of lines."""
    paths = []
    for path in logs:
        lines = edit(path.read_text().splitlines(keepends=True))
        paths.append(directory / path.name)
        paths[-1].write_text("".join(lines))
    return paths


def test_logs_without_faults_match_the_callers(sample):
    """Guards against false alarms from clock offsets, retries and forwarding."""
    report = rebuild(sample.logs, [sample.callers])
    records = sample.callers.read_text().count("\n")
    assert report["clean"]
    assert report["requests"] == []
    assert report["summary"]["requests"] == records


def test_shuffled_lines_in_one_stream_give_the_same_report(
    sample, tmp_path, monkeypatch
):
    """Guards against relying on the order of lines or on one file per VM."""
    lines = [line for path in sample.logs for line in path.read_text().splitlines(True)]
    random.Random(5).shuffle(lines)
    monkeypatch.setattr("sys.stdin", io.StringIO("".join(lines)))
    first = rebuild(sample.logs, [sample.callers], traces=True)
    assert rebuild(["-"], [sample.callers], traces=True) == first


def test_repeated_files_change_nothing_but_the_line_count(sample):
    """Guards against counting a line twice if files overlap."""
    once = rebuild(sample.logs, [sample.callers])
    twice = rebuild([*sample.logs, sample.logs[0]], [sample.callers])
    assert twice["summary"] == once["summary"]
    assert twice["clean"]


@pytest.mark.parametrize(
    ("pattern", "replacement", "field"),
    [
        (r"outcome=answered", "outcome=not-run", "outcome"),
        (r"outcome=answered", "outcome=unknown", "outcome"),
        (r" status=200", " status=204", "status"),
        (r"body_digest=\w", "body_digest=x", "body_digest"),
        (r" bytes=", " bytes=1", "bytes"),
    ],
)
def test_falsified_line_contradicts_caller_record(
    sample, tmp_path, pattern, replacement, field
):
    """Guards against missing a log line that was changed after it was written."""
    changed = []

    def falsify(lines):
        for number, line in enumerate(lines):
            # A forwarded request has two lines; only the sender's is compared with the
            # caller's record, so forwarded requests are skipped.
            if "event=request " in line and "outcome=answered" in line and not changed:
                request = re.search(r" request=(\S+)", line)[1]
                if request not in sample.forwarded:
                    changed.append(request)
                    lines[number] = re.sub(pattern, replacement, line, count=1)
        return lines

    report = rebuild(copy_logs(sample.logs, tmp_path, falsify), [sample.callers])
    found = list_issues(report, "disagreement")
    assert not report["clean"]
    assert [item[0] for item in found] == changed
    assert found[0][1].startswith(field + ":")


def test_falsified_line_of_an_owner_is_found(tmp_path):
    """
    Guards against comparing only answered requests of sender and owner.

    With seed 33, vm2-55 is a forwarded request that was refused.
    """
    sample = generate_logs(tmp_path, 400, vms=4, seed=33)

    def falsify(lines):
        return [
            re.sub(r"body_digest=\S+", "body_digest=0", line)
            if " request=vm2-55 " in line
            else line
            for line in lines
        ]

    paths = copy_logs(sample.logs[1:2], tmp_path, falsify)
    report = rebuild([*paths, *sample.logs[2:], sample.logs[0]], [sample.callers])
    assert [item[0] for item in list_issues(report, "contradiction")] == ["vm2-55"]


def test_falsified_outcome_is_found_without_callers(sample, tmp_path):
    """Guards against missing a false not-run if there are no callers' records."""

    def falsify(lines):
        return [line.replace("outcome=answered", "outcome=not-run") for line in lines]

    report = rebuild(copy_logs(sample.logs[:1], tmp_path, falsify) + sample.logs[1:])
    found = list_issues(report, "contradiction")
    assert found
    assert all("not-run" in text or "told answered" in text for _, text in found)


def test_gaps_and_torn_lines_are_unknown_and_no_contradiction(sample, tmp_path):
    """Guards against reporting lost lines as a contradiction."""
    rng = random.Random(7)

    def damage(lines):
        kept = [line for line in lines if rng.random() > 0.1]
        return [*kept[:-1], kept[-1][: len(kept[-1]) // 2]]

    paths = copy_logs(sample.logs, tmp_path, damage)
    report = rebuild(paths, [sample.callers])
    assert report["clean"], list_issues(report, "disagreement", "contradiction")[:3]
    assert report["logs"]["torn"] == len(paths)
    texts = " ".join(text for _, text in list_issues(report, "unknown"))
    for wanted in ("request line is missing", "attempt lines are missing", "decision"):
        assert wanted in texts


def test_missing_log_is_unknown_and_no_contradiction(sample):
    """Guards against reporting a log that was not collected as a contradiction."""
    report = rebuild(sample.logs[1:], [sample.callers])
    assert report["clean"]
    assert report["logs"]["missing_vms"] == ["vm0"]
    texts = [text for _, text in list_issues(report, "unknown")]
    assert "the log of vm0 is missing" in texts
    assert "forwarded to vm0, whose log is missing" in texts


def test_clock_differences_are_within_their_stated_error(sample):
    """Guards against events in a wrong order because of wrong clock offsets."""
    rows = {row["vm"]: row for row in rebuild(sample.logs)["logs"]["vms"]}
    reference = next(vm for vm, row in rows.items() if row["clock_error_s"] == 0)
    for vm, row in rows.items():
        actual = sample.skews[vm] - sample.skews[reference]
        assert abs(row["clock_ahead_s"] - actual) <= row["clock_error_s"] + 1e-5


def test_impossible_samples_give_no_clock_difference():
    """Guards against a falsified line that shifts a VM's clock with a small error."""
    clocks = ClockEstimator()
    clocks.add_forwarded("r1", "a", "b", 100.0)
    clocks.add_request("r1", "a", 100.01, 0.01)
    clocks.add_request("r1", "b", 107.0, 0.02)
    assert clocks.estimate(["a", "b"])["b"].error is None


def test_ends_of_ejections_are_corrected_for_the_clock(sample):
    """Guards against correcting the start of an ejection but not its end."""
    with Incident(sample.logs) as incident:
        ejections = incident.timeline.list_ejections()
    assert ejections
    for ejection in ejections:
        assert ejection.end - ejection.start == pytest.approx(4, abs=0.001)


def test_filters_select_requests(sample):
    """Guards against a filter that passes other requests."""
    all_requests = rebuild(sample.logs, traces=True)["requests"]
    servers = rebuild(sample.logs, selection=Filter(server="stock-3"), traces=True)
    assert 0 < len(servers["requests"]) < len(all_requests)
    for request in servers["requests"]:
        assert any(line.get("server") == "stock-3" for line in request["lines"])
    span = Filter(since=START + 0.5, until=START + 1, service="bookings")
    for request in rebuild(sample.logs, selection=span, traces=True)["requests"]:
        assert START - 0.5 <= request["start"] <= START + 2
        assert request["lines"][0]["event"] in ("forwarded", "decision", "request")
    one = sample.forwarded[0]
    report = rebuild(sample.logs, selection=Filter(request=one), traces=True)
    assert [request["request"] for request in report["requests"]] == [one]
    assert len({line["vm"] for line in report["requests"][0]["lines"]}) == 2


def write_lines(path, rows):
    """Write log lines of one VM; each row is (seconds, event, fields)."""
    head = {"vm": "a", "zone": "z"}
    path.write_text(
        "".join(
            format_event(
                {"ts": f"{START + moment:.6f}", "event": event, **head, **rest}
            )
            + "\n"
            for moment, event, rest in rows
        )
    )
    return [path]


def make_run(request, key, moment, status="ok"):
    """Return the lines of one attempt of a keyed request."""
    common = {"request": request, "attempt": 1, "server": "s1"}
    response = {"outcome": "answered", "status": 200, "attempts": 1, "server": "s1"}
    return [
        (moment, "decision", {**common, "service": "s"}),
        (moment, "attempt", {**common, "status": status, "http_status": 200}),
        (
            moment,
            "request",
            {"request": request, "key": key, "service": "s", **response},
        ),
    ]


def test_key_run_by_two_requests_is_found(tmp_path):
    """Guards against a duplicate execution that no single trace shows."""
    rows = make_run("r1", "k", 0) + make_run("r2", "k", 1) + make_run("r3", "other", 2)
    report = rebuild(write_lines(tmp_path / "a.log", rows))
    (issue,) = report["fleet_issues"]
    assert "key k may have run 2 times, in r1, r2" in issue["text"]
    assert not report["clean"]


def test_ejections_in_force_and_reverted_versions_are_reported(tmp_path):
    """
    Guards against traces without the ejections that affected the decision.

    Also guards against an unreported return to an older configuration. ``until`` may be
    in seconds or milliseconds.
    """
    out = {"service": "s", "cause": "errors", "source": "local", "budget_left": 1}
    rows = [
        (0, "ejected", {**out, "server": "s2", "until": START + 9}),
        (1, "ejected", {**out, "server": "s3", "until": (START + 20) * 1000}),
        (5, "returned", {"service": "s", "server": "s2", "weight": 0.1}),
        (0, "config_accepted", {"document": "config", "version": 8}),
        (4, "config_accepted", {"document": "config", "version": 7}),
        *make_run("r1", None, 2),
        *make_run("r2", None, 6),
    ]
    report = rebuild(write_lines(tmp_path / "a.log", rows), traces=True)
    ejected = {
        request["request"]: [item["server"] for item in request["ejections"]]
        for request in report["requests"]
    }
    assert ejected == {"r1": ["s2", "s3"], "r2": ["s3"]}
    assert "reverted from configuration 8 to 7" in report["fleet_issues"][0]["text"]


def test_page_is_self_contained(sample, tmp_path):
    """Guards against a page that loads files or hosts its reader cannot reach."""
    stream = io.StringIO()
    with Incident(sample.logs, [sample.callers]) as incident:
        assert write_page(incident, Filter(), stream, with_traces=True)
    page = stream.getvalue()
    assert page.count("data:image/png;base64,iVBOR") == 4
    assert re.findall(r"(?:src|href)='(?!data:)", page) == []


def test_text_from_logs_cannot_forge_lines_of_the_report(tmp_path):
    """Guards against a path that imitates a finding or contains a terminal code."""
    rows = make_run("r1", None, 0)
    rows[-1][2]["path"] = "/x\nCONTRADICTION r9: forged\x1b[2J"
    stream = io.StringIO()
    with Incident(write_lines(tmp_path / "a.log", rows)) as incident:
        assert write_text(incident, Filter(), stream, with_traces=True)
    assert "\x1b" not in stream.getvalue()
    assert "\nCONTRADICTION" not in stream.getvalue()


FIELD = st.text(max_size=12) | st.none() | st.integers() | st.booleans()


@given(detail=FIELD, server=FIELD)
def test_any_written_line_is_read_back(detail, server):
    """Guards against a difference in quoting between log writer and log reader."""
    line = format_event(
        {"ts": "1.5", "event": "e", "vm": "a", "zone": "z", "d": detail, "s": server}
    )
    fields = parse_line(line)
    for key, value in (("d", detail), ("s", server)):
        text = value if isinstance(value, str) else json.dumps(value)
        assert fields[key] == (None if text in ("null", "-") else text)


@given(text=st.text(max_size=80) | st.text(alphabet='ts=1 event"\\{}:,vm', max_size=60))
def test_any_text_is_parsed_without_an_error(text):
    """Guards against a damaged line that aborts the reconstruction."""
    assert parse_line(text) is None or "event" in parse_line(text)
    record = CallerRecord.from_json(text)
    assert record is None or isinstance(record, CallerRecord)


def test_falsified_numbers_do_not_abort_the_reconstruction(sample, tmp_path):
    """Guards against fields with no number, an infinite or a huge number."""
    rng = random.Random(11)
    values = ["nan", "inf", "-1", "1e999", "x", '"a b"', "", "9" * 400]

    def falsify(lines):
        return [
            re.sub(
                r"(latency_ms|attempts|until|deadline|budget_left|version)=\S+",
                lambda match: f"{match[1]}={rng.choice(values)}",
                line,
            )
            for line in lines
        ]

    paths = copy_logs(sample.logs, tmp_path, falsify)
    rebuild(paths, [sample.callers], traces=True)
    with Incident(paths) as incident:
        write_page(incident, Filter(), io.StringIO(), with_traces=True)


def test_trace_of_an_entry_vm_shows_waits_and_decisions(tmp_path):
    """Guards against traces without the reason of a wait or the server chosen."""
    fields = {"vm": "edge-1", "zone": "a", "request": "q1"}
    estimate = {"server": "s1", "sickness": 0.3, "evidence_age_ms": None}
    events = [
        (0.001, "waiting", estimate),
        (0.4, "decision", {"attempt": 1, "reason": "first", "pending": 2, **estimate}),
        (0.8, "attempt_denied", {"reason": "hedge", "cause": "budget"}),
        (0.9, "attempt", {"attempt": 1, "server": "s1", "status": "ok"}),
        (0.91, "request", {"config_version": 7, "outcome": "answered", "status": 200}),
        (1.2, "answer_cut", {"detail": "server closed"}),
    ]
    path = tmp_path / "edge-1.log"
    path.write_text(
        "".join(
            format_event({"ts": START + offset, "event": event, **fields, **more})
            + "\n"
            for offset, event, more in events
        )
    )
    stream = io.StringIO()
    with Incident([path], ()) as incident:
        write_text(incident, Filter(request="q1"), stream, True)
    text = stream.getvalue()
    assert "configuration 7" in text
    assert "waits for a better server than s1 (sickness 0.3, no evidence)" in text
    assert "(first; sickness 0.3, no evidence, 2 in flight)" in text
    assert "hedge not sent: budget exhausted" in text
    assert "answer cut: server closed" in text
