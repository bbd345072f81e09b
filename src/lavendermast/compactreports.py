"""
Compact form of reports and summaries in datagrams between VMs.

Names of servers take most of the bytes of a list of reports. Here each name is stored
once, without the prefix that it shares with the one before it, and the numbers are
packed without the padding of the message format.
"""

import math
import os.path
import struct

from lavendermast.messages_model import (
    AttemptReport,
    AttemptReports,
    ServerSummary,
)

#: Largest sum of names and entries in one message; the rest of the 1,400 bytes of a
#: datagram is for the frame, the envelope and the lengths of the fields.
MAX_PACKED_BYTES = 1_100
#: Number, server, route, phase, and the ages and the duration in ms.
_REPORT = struct.Struct("<IBBBHHH")
#: Probability in permille, pending attempts, kind of limit and its age in ms.
_SUMMARY = struct.Struct("<HHBH")
_LIMIT = struct.Struct("<f")
_LIMIT_AND_SPARE = struct.Struct("<ff")
_PHASES = ("pending", "succeeded", "failed", "refused", "abandoned", "error")
#: Kinds of limits: no response, a response without a limit, a response with one. In a
#: report they are the upper bits of the phase.
_NO_RESPONSE, _UNLIMITED, _LIMITED = range(3)
_KIND_SHIFT = 4
#: Longer times are sent as the longest; evidence is used for 16 s at most.
_MAX_MS = 2**16 - 1
_MAX_NAMES = 255


def join_names(names):
    """
    Return sorted names as one text.

    Each is preceded by a character that tells how many characters it shares with the
    name before it.

    >>> join_names(["server-17", "server-18"])
    ' server-17\\n(8'
    """
    parts, previous = [], ""
    for name in names:
        shared = len(os.path.commonprefix((previous, name)))
        shared = min(shared, _MAX_NAMES - 32)
        parts.append(chr(32 + shared) + name[shared:])
        previous = name
    return "\n".join(parts)


def split_names(text):
    """
    Return the names in a text made by :func:`join_names`.

    >>> split_names(' server-17\\n(8')
    ['server-17', 'server-18']
    """
    names, previous = [], ""
    for part in text.split("\n") if text else ():
        if not part or ord(part[0]) < 32:
            raise ValueError("malformed names")
        previous = previous[: ord(part[0]) - 32] + part[1:]
        names.append(previous)
    return names


def pack_reports(reports):
    """Return ``AttemptReports`` messages, each of which fits a datagram."""
    ordered = sorted(reports, key=lambda report: (report.server, report.sequence))
    messages = []
    for part in _split(ordered, _REPORT.size + _LIMIT.size):
        servers = sorted({report.server for report in part})
        routes = sorted({report.route for report in part})
        server_numbers = {name: number for number, name in enumerate(servers)}
        route_numbers = {name: number for number, name in enumerate(routes)}
        entries, limits = [], []
        for report in part:
            kind = _find_kind(report.rate_limit)
            if kind == _LIMITED:
                limits.append(_LIMIT.pack(report.rate_limit))
            entries.append(
                _REPORT.pack(
                    report.sequence,
                    server_numbers[report.server],
                    route_numbers[report.route],
                    _PHASES.index(report.phase) | kind << _KIND_SHIFT,
                    min(report.start_age_ms, _MAX_MS),
                    min(report.duration_ms, _MAX_MS),
                    min(report.limit_age_ms, _MAX_MS),
                )
            )
        messages.append(
            AttemptReports(
                servers=join_names(servers),
                routes=join_names(routes),
                entries=b"".join(entries),
                limits=b"".join(limits),
            )
        )
    return messages


def unpack_reports(message):
    """
    Return the reports of a message, also of one from an older build.

    :raises ValueError: when the message is malformed.
    """
    reports = list(message.attempts)
    servers, routes = split_names(message.servers), split_names(message.routes)
    limits = _LIMIT.iter_unpack(message.limits)
    try:
        for entry in _REPORT.iter_unpack(message.entries):
            sequence, server, route, phase, start_ms, duration_ms, limit_ms = entry
            limit = _read_limit(phase >> _KIND_SHIFT, limits)
            reports.append(
                AttemptReport(
                    servers[server],
                    sequence,
                    _PHASES[phase & (1 << _KIND_SHIFT) - 1],
                    start_ms,
                    duration_ms,
                    routes[route],
                    limit[0],
                    limit_ms,
                )
            )
    except (struct.error, IndexError, StopIteration) as error:
        raise ValueError(f"malformed reports: {error}") from error
    return reports


def pack_summaries(summaries):
    """Return the fields of ``ServerSummaries`` messages that each fit a datagram."""
    ordered = sorted(summaries, key=lambda summary: summary.server)
    parts = []
    for part in _split(ordered, _SUMMARY.size + _LIMIT_AND_SPARE.size):
        entries, limits = [], []
        for summary in part:
            kind = _find_kind(summary.rate_limit)
            if kind == _LIMITED:
                limits.append(
                    _LIMIT_AND_SPARE.pack(summary.rate_limit, summary.spare_rate)
                )
            entries.append(
                _SUMMARY.pack(
                    summary.sickness_permille,
                    min(summary.pending, 2**16 - 1),
                    kind,
                    min(summary.limit_age_ms, _MAX_MS),
                )
            )
        parts.append(
            {
                "servers": join_names(summary.server for summary in part),
                "entries": b"".join(entries),
                "limits": b"".join(limits),
            }
        )
    return parts


def unpack_summaries(message):
    """
    Return the summaries of a message, also of one from an older build.

    :raises ValueError: when the message is malformed.
    """
    summaries = list(message.summaries)
    servers = split_names(message.servers)
    limits = _LIMIT_AND_SPARE.iter_unpack(message.limits)
    try:
        entries = list(_SUMMARY.iter_unpack(message.entries))
        for server, entry in zip(servers, entries, strict=True):
            permille, pending, kind, limit_ms = entry
            limit, spare = _read_limit(kind, limits)
            summaries.append(
                ServerSummary(server, permille, pending, limit, limit_ms, spare)
            )
    except (struct.error, StopIteration) as error:
        raise ValueError(f"malformed summaries: {error}") from error
    return summaries


def _split(items, entry_bytes):
    """Return lists of items, sorted by server, that each fit a datagram."""
    parts, size, names = [], math.inf, set()
    for item in items:
        added = _measure(item, entry_bytes, names)
        if size + added > MAX_PACKED_BYTES or len(parts[-1]) == _MAX_NAMES:
            parts.append([])
            size, names = 0, set()
            added = _measure(item, entry_bytes, names)
        parts[-1].append(item)
        size += added
        names.update(_get_names(item))
    return parts


def _measure(item, entry_bytes, names):
    """Return an upper bound of the bytes that an item adds to a message."""
    new_names = [name for name in _get_names(item) if name not in names]
    return entry_bytes + sum(len(name.encode()) + 2 for _, name in new_names)


def _get_names(item):
    """Return the names of a report or summary as they are stored, by field."""
    return ("server", item.server), ("route", getattr(item, "route", ""))


def _find_kind(rate_limit):
    if not rate_limit:
        return _NO_RESPONSE
    return _UNLIMITED if math.isinf(rate_limit) else _LIMITED


def _read_limit(kind, limits):
    """Return rate limit and spare rate; the latter is 0 where there is none."""
    if kind == _LIMITED:
        return (*next(limits), 0.0)[:2]
    return (math.inf if kind == _UNLIMITED else 0.0), 0.0
