"""Reconstructs an incident from the decision logs of many VMs."""

import collections
import itertools
import json
import re

import attrs

from .clockskew import ClockEstimator
from .key_checks import check_key_uses, format_key_use
from .loglines import (
    REQUEST_EVENTS,
    CallerRecord,
    Progress,
    ReadCounts,
    get_number,
    iterate_lines,
    parse_line,
    skip_torn,
)
from .spill import Spill
from .timeline import LogCoverage, Series, Timeline, get_latency_label
from .trace_checks import OUTCOMES, check_trace
from .traces import Issue, Line, RequestTrace

_REQUEST_ID = re.compile(r" request=([^ \"]+)")
_CALLER_PREFIX = "C "
_LINE_PREFIX = "L "


def _get_key_use_sort_key(use):
    return use["key"], use["request"]


@attrs.frozen
class Filter:
    """
    Selects the requests to report; a field that is ``None`` does not filter.

    :param since: start of a time span, in Unix seconds.
    :param until: end of a time span, in Unix seconds.
    :param key: digest of an idempotency key, as the log writes it.
    """

    request: str | None = None
    customer: str | None = None
    service: str | None = None
    server: str | None = None
    since: float | None = None
    until: float | None = None
    key: str | None = None

    def accepts(self, trace):
        """Return whether the trace of a request matches the filter."""
        if self.request is not None and trace.request != self.request:
            return False
        for name in ("customer", "service", "key"):
            wanted = getattr(self, name)
            if wanted is not None and trace.get_field(name) != wanted:
                return False
        if self.server is not None and self.server not in trace.get_servers():
            return False
        return self.includes(trace.get_start())

    def includes(self, moment):
        """Return whether a time is within the time span."""
        if moment is None:
            return self.since is None and self.until is None
        after = self.since is None or moment >= self.since
        return after and (self.until is None or moment <= self.until)


