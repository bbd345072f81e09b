"""Attempts at backend servers: those of this VM and those that others reported."""

import collections
import itertools

import attrs

from lavendermast.durations import Durations
from lavendermast.errorrates import ErrorRates
from lavendermast.messages_model import AttemptReport, ServerSummary
from lavendermast.models import AttemptStatus
from lavendermast.suspicion import MAX_EVIDENCE_AGE_S, AttemptOutcome, ServerEvidence

#: Each report is sent twice, since datagrams may be lost. The copy goes with the next
#: batch, or alone after this time.
COPY_DELAY_S = 0.25
MAX_REPORTS_PER_BATCH = 40
#: Weight of one response in the moving average of response sizes.
SIZE_WEIGHT = 0.05
DEFAULT_DOWNLOAD_BYTES = 90_000
DEFAULT_RESPONSE_BYTES = 1_500
MAX_REMOTE_ATTEMPTS = 20_000
#: Statuses that say nothing about the server's health.
_NEUTRAL_STATUSES = {AttemptStatus.SHED, AttemptStatus.MISDIRECTED}


@attrs.define(eq=False)
class _RemoteAttempt:
    """
    An attempt that another VM reported.

    :param started: monotonic time of its start.
    :param evidence: the ``ServerEvidence`` that counts the attempt, ``None`` while its
        route is not known here.
    :param attempt: ``None`` while nothing counts it.
    :param refused: whether the server refused it.
    """

    started: float
    evidence: ServerEvidence | None = None
    attempt: object = None
    refused: bool = False


@attrs.define(eq=False)
class _LocalAttempt:
    """
    An attempt of this VM, for its reports.

    :param evidence: the ``ServerEvidence`` that counts the attempt. The registry drops
        it when the server is removed.
    :param refused: whether the server shed the request or is not the expected one.
    :param rate_limit: rate limit in the server's response, 0.0 without a response.
    :param head_at: monotonic time of the response.
    """

    number: int
    server_name: str
    route_name: str
    attempt: object
    evidence: ServerEvidence
    refused: bool = False
    rate_limit: float = 0.0
    head_at: float = 0.0
    has_ended: bool = False

    def make_report(self, now):
        """Return the message for a batch that is sent now."""
        attempt = self.attempt
        phase, duration = "pending", 0.0
        if self.refused:
            phase = "refused"
        elif attempt.ended is not None:
            phase = attempt.outcome.value
            duration = attempt.ended - attempt.started
        return AttemptReport(
            self.server_name,
            self.number,
            phase,
            round((now - attempt.started) * 1000),
            round(duration * 1000),
            self.route_name,
            self.rate_limit,
            round((now - self.head_at) * 1000) if self.rate_limit else 0,
        )


