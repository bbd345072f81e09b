"""Writes reconstructed incidents as text and as JSON."""

import datetime
import json
import math

import attrs

from .stories import get_arrival, get_deadline

MAX_GAPS = 5
FAULT_KINDS = frozenset({"disagreement", "contradiction"})


def format_time(moment):
    """
    Return a Unix time as text.

    >>> format_time(1700000000.25)
    '2023-11-14T22:13:20.250Z'
    """
    if moment is None or not math.isfinite(moment):
        return "-"
    text = datetime.datetime.fromtimestamp(moment, datetime.UTC).isoformat(
        timespec="milliseconds"
    )
    return text.replace("+00:00", "Z")


def escape_text(text):
    r"""
    Return a line with control characters escaped.

    A path or a detail from a log could otherwise forge lines of the report.

    >>> escape_text("a\nb")
    'a\\nb'
    """
    if text.isprintable():
        return text
    return "".join(
        part if part.isprintable() else part.encode("unicode_escape").decode()
        for part in text
    )


def describe_logs(incident):
    """Return what was read as a dict: counts, coverage, clocks and missing logs."""
    return {
        "lines": incident.counts.lines,
        "damaged": incident.counts.damaged,
        "torn": incident.counts.torn,
        "caller_lines": incident.caller_counts.lines,
        "damaged_caller_lines": incident.caller_counts.damaged,
        "missing_vms": incident.list_missing_vms(),
        "vms": [
            {
                "vm": vm,
                "lines": coverage.lines,
                "first": coverage.first,
                "last": coverage.last,
                "gaps": coverage.find_gaps(),
                "clock_ahead_s": round(incident.offsets[vm].seconds, 6),
                "clock_error_s": incident.offsets[vm].error,
                "clock_samples": incident.offsets[vm].samples,
            }
            for vm, coverage in sorted(incident.coverage.items())
        ],
    }


def format_logs(incident):
    """Return what was read as lines of text."""
    logs = describe_logs(incident)
    lines = [
        f"{logs['lines']} log lines of {len(logs['vms'])} VMs, {logs['damaged']} "
        f"damaged, {logs['torn']} torn; {logs['caller_lines']} callers' records, "
        f"{logs['damaged_caller_lines']} damaged"
    ]
    for row in logs["vms"]:
        clock = "clock difference not known"
        if row["clock_error_s"] == 0:
            clock = "clock is the reference"
        elif row["clock_error_s"] is not None:
            clock = (
                f"clock {row['clock_ahead_s'] * 1000:+.1f} ms "
                f"(error up to {row['clock_error_s'] * 1000:.1f} ms, "
                f"{row['clock_samples']} samples)"
            )
        first, last = format_time(row["first"]), format_time(row["last"])
        lines.append(f"  {row['vm']}: {row['lines']} lines, {first} to {last}, {clock}")
        lines += [
            f"    gap from {format_time(start)} to {format_time(end)}"
            for start, end in row["gaps"][:MAX_GAPS]
        ]
        if len(row["gaps"]) > MAX_GAPS:
            lines.append(f"    {len(row['gaps']) - MAX_GAPS} more; JSON lists all")
    if logs["missing_vms"]:
        lines.append("  logs missing: " + ", ".join(logs["missing_vms"]))
    return lines


def _describe_decision(fields):
    inputs = f"candidates {fields.get('candidates') or 'none'}"
    if "sickness" in fields:
        inputs = f"{_describe_belief(fields)}, {fields.get('pending')} in flight"
    return (
        f"chose {fields.get('server')} for attempt {fields.get('attempt')} "
        f"({fields.get('reason')}; {inputs})"
    )


def _describe_wait(fields):
    return (
        f"waits for a better server than {fields.get('server')} "
        f"({_describe_belief(fields)})"
    )


def _describe_belief(fields):
    """Return what an entry VM believed of a server and how old that was."""
    age = "no evidence"
    if fields.get("evidence_age_ms"):
        age = f"evidence {fields['evidence_age_ms']} ms old"
    return f"sickness {fields['sickness']}, {age}"


def _describe_attempt(fields):
    detail = f" ({fields['detail']})" if fields.get("detail") else ""
    return (
        f"attempt {fields.get('attempt')} on {fields.get('server')}: "
        f"{fields.get('status')} {fields.get('http_status') or ''} after "
        f"{fields.get('latency_ms')} ms{detail}"
    )


def _describe_request(fields):
    size = f"{fields['bytes']} bytes, " if "bytes" in fields else ""
    return (
        f"told {fields.get('outcome')}, status {fields.get('status')}, reason "
        f"{fields.get('reason') or 'none'}, {size}after {fields.get('latency_ms')} ms"
    )


_DESCRIBERS = {
    "waiting": _describe_wait,
    "decision": _describe_decision,
    "attempt": _describe_attempt,
    "request": _describe_request,
    "attempt_denied": lambda fields: (
        f"no {fields.get('reason')}: the {fields.get('cause')} for it is spent"
    ),
    "answer_cut": lambda fields: f"answer cut: {fields.get('detail')}",
    "forwarded": lambda fields: (
        f"forwarded to the key's owner {fields.get('owner')} at {fields.get('address')}"
    ),
    "duplicate": lambda fields: f"duplicate of a key: {fields.get('action')}",
}


