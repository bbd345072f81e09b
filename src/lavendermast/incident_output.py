"""Writes a reconstructed incident as text or as JSON."""

import datetime
import json
import math

import attrs

from .traces import get_arrival, get_deadline

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
    Return a line with its control characters escaped.

    Otherwise a path or a detail from a log could forge lines of the report.

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
    """Return a summary of the logs read: counts, coverage, clocks and missing logs."""
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
    """Return the summary of the logs read as lines of text."""
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
            lines.append(
                f"    {len(row['gaps']) - MAX_GAPS} more gaps; "
                "the JSON output lists all"
            )
    if logs["missing_vms"]:
        lines.append("  logs missing: " + ", ".join(logs["missing_vms"]))
    return lines


def _describe_decision(fields):
    inputs = f"candidates {fields.get('candidates') or 'none'}"
    if "sickness" in fields:
        inputs = (
            f"{_describe_sick_probability(fields)}, {fields.get('pending')} in flight"
        )
    return (
        f"chose {fields.get('server')} for attempt {fields.get('attempt')} "
        f"({fields.get('reason')}; {inputs})"
    )


def _describe_wait(fields):
    return (
        f"waits for a better server than {fields.get('server')} "
        f"({_describe_sick_probability(fields)})"
    )


def _describe_sick_probability(fields):
    """Return the sick probability of a server and the age of its evidence."""
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
        f"outcome {fields.get('outcome')}, status {fields.get('status')}, reason "
        f"{fields.get('reason') or 'none'}, {size}after {fields.get('latency_ms')} ms"
    )


_DESCRIBERS = {
    "waiting": _describe_wait,
    "decision": _describe_decision,
    "attempt": _describe_attempt,
    "request": _describe_request,
    "attempt_denied": lambda fields: (
        f"{fields.get('reason')} not sent: {fields.get('cause')} exhausted"
    ),
    "rate_limited": lambda fields: (
        f"all servers at their rate limits for {fields.get('delay_ms')} ms, told to "
        f"return after {fields.get('retry_after_ms')} ms"
    ),
    "answer_cut": lambda fields: f"answer cut: {fields.get('detail')}",
    "forwarded": lambda fields: (
        f"forwarded to the key's owner {fields.get('owner')} at {fields.get('address')}"
    ),
    "duplicate": lambda fields: f"repeated idempotency key: {fields.get('action')}",
}


def format_trace(trace, timeline):
    """Return a request's trace as lines of text, with times relative to its start."""
    start = trace.get_start()
    head = f"request {trace.request}"
    for name in ("method", "path", "service", "customer", "key"):
        if trace.get_field(name):
            head += f", {name} {trace.get_field(name)}"
    lines = [head, f"  starts {format_time(start)}"]
    lines += [
        f"  {(moment - start) * 1000:+9.1f} ms  {vm}  {text}"
        for moment, vm, text in _list_rows(trace, timeline)
    ]
    for item in trace.handovers:
        lines.append(
            f"  {item.vm} handed its ledger of {item.entries} keys over to "
            f"{item.successor} at {format_time(item.time)}"
        )
    for item in trace.ejections:
        lines.append(
            f"  in force on {item.vm}: {item.server} ejected from "
            f"{format_time(item.start)} to {format_time(item.end)} "
            f"({item.cause}, {item.source})"
        )
    for record in trace.callers:
        lines.append(
            f"  caller received {record.outcome or 'no complete response'}, status "
            f"{record.status}, {record.bytes} bytes"
        )
    lines = [escape_text(line) for line in lines]
    return lines + [format_issue(issue, "  ") for issue in trace.issues]


def _list_rows(trace, timeline):
    """Return a row (time, VM, text) for each event of a trace, sorted by time."""
    rows = []
    for line in trace.select("request"):
        deadline = format_time(get_deadline(line))
        version = line.fields.get("config_version") or timeline.find_version(
            line.vm, get_arrival(line)
        )
        text = f"received, deadline {deadline}, configuration {version or 'not known'}"
        rows.append((get_arrival(line), line.vm, text))
    for line in trace.lines:
        rows.append((line.time, line.vm, _DESCRIBERS[line.event](line.fields)))
    rows.sort(key=lambda row: row[0])
    return rows


