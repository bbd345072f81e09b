"""Reconstructs incidents from the decision logs of many VMs."""

import collections
import itertools
import json
import re

import attrs

from .clockskew import ClockEstimator
from .key_checks import check_uses, describe_use
from .loglines import (
    REQUEST_EVENTS,
    CallerRecord,
    Progress,
    ReadCounts,
    get_number,
    iterate_lines,
    parse_line,
    split_torn,
)
from .spill import Spill
from .stories import Issue, Line, Story
from .story_checks import OUTCOMES, check_story
from .timeline import Coverage, Series, Timeline, get_latency_label

_REQUEST_ID = re.compile(r" request=([^ \"]+)")
_CALLER = "C "
_LINE = "L "


def _get_use_order(use):
    return use["key"], use["request"]


@attrs.frozen
class Filter:
    """
    Which requests to report; ``None`` lets all through.

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

    def accepts(self, story):
        """Return whether a story is reported."""
        if self.request is not None and story.request != self.request:
            return False
        for name in ("customer", "service", "key"):
            wanted = getattr(self, name)
            if wanted is not None and story.get_field(name) != wanted:
                return False
        if self.server is not None and self.server not in story.get_servers():
            return False
        return self.includes(story.get_start())

    def includes(self, moment):
        """Return whether a time is in the span."""
        if moment is None:
            return self.since is None and self.until is None
        after = self.since is None or moment >= self.since
        return after and (self.until is None or moment <= self.until)


class Incident:
    """
    Logs of many VMs, read once, from which stories are rebuilt.

    Use it as a context manager; its temporary files are removed at the end.

    :param logs: decision logs; ``-`` is standard input.
    :param callers: callers' logs, JSON lines.
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
        self._keys = Spill()
        self._unnamed = []
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
        self._keys.close()

    def _read_logs(self, paths):
        for line in iterate_lines(paths, self.counts, self._progress):
            fields = parse_line(line)
            if fields is None and (line := split_torn(line)):
                self.counts.torn += 1
                fields = parse_line(line)
            if fields is None:
                self.counts.damaged += 1
                continue
            vm, moment = fields["vm"], float(fields["ts"])
            if vm not in self.coverage:
                self.coverage[vm] = Coverage(vm)
            self.coverage[vm].add(moment)
            event, request = fields["event"], fields.get("request")
            if event not in REQUEST_EVENTS:
                self.timeline.add(moment, vm, fields)
            elif request is None:
                self.counts.damaged += 1
            else:
                self._spill.write(request, _LINE + line)
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
                self._spill.write(record.request, _CALLER + line)
            else:
                self.totals["callers without request id"] += 1
                if len(self._unnamed) < 1000:
                    self._unnamed.append(record)

    def _estimate_clocks(self):
        for lines in self._spill.iterate_buckets():
            for line in lines:
                if " event=request " not in line or line.startswith(_CALLER):
                    continue
                match = _REQUEST_ID.search(line)
                if match and self._clocks.is_needed(match[1]):
                    fields = parse_line(line[len(_LINE) :])
                    latency = get_number(fields, "latency_ms")
                    self._clocks.add_request(
                        match[1],
                        fields["vm"],
                        float(fields["ts"]),
                        None if latency is None else latency / 1000,
                    )
        self.offsets = self._clocks.estimate(self.coverage)

    def get_span(self):
        """Return the first and last time in the logs, corrected; ``None`` if empty."""
        pairs = [(item, self.offsets[vm].seconds) for vm, item in self.coverage.items()]
        first = min((item.first - ahead for item, ahead in pairs), default=None)
        return first, max((item.last - ahead for item, ahead in pairs), default=None)

    def list_missing_vms(self):
        """Return VMs that logs or callers name and that have no log of their own."""
        return sorted(self.timeline.members - set(self.coverage))

    def iterate_stories(self, selection=None):
        """
        Yield every selected request's story with its issues.

        :param selection: a ``Filter``.
        """
        selection = selection or Filter()
        for number, bucket in enumerate(self._spill.iterate_buckets()):
            self._progress.show(f"rebuilding requests: part {number + 1}")
            for request, (lines, callers) in sorted(self._group(bucket).items()):
                story = Story.from_lines(request, lines, callers, self.timeline)
                if not selection.accepts(story):
                    continue
                story.issues = check_story(story, self.coverage)
                self._count(story)
                yield story
        self._progress.clear()

    def _group(self, bucket):
        """Return (log lines, callers' records) by request id."""
        groups = collections.defaultdict(lambda: ([], []))
        for text in dict.fromkeys(bucket):  # a file may be given twice
            if text.startswith(_CALLER):
                record = CallerRecord.from_json(text[len(_CALLER) :])
                groups[record.request][1].append(record)
                continue
            fields = parse_line(text[len(_LINE) :])
            vm = fields["vm"]
            moment = float(fields["ts"]) - self.offsets[vm].seconds
            groups[fields["request"]][0].append(Line(moment, vm, fields))
        return groups

    def _count(self, story):
        self.totals["requests"] += 1
        self.totals["callers' records"] += len(story.callers)
        if story.told is not None:
            compared = sum(record.outcome in OUTCOMES for record in story.callers)
            self.totals["callers' records compared"] += compared
        for kind in {issue.kind for issue in story.issues}:
            self.totals[f"requests with {kind}"] += 1
        use = describe_use(story)
        if use:
            self._keys.write(story.get_field("key"), use)
        if story.told is None:
            self.totals["outcome not in the logs"] += 1
            return
        outcome = story.told.fields.get("outcome") or "-"
        self.totals[f"told {outcome}"] += 1
        self.outcomes.add(story.told.time, outcome)
        latency = get_number(story.told.fields, "latency_ms")
        if latency is not None:
            self.latencies.add(story.told.time, get_latency_label(latency))

    def iterate_fleet_issues(self):
        """
        Yield issues that no single request shows.

        Call it after the stories were iterated. It names keys whose requests contradict
        each other, versions that reverted, and callers' records without request id.
        """
        self._keys.finish()
        for bucket in self._keys.iterate_buckets():
            uses = sorted(map(json.loads, bucket), key=_get_use_order)
            for _, group in itertools.groupby(uses, key=lambda use: use["key"]):
                yield from check_uses(list(group), self.timeline)
        for text in self.timeline.findings:
            yield Issue("contradiction", "", "", text)
        for record in self._unnamed:
            text = (
                f"a caller's request to {record.vm or 'a VM'} sent at {record.sent_at} "
                "has no request id"
            )
            yield Issue("unknown", "", record.vm, text)
