"""What all VMs of a region saw of backend servers: own attempts and reported ones."""

import collections
import itertools

from lavendermast.durations import Durations
from lavendermast.messages_model import AttemptReport, ServerSummary
from lavendermast.models import AttemptStatus
from lavendermast.suspicion import HORIZON_S, Ending, ServerEvidence

#: Own reports are sent in this many batches, since datagrams may be lost.
REPORT_COPIES = 2
MAX_REPORTS_PER_BATCH = 20
#: Weight of one answer in the mean answer size.
SIZE_WEIGHT = 0.05
DOWNLOAD_BYTES = 90_000
ANSWER_BYTES = 1_500
MAX_FOREIGN_ATTEMPTS = 20_000
#: Statuses without a word about the server's health.
_NEUTRAL = {AttemptStatus.SHED, AttemptStatus.MISDIRECTED}


class EvidenceBook:
    """
    Evidence about each server and answer times of each route.

    :param find_route: function from a route's name to the route in force, or ``None``.

    ``on_report`` is called when there is something for :meth:`take_reports`.
    """

    def __init__(self, clock, find_route):
        self._clock = clock
        self._find_route = find_route
        self._servers = collections.defaultdict(ServerEvidence)
        self._durations = {}
        self._answer_bytes = {}
        self._numbers = itertools.count(1)
        self._own = {}
        self._outbox = collections.deque()
        self._foreign = collections.OrderedDict()
        self.on_report = lambda: None

    def get(self, server_name):
        """Return the evidence about a server."""
        return self._servers[server_name]

    def get_durations(self, route):
        """Return the answer times of a route."""
        durations = self._durations.get(route.name)
        if durations is None:
            durations = self._durations[route.name] = Durations(route.goal_s)
        return durations

    def get_answer_bytes(self, route):
        """Return the mean size of a route's answers."""
        default = DOWNLOAD_BYTES if route.kind.value == "download" else ANSWER_BYTES
        return self._answer_bytes.get(route.name, default)

    def forget(self, server_name):
        """Drop the evidence about a server that is gone or started anew."""
        self._servers.pop(server_name, None)

    def start(self, server_name, route):
        """Count an own attempt that begins now and return it."""
        now = self._clock.monotonic()
        attempt = self._servers[server_name].start(
            now, self.get_durations(route), route.idempotent
        )
        number = next(self._numbers)
        self._own[attempt] = number
        self._add_report(number, server_name, route, attempt)
        return attempt

    def finish(self, server_name, route, attempt, result, ending):
        """Count the end of an own attempt."""
        now = self._clock.monotonic()
        number = self._own.pop(attempt)
        evidence = self._servers[server_name]
        if result.status in _NEUTRAL:
            self._remove(evidence, attempt)
            self._add_report(number, server_name, route, None)
            return
        evidence.finish(attempt, now, ending)
        self._add_report(number, server_name, route, attempt)
        if ending is Ending.SUCCEEDED:
            self.get_durations(route).add(now - attempt.started)
            size = len(result.body)
            mean = self.get_answer_bytes(route)
            self._answer_bytes[route.name] = mean + (size - mean) * SIZE_WEIGHT

    def _add_report(self, number, server_name, route, attempt):
        self._outbox.append([REPORT_COPIES, number, server_name, route.name, attempt])
        self.on_report()

    def take_reports(self):
        """Return reports on own attempts to send now."""
        now = self._clock.monotonic()
        batch = {}
        for _ in range(min(len(self._outbox), MAX_REPORTS_PER_BATCH)):
            item = self._outbox.popleft()
            copies, number, server_name, route_name, attempt = item
            batch[number] = make_report(number, server_name, route_name, attempt, now)
            if copies > 1:
                item[0] -= 1
                self._outbox.append(item)
        return tuple(batch.values())

    def apply_reports(self, sender, reports):
        """Take in what another VM reports of its attempts."""
        now = self._clock.monotonic()
        for report in reports:
            self._apply_report((sender, report.sequence), report, now)
        while len(self._foreign) > MAX_FOREIGN_ATTEMPTS:
            self._foreign.popitem(last=False)

    def make_summaries(self, server_names):
        """Return what is believed of some servers, for other regions."""
        now = self._clock.monotonic()
        summaries = []
        for name in server_names:
            evidence = self._servers.get(name)
            if evidence is None or not evidence.attempts:
                continue
            permille = round(evidence.compute_sickness(now) * 1000)
            summaries.append(ServerSummary(name, permille, evidence.pending))
        return summaries

    def apply_summaries(self, summaries):
        """Take in what other regions believe of their servers."""
        now = self._clock.monotonic()
        for summary in summaries:
            self._servers[summary.server].note_report(
                now, summary.sickness_permille / 1000, summary.pending
            )

    def expire(self):
        """Forget reported attempts that are too old to matter."""
        oldest = self._clock.monotonic() - 2 * HORIZON_S
        while self._foreign:
            key, attempt = next(iter(self._foreign.items()))
            if attempt is not None and attempt.started > oldest:
                return
            del self._foreign[key]

    def _apply_report(self, key, report, now):
        evidence = self._servers[report.server]
        if report.phase == "refused":
            known = self._foreign.get(key)
            if known is not None:
                self._remove(evidence, known)
                self._foreign[key] = None
            return
        attempt = self._foreign.get(key)
        if attempt is None:
            if key in self._foreign:
                return
            route = self._find_route(report.route)
            if route is None:
                return
            started = now - report.start_age_ms / 1000
            attempt = evidence.start(
                started, self.get_durations(route), route.idempotent
            )
            self._foreign[key] = attempt
        if report.phase == "pending" or attempt.ended is not None:
            return
        ending = Ending(report.phase)
        ended = attempt.started + report.duration_ms / 1000
        evidence.finish(attempt, ended, ending)
        if ending is Ending.SUCCEEDED:
            attempt.durations.add(report.duration_ms / 1000)

    def _remove(self, evidence, attempt):
        if attempt.ended is None:
            evidence.finish(attempt, self._clock.monotonic(), Ending.ABANDONED)
        if attempt in evidence.attempts:
            evidence.attempts.remove(attempt)


def make_report(number, server_name, route_name, attempt, now):
    """Return the report on an own attempt; without one the server refused it."""
    if attempt is None:
        return AttemptReport(server_name, number, "refused", route=route_name)
    phase, duration = "pending", 0.0
    if attempt.ended is not None:
        phase = attempt.ending.value
        duration = attempt.ended - attempt.started
    return AttemptReport(
        server_name,
        number,
        phase,
        round((now - attempt.started) * 1000),
        round(duration * 1000),
        route_name,
    )