def format_story(story, timeline):
    """Return a request's story as lines of text, times relative to its start."""
    start = story.get_start()
    head = f"request {story.request}"
    for name in ("method", "path", "service", "customer", "key"):
        if story.get_field(name):
            head += f", {name} {story.get_field(name)}"
    lines = [head, f"  starts {format_time(start)}"]
    lines += [
        f"  {(moment - start) * 1000:+9.1f} ms  {vm}  {text}"
        for moment, vm, text in _list_rows(story, timeline)
    ]
    for item in story.handovers:
        lines.append(
            f"  {item.vm} handed its ledger of {item.entries} keys over to "
            f"{item.successor} at {format_time(item.time)}"
        )
    for item in story.ejections:
        lines.append(
            f"  in force on {item.vm}: {item.server} ejected from "
            f"{format_time(item.start)} to {format_time(item.end)} "
            f"({item.cause}, {item.source})"
        )
    for record in story.callers:
        lines.append(
            f"  caller saw {record.outcome or 'no complete response'}, status "
            f"{record.status}, {record.bytes} bytes"
        )
    lines = [escape_text(line) for line in lines]
    return lines + [format_issue(issue, "  ") for issue in story.issues]


def _list_rows(story, timeline):
    """Return (time, VM, text) of all that a story's lines say, in order."""
    rows = []
    for line in story.select("request"):
        deadline = format_time(get_deadline(line))
        version = line.fields.get("config_version") or timeline.find_version(
            line.vm, get_arrival(line)
        )
        text = f"received, deadline {deadline}, configuration {version or 'not known'}"
        rows.append((get_arrival(line), line.vm, text))
    for line in story.lines:
        rows.append((line.time, line.vm, _DESCRIBERS[line.event](line.fields)))
    rows.sort(key=lambda row: row[0])
    return rows


def format_key(key, stories, timeline):
    """Return all requests under one key as one story, with the handovers of its VMs."""
    rows = [
        (moment, vm, f"{story.request}  {text}")
        for story in stories
        for moment, vm, text in _list_rows(story, timeline)
    ]
    rows.sort(key=lambda row: row[0])
    if not rows:
        return []
    start, end = rows[0][0], rows[-1][0]
    moved = {
        item
        for vm in {row[1] for row in rows}
        for item in timeline.find_handovers(vm, end)
        if item.time >= start
    }
    rows += [
        (
            item.time,
            item.vm,
            f"handed its ledger of {item.entries} keys over to {item.successor}",
        )
        for item in moved
    ]
    rows.sort(key=lambda row: row[0])
    lines = [f"key {key}, {len(stories)} requests", f"  starts {format_time(start)}"]
    lines += [
        f"  {(moment - start) * 1000:+9.1f} ms  {vm}  {text}"
        for moment, vm, text in rows
    ]
    return [escape_text(line) for line in lines]


def format_issue(issue, indent=""):
    """Return an issue as a line of text."""
    place = " ".join(part for part in (issue.request, issue.vm) if part)
    return escape_text(f"{indent}{issue.kind.upper()} {place}: {issue.text}")


def write_text(incident, selection, stream, with_stories):
    """
    Write an incident as text.

    :param with_stories: whether to write every selected story or issues only.
    :return: whether the account is free of disagreements and contradictions.
    """
    clean, under_key = True, []
    for line in format_logs(incident):
        stream.write(line + "\n")
    stream.write("\n")
    for story in incident.iterate_stories(selection):
        lines = [format_issue(issue) for issue in story.issues]
        if with_stories:
            lines = [*format_story(story, incident.timeline), ""]
        stream.writelines(line + "\n" for line in lines)
        if selection.key:
            under_key.append(story)
        clean = clean and not has_fault(story.issues)
    for line in format_key(selection.key, under_key, incident.timeline):
        stream.write(line + "\n")
    fleet = list(incident.iterate_fleet_issues())
    stream.writelines(format_issue(issue) + "\n" for issue in fleet)
    stream.write("\nsummary\n")
    for name, count in sorted(incident.totals.items()):
        stream.write(f"  {name}: {count}\n")
    return clean and not has_fault(fleet)


def has_fault(issues):
    """Return whether an issue shows that an account is wrong."""
    return any(issue.kind in FAULT_KINDS for issue in issues)


def _export_issue(issue):
    return {
        "kind": issue.kind,
        "request": issue.request,
        "vm": issue.vm,
        "text": issue.text,
    }


def _export_story(story, with_lines):
    result = {
        "request": story.request,
        "start": story.get_start(),
        "issues": [_export_issue(issue) for issue in story.issues],
        "handovers": [attrs.asdict(item) for item in story.handovers],
    }
    if with_lines:
        result["lines"] = [
            {"time": round(line.time, 6), **line.fields} for line in story.lines
        ]
        result["ejections"] = [
            {
                "vm": item.vm,
                "service": item.service,
                "server": item.server,
                "start": item.start,
                "end": item.end if math.isfinite(item.end) else None,
                "cause": item.cause,
                "source": item.source,
            }
            for item in story.ejections
        ]
        result["callers"] = [
            {"outcome": record.outcome, "status": record.status, "bytes": record.bytes}
            for record in story.callers
        ]
    return result


def write_json(incident, selection, stream, with_stories):
    """
    Write an incident as one JSON object; see ``write_text``.

    Requests without issues are left out unless stories are asked for.
    """
    clean, separator = True, ""
    stream.write('{"logs": ' + json.dumps(describe_logs(incident)) + ',\n"requests": [')
    for story in incident.iterate_stories(selection):
        if with_stories or story.issues:
            text = json.dumps(_export_story(story, with_stories))
            stream.write(f"{separator}\n{text}")
            separator = ","
        clean = clean and not has_fault(story.issues)
    fleet = list(incident.iterate_fleet_issues())
    exported = json.dumps([_export_issue(issue) for issue in fleet])
    summary = json.dumps(dict(sorted(incident.totals.items())))
    stream.write(f'],\n"fleet_issues": {exported},\n"summary": {summary}}}\n')
    return clean and not has_fault(fleet)
