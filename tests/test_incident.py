"""Tests of rebuilding incidents from decision logs."""

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
def made(tmp_path_factory):
    """Logs of 5 VMs with 6,000 lines."""
    return generate_logs(tmp_path_factory.mktemp("logs"), 6_000, vms=5, seed=3)


def rebuild(logs, callers=(), selection=None, stories=False):
    """Return the JSON report of logs."""
    stream = io.StringIO()
    with Incident(logs, callers) as incident:
        clean = write_json(incident, selection or Filter(), stream, stories)
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


def test_account_without_faults_matches_the_callers(made):
    """Guards against false alarms through clock differences, retries and forwards."""
    report = rebuild(made.logs, [made.callers])
    records = made.callers.read_text().count("\n")
    assert report["clean"]
    assert report["requests"] == []
    assert report["summary"]["requests"] == records


def test_shuffled_lines_in_one_stream_give_the_same_report(made, tmp_path, monkeypatch):
    """Guards against relying on the order of lines or on one file for each VM."""
    lines = [line for path in made.logs for line in path.read_text().splitlines(True)]
    random.Random(5).shuffle(lines)
    monkeypatch.setattr("sys.stdin", io.StringIO("".join(lines)))
    first = rebuild(made.logs, [made.callers], stories=True)
    assert rebuild(["-"], [made.callers], stories=True) == first


def test_repeated_files_change_nothing_but_the_line_count(made):
    """Guards against counting a line twice when files overlap."""
    once = rebuild(made.logs, [made.callers])
    twice = rebuild([*made.logs, made.logs[0]], [made.callers])
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
def test_one_falsified_line_is_found(made, tmp_path, pattern, replacement, field):
    """Guards against an account that was changed after the fact."""
    changed = []

    def falsify(lines):
        for number, line in enumerate(lines):
            # A sender's and an owner's line differ; the sender's is the one told.
            if "event=request " in line and "outcome=answered" in line and not changed:
                request = re.search(r" request=(\S+)", line)[1]
                if request not in made.forwarded:
                    changed.append(request)
                    lines[number] = re.sub(pattern, replacement, line, count=1)
        return lines

    report = rebuild(copy_logs(made.logs, tmp_path, falsify), [made.callers])
    found = list_issues(report, "disagreement")
    assert not report["clean"]
    assert [item[0] for item in found] == changed
    assert found[0][1].startswith(field + ":")


def test_false_line_of_an_owner_is_found(tmp_path):
    """Guards against comparing answered requests only: seed 33 has a refused one."""
    made = generate_logs(tmp_path, 400, vms=4, seed=33)

    def falsify(lines):
        return [
            re.sub(r"body_digest=\S+", "body_digest=0", line)
            if " request=vm2-55 " in line
            else line
            for line in lines
        ]

    paths = copy_logs(made.logs[1:2], tmp_path, falsify)
    report = rebuild([*paths, *made.logs[2:], made.logs[0]], [made.callers])
    assert [item[0] for item in list_issues(report, "contradiction")] == ["vm2-55"]


def test_falsified_outcome_is_found_without_callers(made, tmp_path):
    """Guards against a false not-run that no caller's record uncovers."""

    def falsify(lines):
        return [line.replace("outcome=answered", "outcome=not-run") for line in lines]

    report = rebuild(copy_logs(made.logs[:1], tmp_path, falsify) + made.logs[1:])
    found = list_issues(report, "contradiction")
    assert found
    assert all("not-run" in text or "told answered" in text for _, text in found)