class EvidenceRegistry:
    """
    Evidence about each server, and response times and sizes of each route.

    :param find_route: function from a route's name to the route in force, or ``None``.
    :param rate_limits: a :class:`~lavendermast.ratelimits.RateLimits`, which counts
        all attempts.

    ``on_report_queued`` is called when a report is added for :meth:`take_reports`,
    ``on_start`` and ``on_end`` for each attempt; its sender is empty for this VM's own.
    """

    def __init__(self, clock, find_route, rate_limits):
        self._clock = clock
        self._find_route = find_route
        self._rate_limits = rate_limits
        self.error_rates = ErrorRates()
        self._servers = collections.defaultdict(
            lambda: ServerEvidence(self.error_rates)
        )
        self._durations = {}
        self._response_bytes = {}
        self._numbers = itertools.count(1)
        self._local_attempts = {}
        self._outbox = collections.deque()
        self._copies = collections.deque()
        self._remote_attempts = collections.OrderedDict()
        self.on_report_queued = lambda: None
        self.on_start = lambda server_name, sender: None
        self.on_end = lambda server_name, sender, seconds, was_refused: None

    def get(self, server_name):
        """Return the evidence about a server."""
        return self._servers[server_name]

    def get_durations(self, route):
        """Return the response times of a route."""
        durations = self._durations.get(route.name)
        if durations is None:
            durations = self._durations[route.name] = Durations(route.goal_s)
        return durations

    def get_response_bytes(self, route):
        """Return the mean size of a route's responses."""
        default = (
            DEFAULT_DOWNLOAD_BYTES
            if route.kind.value == "download"
            else DEFAULT_RESPONSE_BYTES
        )
        return self._response_bytes.get(route.name, default)

    def remove_server(self, server_name):
        """Drop the evidence about a server that was removed."""
        self._servers.pop(server_name, None)

    def start(self, server_name, route):
        """Add an attempt of this VM that starts now and return it."""
        now = self._clock.monotonic()
        evidence = self._servers[server_name]
        attempt = evidence.start(now, self.get_durations(route), route.idempotent)
        self._rate_limits.count_start(server_name, now)
        local = _LocalAttempt(
            next(self._numbers), server_name, route.name, attempt, evidence
        )
        self._local_attempts[attempt] = local
        self._queue_report(local)
        self.on_start(server_name, "")
        return attempt

    def finish(self, server_name, route, attempt, result, outcome):
        """Record the outcome of an attempt of this VM."""
        now = self._clock.monotonic()
        local = self._local_attempts.pop(attempt)
        local.has_ended = True
        self._queue_report(local)
        evidence = local.evidence
        if result.rate_limit is not None:
            local.rate_limit, local.head_at = result.rate_limit, result.head_at
            self._rate_limits.observe(
                server_name, result.rate_limit, result.head_at, "response"
            )
        was_refused = result.status in _NEUTRAL_STATUSES
        if was_refused:
            local.refused = True
            self._remove(evidence, attempt)
        else:
            evidence.finish(attempt, now, outcome)
        self.on_end(server_name, "", now - attempt.started, was_refused)
        if was_refused:
            return
        if outcome is AttemptOutcome.SUCCEEDED:
            self.get_durations(route).add(now - attempt.started)
            size = len(result.body)
            mean = self.get_response_bytes(route)
            self._response_bytes[route.name] = mean + (size - mean) * SIZE_WEIGHT

    def _queue_report(self, local):
        self._outbox.append((local, local.has_ended))
        self.on_report_queued()

    @property
    def has_reports(self):
        """Whether reports wait to be sent, copies included."""
        return bool(self._outbox or self._copies)

    def take_reports(self):
        """
        Remove the reports to send now from the queue and return them.

        The report of the end of an attempt replaces those of its start.
        """
        now = self._clock.monotonic()
        first = []
        while self._outbox and len(first) < MAX_REPORTS_PER_BATCH:
            local, has_ended = self._outbox.popleft()
            if has_ended is local.has_ended:
                first.append(local)
        attempts = list(first)
        while self._copies and len(attempts) < MAX_REPORTS_PER_BATCH:
            due, local, has_ended = self._copies[0]
            if has_ended is local.has_ended:
                if not attempts and now < due:
                    break
                attempts.append(local)
            self._copies.popleft()
        due = now + COPY_DELAY_S
        self._copies.extend((due, local, local.has_ended) for local in first)
        return tuple(local.make_report(now) for local in attempts)

    def apply_reports(self, sender, boot_id, reports):
        """
        Apply the reports of another VM about its attempts.

        :param boot_id: identifier of the sender's process, which numbers its attempts.
        """
        now = self._clock.monotonic()
        for report in reports:
            if report.rate_limit:
                self._observe_limit(report, sender, now)
            self._apply_report((sender, boot_id, report.sequence), report, now)
        while len(self._remote_attempts) > MAX_REMOTE_ATTEMPTS:
            self._remote_attempts.popitem(last=False)

    def make_summaries(self, server_names):
        """Return summaries of the evidence about some servers, for other regions."""
        now = self._clock.monotonic()
        summaries = []
        for name in server_names:
            evidence = self._servers.get(name)
            if evidence is None or not evidence.attempts:
                continue
            permille = round(evidence.compute_sick_probability(now) * 1000)
            limit, age, spare = self._rate_limits.make_summary(name)
            summaries.append(
                ServerSummary(
                    name, permille, evidence.pending, limit, round(age * 1000), spare
                )
            )
        return summaries

    def apply_summaries(self, region, summaries):
        """Apply the summaries of another region about its servers."""
        now = self._clock.monotonic()
        for summary in summaries:
            if summary.rate_limit:
                self._observe_limit(summary, region, now)
                self._rate_limits.apply_spare(summary.server, summary.spare_rate)
            self._servers[summary.server].apply_summary(
                now, summary.sickness_permille / 1000, summary.pending
            )

    def _observe_limit(self, message, source, now):
        """Apply the rate limit in a report or summary."""
        observed_at = now - message.limit_age_ms / 1000
        self._rate_limits.observe(
            message.server, message.rate_limit, observed_at, source
        )

    def expire(self):
        """Remove reported attempts that are too old to count as evidence."""
        oldest = self._clock.monotonic() - 2 * MAX_EVIDENCE_AGE_S
        while self._remote_attempts:
            key, remote = next(iter(self._remote_attempts.items()))
            if remote.started > oldest:
                return
            del self._remote_attempts[key]

    def _apply_report(self, key, report, now):
        started = now - report.start_age_ms / 1000
        remote = self._remote_attempts.get(key)
        if remote is None:
            # Remembered also while nothing else counts the attempt: the report is sent
            # more than once, and the rate limit is charged only once.
            remote = self._remote_attempts[key] = _RemoteAttempt(started)
            self._rate_limits.count_start(report.server, started)
            self.on_start(report.server, key[0])
        if report.phase == "refused":
            if remote.attempt is not None:
                self._remove(remote.evidence, remote.attempt)
                remote.attempt = None
                self.on_end(report.server, key[0], 0.0, True)
            remote.refused = True
        if remote.refused:
            return
        if remote.attempt is None and not self._count_remote(remote, report):
            return
        attempt = remote.attempt
        if report.phase == "pending" or attempt.ended is not None:
            return
        outcome = AttemptOutcome(report.phase)
        ended = attempt.started + report.duration_ms / 1000
        remote.evidence.finish(attempt, ended, outcome)
        self.on_end(report.server, key[0], report.duration_ms / 1000, False)
        if outcome is AttemptOutcome.SUCCEEDED:
            attempt.durations.add(report.duration_ms / 1000)

    def _count_remote(self, remote, report):
        """Add a reported attempt to the evidence if its route is known here."""
        route = self._find_route(report.route)
        if route is None:
            return False
        remote.evidence = self._servers[report.server]
        remote.attempt = remote.evidence.start(
            remote.started, self.get_durations(route), route.idempotent
        )
        return True

    def _remove(self, evidence, attempt):
        if attempt.ended is None:
            evidence.finish(attempt, self._clock.monotonic(), AttemptOutcome.ABANDONED)
        evidence.discard(attempt)