def format_key(key, traces, timeline):
    """Return all requests under one key as one trace, with the VMs' handovers."""
    rows = [
        (moment, vm, f"{trace.request}  {text}")
        for trace in traces
        for moment, vm, text in _list_rows(trace, timeline)
    ]
    rows.sort(key=lambda row: row[0])
    if not rows:
        return []
    start, end = rows[0][0], rows[-1][0]
    handovers = {
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
        for item in handovers
    ]
    rows.sort(key=lambda row: row[0])
    lines = [f"key {key}, {len(traces)} requests", f"  starts {format_time(start)}"]
    lines += [
        f"  {(moment - start) * 1000:+9.1f} ms  {vm}  {text}"
        for moment, vm, text in rows
    ]
    return [escape_text(line) for line in lines]


def format_issue(issue, indent=""):
    """Return an issue as a line of text."""
    place = " ".join(part for part in (issue.request, issue.vm) if part)
    return escape_text(f"{indent}{issue.kind.upper()} {place}: {issue.text}")


def write_text(incident, selection, stream, with_traces):
    """
    Write an incident as text.

    :param with_traces: whether to write every selected trace or the issues only.
    :return: whether no disagreement or contradiction was found.
    """
    clean, key_traces = True, []
    for line in format_logs(incident):
        stream.write(line + "\n")
    stream.write("\n")
    for trace in incident.iterate_traces(selection):
        lines = [format_issue(issue) for issue in trace.issues]
        if with_traces:
            lines = [*format_trace(trace, incident.timeline), ""]
        stream.writelines(line + "\n" for line in lines)
        if selection.key:
            key_traces.append(trace)
        clean = clean and not has_fault(trace.issues)
    for line in format_key(selection.key, key_traces, incident.timeline):
        stream.write(line + "\n")
    fleet_issues = list(incident.iterate_fleet_issues())
    stream.writelines(format_issue(issue) + "\n" for issue in fleet_issues)
    stream.write("\nsummary\n")
    for name, count in sorted(incident.totals.items()):
        stream.write(f"  {name}: {count}\n")
    return clean and not has_fault(fleet_issues)


def has_fault(issues):
    """Return whether an issue is a disagreement or a contradiction."""
    return any(issue.kind in FAULT_KINDS for issue in issues)


def _export_issue(issue):
    return {
        "kind": issue.kind,
        "request": issue.request,
        "vm": issue.vm,
        "text": issue.text,
    }


def _export_trace(trace, with_lines):
    result = {
        "request": trace.request,
        "start": trace.get_start(),
        "issues": [_export_issue(issue) for issue in trace.issues],
        "handovers": [attrs.asdict(item) for item in trace.handovers],
    }
    if with_lines:
        result["lines"] = [
            {"time": round(line.time, 6), **line.fields} for line in trace.lines
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
            for item in trace.ejections
        ]
        result["callers"] = [
            {"outcome": record.outcome, "status": record.status, "bytes": record.bytes}
            for record in trace.callers
        ]
    return result


def write_json(incident, selection, stream, with_traces):
    """
    Write an incident as one JSON object; see ``write_text``.

    Requests without issues are left out unless ``with_traces`` is set.
    """
    clean, separator = True, ""
    stream.write('{"logs": ' + json.dumps(describe_logs(incident)) + ',\n"requests": [')
    for trace in incident.iterate_traces(selection):
        if with_traces or trace.issues:
            text = json.dumps(_export_trace(trace, with_traces))
            stream.write(f"{separator}\n{text}")
            separator = ","
        clean = clean and not has_fault(trace.issues)
    fleet_issues = list(incident.iterate_fleet_issues())
    exported = json.dumps([_export_issue(issue) for issue in fleet_issues])
    summary = json.dumps(dict(sorted(incident.totals.items())))
    stream.write(f'],\n"fleet_issues": {exported},\n"summary": {summary}}}\n')
    return clean and not has_fault(fleet_issues)