def test_gaps_and_torn_lines_are_unknown_and_never_a_fault(made, tmp_path):
    """Guards against accusing an account for lines that are merely missing."""
    rng = random.Random(7)

    def damage(lines):
        kept = [line for line in lines if rng.random() > 0.1]
        return [*kept[:-1], kept[-1][: len(kept[-1]) // 2]]

    paths = copy_logs(made.logs, tmp_path, damage)
    report = rebuild(paths, [made.callers])
    assert report["clean"], list_issues(report, "disagreement", "contradiction")[:3]
    assert report["logs"]["torn"] == len(paths)
    texts = " ".join(text for _, text in list_issues(report, "unknown"))
    for wanted in ("request line is missing", "attempt lines are missing", "decision"):
        assert wanted in texts


def test_missing_vm_is_named_and_not_blamed(made):
    """Guards against reading a log that was not collected as a false account."""
    report = rebuild(made.logs[1:], [made.callers])
    assert report["clean"]
    assert report["logs"]["missing_vms"] == ["vm0"]
    texts = [text for _, text in list_issues(report, "unknown")]
    assert "the log of vm0 is missing" in texts
    assert "forwarded to vm0, whose log is missing" in texts


def test_clock_differences_are_within_their_stated_error(made):
    """Guards against stories in an order that clocks made up."""
    rows = {row["vm"]: row for row in rebuild(made.logs)["logs"]["vms"]}
    reference = next(vm for vm, row in rows.items() if row["clock_error_s"] == 0)
    for vm, row in rows.items():
        actual = made.skews[vm] - made.skews[reference]
        assert abs(row["clock_ahead_s"] - actual) <= row["clock_error_s"] + 1e-5


def test_impossible_samples_give_no_clock_difference():
    """Guards against a false line that moves a VM's clock with a small error."""
    clocks = ClockEstimator()
    clocks.add_forwarded("r1", "a", "b", 100.0)
    clocks.add_request("r1", "a", 100.01, 0.01)
    clocks.add_request("r1", "b", 107.0, 0.02)
    assert clocks.estimate(["a", "b"])["b"].error is None


def test_ends_of_ejections_are_corrected_for_the_clock(made):
    """Guards against an end on the VM's clock beside a corrected start."""
    with Incident(made.logs) as incident:
        ejections = incident.timeline.list_ejections()
    assert ejections
    for ejection in ejections:
        assert ejection.end - ejection.start == pytest.approx(4, abs=0.001)


def test_filters_select_stories(made):
    """Guards against a filter that lets other requests through."""
    everything = rebuild(made.logs, stories=True)["requests"]
    servers = rebuild(made.logs, selection=Filter(server="stock-3"), stories=True)
    assert 0 < len(servers["requests"]) < len(everything)
    for request in servers["requests"]:
        assert any(line.get("server") == "stock-3" for line in request["lines"])
    span = Filter(since=START + 0.5, until=START + 1, service="bookings")
    for request in rebuild(made.logs, selection=span, stories=True)["requests"]:
        assert START - 0.5 <= request["start"] <= START + 2
        assert request["lines"][0]["event"] in ("forwarded", "decision", "request")
    one = made.forwarded[0]
    report = rebuild(made.logs, selection=Filter(request=one), stories=True)
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
    both = {"request": request, "attempt": 1, "server": "s1"}
    told = {"outcome": "answered", "status": 200, "attempts": 1, "server": "s1"}
    return [
        (moment, "decision", {**both, "service": "s"}),
        (moment, "attempt", {**both, "status": status, "http_status": 200}),
        (moment, "request", {"request": request, "key": key, "service": "s", **told}),
    ]


def test_key_that_ran_in_two_requests_is_found(tmp_path):
    """Guards against a duplicate execution that each request's story hides."""
    rows = make_run("r1", "k", 0) + make_run("r2", "k", 1) + make_run("r3", "other", 2)
    report = rebuild(write_lines(tmp_path / "a.log", rows))
    (issue,) = report["fleet_issues"]
    assert "key k may have run 2 times, in r1, r2" in issue["text"]
    assert not report["clean"]


def test_ejections_in_force_and_reverted_versions_are_reported(tmp_path):
    """Guards against stories without the ejections that shaped the choice."""
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
    report = rebuild(write_lines(tmp_path / "a.log", rows), stories=True)
    force = {
        request["request"]: [item["server"] for item in request["ejections"]]
        for request in report["requests"]
    }
    assert force == {"r1": ["s2", "s3"], "r2": ["s3"]}
    assert "reverted from configuration 8 to 7" in report["fleet_issues"][0]["text"]


def test_page_is_self_contained(made, tmp_path):
    """Guards against a page that needs files or hosts that its reader lacks."""
    stream = io.StringIO()
    with Incident(made.logs, [made.callers]) as incident:
        assert write_page(incident, Filter(), stream, with_stories=True)
    page = stream.getvalue()
    assert page.count("data:image/png;base64,iVBOR") == 4
    assert re.findall(r"(?:src|href)='(?!data:)", page) == []


def test_text_from_logs_cannot_forge_lines_of_the_report(tmp_path):
    """Guards against a caller's path that looks like a finding or a terminal code."""
    rows = make_run("r1", None, 0)
    rows[-1][2]["path"] = "/x\nCONTRADICTION r9: forged\x1b[2J"
    stream = io.StringIO()
    with Incident(write_lines(tmp_path / "a.log", rows)) as incident:
        assert write_text(incident, Filter(), stream, with_stories=True)
    assert "\x1b" not in stream.getvalue()
    assert "\nCONTRADICTION" not in stream.getvalue()


FIELD = st.text(max_size=12) | st.none() | st.integers() | st.booleans()


@given(detail=FIELD, server=FIELD)
def test_any_written_line_is_read_back(detail, server):
    """Guards against a reader and a writer of lines that differ on quoting."""
    line = format_event(
        {"ts": "1.5", "event": "e", "vm": "a", "zone": "z", "d": detail, "s": server}
    )
    fields = parse_line(line)
    for key, value in (("d", detail), ("s", server)):
        text = value if isinstance(value, str) else json.dumps(value)
        assert fields[key] == (None if text in ("null", "-") else text)


@given(text=st.text(max_size=80) | st.text(alphabet='ts=1 event"\\{}:,vm', max_size=60))
def test_any_text_is_read_without_an_error(text):
    """Guards against a damaged line that ends the reconstruction."""
    assert parse_line(text) is None or "event" in parse_line(text)
    record = CallerRecord.from_json(text)
    assert record is None or isinstance(record, CallerRecord)


def test_falsified_numbers_never_end_the_reconstruction(made, tmp_path):
    """Guards against fields that hold no number, an infinity or a huge number."""
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

    paths = copy_logs(made.logs, tmp_path, falsify)
    rebuild(paths, [made.callers], stories=True)
    with Incident(paths) as incident:
        write_page(incident, Filter(), io.StringIO(), with_stories=True)


def test_story_of_an_entry_vm_states_what_decided(tmp_path):
    """Guards against stories that leave out why a request waited and where it went."""
    fields = {"vm": "edge-1", "zone": "a", "request": "q1"}
    belief = {"server": "s1", "sickness": 0.3, "evidence_age_ms": None}
    events = [
        (0.001, "waiting", belief),
        (0.4, "decision", {"attempt": 1, "reason": "first", "pending": 2, **belief}),
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
    assert "no hedge: the budget for it is spent" in text
    assert "answer cut: server closed" in text