class Incident:
    """
    Reads the logs of many VMs once and rebuilds a trace of each request from them.

    Use it as a context manager, which removes its temporary files on exit.

    :param logs: decision logs; ``-`` is standard input.
    :param callers: callers' logs, JSON lines.
    :param progress: a ``Progress``; by default on standard error.
    """

    def __init__(self, logs, callers=(), progress=None):
        self.counts = ReadCounts()
        self.caller_counts = ReadCounts()
        self.timeline = Timeline()
        self.coverage = {}
        self.offsets = {}
        self.outcomes = Series()
        self.latencies = Series()
        self.totals = collections.Counter()
        self._progress = progress or Progress()
        self._clocks = ClockEstimator()
        self._spill = Spill()
        self._key_uses = Spill()
        self._records_without_id = []
        try:
            self._read_logs(logs)
            self._read_callers(callers)
            self._spill.finish()
            self._estimate_clocks()
            self.timeline.finish(self.offsets)
        except BaseException:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def close(self):
        """Remove the temporary files."""
        self._spill.close()
        self._key_uses.close()

    def _read_logs(self, paths):
        for line in iterate_lines(paths, self.counts, self._progress):
            fields = parse_line(line)
            if fields is None and (line := skip_torn(line)):
                self.counts.torn += 1
                fields = parse_line(line)
            if fields is None:
                self.counts.damaged += 1
                continue
            vm, moment = fields["vm"], float(fields["ts"])
            if vm not in self.coverage:
                self.coverage[vm] = LogCoverage(vm)
            self.coverage[vm].add(moment)
            event, request = fields["event"], fields.get("request")
            if event not in REQUEST_EVENTS:
                self.timeline.add(moment, vm, fields)
            elif request is None:
                self.counts.damaged += 1
            else:
                self._spill.write(request, _LINE_PREFIX + line)
                if event == "forwarded" and fields.get("owner"):
                    owner = fields["owner"]
                    self.timeline.members.add(owner)
                    self._clocks.add_forwarded(request, vm, owner, moment)

    def _read_callers(self, paths):
        for line in iterate_lines(paths, self.caller_counts, self._progress):
            record = CallerRecord.from_json(line)
            if record is not None and record.vm:
                self.timeline.members.add(record.vm)
            if record is None:
                self.caller_counts.damaged += 1
            elif record.request:
                self._spill.write(record.request, _CALLER_PREFIX + line)
            else:
                self.totals["callers without request id"] += 1
                if len(self._records_without_id) < 1000:
                    self._records_without_id.append(record)

    def _estimate_clocks(self):
        for lines in self._spill.iterate_buckets():
            for line in lines:
                if " event=request " not in line or line.startswith(_CALLER_PREFIX):
                    continue
                match = _REQUEST_ID.search(line)
                if match and self._clocks.is_needed(match[1]):
                    fields = parse_line(line[len(_LINE_PREFIX) :])
                    latency = get_number(fields, "latency_ms")
                    self._clocks.add_request(
                        match[1],
                        fields["vm"],
                        float(fields["ts"]),
                        None if latency is None else latency / 1000,
                    )
        self.offsets = self._clocks.estimate(self.coverage)

    def get_span(self):
        """
        Return the first and the last time in the logs.

        They are corrected for clock differences; both are ``None`` if there are none.
        """
        pairs = [(item, self.offsets[vm].seconds) for vm, item in self.coverage.items()]
        first = min((item.first - ahead for item, ahead in pairs), default=None)
        return first, max((item.last - ahead for item, ahead in pairs), default=None)

    def list_missing_vms(self):
        """Return the VMs that logs or callers mention but whose log was not read."""
        return sorted(self.timeline.members - set(self.coverage))

    def iterate_traces(self, selection=None):
        """
        Yield the trace of each selected request, with its issues.

        :param selection: a ``Filter``.
        """
        selection = selection or Filter()
        for number, bucket in enumerate(self._spill.iterate_buckets()):
            self._progress.show(f"rebuilding requests: part {number + 1}")
            for request, (lines, callers) in sorted(
                self._group_by_request(bucket).items()
            ):
                trace = RequestTrace.from_lines(request, lines, callers, self.timeline)
                if not selection.accepts(trace):
                    continue
                trace.issues = check_trace(trace, self.coverage)
                self._update_totals(trace)
                yield trace
        self._progress.clear()

    def _group_by_request(self, bucket):
        """Return the (log lines, callers' records) of a bucket by request id."""
        groups = collections.defaultdict(lambda: ([], []))
        for text in dict.fromkeys(bucket):  # drops lines of a file that was given twice
            if text.startswith(_CALLER_PREFIX):
                record = CallerRecord.from_json(text[len(_CALLER_PREFIX) :])
                groups[record.request][1].append(record)
                continue
            fields = parse_line(text[len(_LINE_PREFIX) :])
            vm = fields["vm"]
            moment = float(fields["ts"]) - self.offsets[vm].seconds
            groups[fields["request"]][0].append(Line(moment, vm, fields))
        return groups

    def _update_totals(self, trace):
        self.totals["requests"] += 1
        self.totals["callers' records"] += len(trace.callers)
        if trace.response_line is not None:
            compared = sum(record.outcome in OUTCOMES for record in trace.callers)
            self.totals["callers' records compared"] += compared
        for kind in {issue.kind for issue in trace.issues}:
            self.totals[f"requests with {kind}"] += 1
        use = format_key_use(trace)
        if use:
            self._key_uses.write(trace.get_field("key"), use)
        if trace.response_line is None:
            self.totals["outcome not in the logs"] += 1
            return
        outcome = trace.response_line.fields.get("outcome") or "-"
        self.totals[f"told {outcome}"] += 1
        self.outcomes.add(trace.response_line.time, outcome)
        latency = get_number(trace.response_line.fields, "latency_ms")
        if latency is not None:
            self.latencies.add(trace.response_line.time, get_latency_label(latency))

    def iterate_fleet_issues(self):
        """
        Yield the issues that are not visible in a single request.

        Call it after ``iterate_traces``. The issues are keys whose requests contradict
        each other, configuration versions that were reverted, and callers' records
        without request id.
        """
        self._key_uses.finish()
        for bucket in self._key_uses.iterate_buckets():
            uses = sorted(map(json.loads, bucket), key=_get_key_use_sort_key)
            for _, group in itertools.groupby(uses, key=lambda use: use["key"]):
                yield from check_key_uses(list(group), self.timeline)
        for text in self.timeline.findings:
            yield Issue("contradiction", "", "", text)
        for record in self._records_without_id:
            text = (
                f"a caller's request to {record.vm or 'a VM'} sent at {record.sent_at} "
                "has no request id"
            )
            yield Issue("unknown", "", record.vm, text)
