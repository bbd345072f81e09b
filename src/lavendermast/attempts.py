"""Runs the attempts of one request: where, when a second one, and what is told."""

import attrs
import eventlet
from eventlet.queue import Empty, LightQueue

from lavendermast.models import AttemptResult, AttemptStatus, Outcome, Reply
from lavendermast.selection import TRIAL, TRIAL_ONCE
from lavendermast.suspicion import Ending, compute_lost_probability
from lavendermast.upstream import Cancellation

#: A second attempt starts when the first one is lost with this probability.
HEDGE_PROBABILITY = 0.5
#: Interval at which pending attempts are judged again.
CHECK_INTERVAL_S = 0.06
#: The same for requests that get no second attempt; only a caller's leaving is noticed.
CHECK_INTERVAL_ONCE_S = 0.2
#: Servers that may refuse a request one after another before it is given up.
MAX_REFUSALS = 4
#: Pause before servers are looked at again for a request that waits for one.
WAIT_PAUSE_S = 0.05
#: Share of the route's goal after which a request is refused when no server is listed.
NO_SERVER_WAIT_SHARE = 0.1
#: Work that cannot be sent again waits for a server that is known to be well, at most
#: this share of the route's goal.
EVIDENCE_WAIT_SHARE = 0.25
#: Time after which a caller whose request did not run should come back.
RETRY_AFTER_S = 0.5
#: Time for which a server that shed a request gets less.
SHED_PAUSE_S = 0.4
#: An attempt shorter than this is of no use to anybody.
MIN_ATTEMPT_S = 0.02
#: A server answers 504 when the time that it was given has passed, which is up to one
#: network delay between regions before the deadline here.
EXPIRY_MARGIN_S = 0.1
#: Statuses that say how a server is; all others end an attempt without a word on it.
_ENDINGS = {
    AttemptStatus.OK: Ending.SUCCEEDED,
    AttemptStatus.ERROR: Ending.ERROR,
    AttemptStatus.CUT: Ending.FAILED,
    AttemptStatus.CONNECT_FAILED: Ending.FAILED,
}
_STATUS_CODES = {
    AttemptStatus.TIMEOUT: 504,
    AttemptStatus.EXPIRED: 504,
    AttemptStatus.CANCELLED: 499,
}


@attrs.define(eq=False)
class _Running:
    server: object
    number: int
    started: float
    cancellation: Cancellation
    attempt: object


@attrs.define(eq=False)
class _Race:
    """The state of one request while its attempts run."""

    request: object
    route: object
    service: str
    results: LightQueue = attrs.Factory(LightQueue)
    running: dict = attrs.Factory(dict)
    excluded: set = attrs.Factory(set)
    attempts: int = 0
    refusals: int = 0
    may_have_run: bool = False
    awaits_evidence: bool = False
    has_waited: bool = False
    was_denied: bool = False
    failure: AttemptResult | None = None

    @property
    def runs(self):
        """Attempts that may have run or still may."""
        return self.attempts - self.refusals


class AttemptRunner:
    """
    Sends requests to servers until there is a final reply.

    :param selector: chooses servers.
    :param evidence: ``EvidenceBook`` that learns from each attempt.
    :param budgets: function from a service to its ``WindowedRetryBudget``.
    """

    def __init__(self, upstream, selector, evidence, budgets, clock, record_event):
        self._upstream = upstream
        self._selector = selector
        self._evidence = evidence
        self._budgets = budgets
        self._clock = clock
        self._record_event = record_event
        self.counts = {}

    def run(self, request, route, service, caller_gone):
        """
        Return the final reply to a request.

        :param caller_gone: ``Cancellation`` that is cancelled when the caller leaves.
        """
        race = _Race(request, route, service)
        self._budgets(service).add_request()
        try:
            return self._run_race(race, caller_gone)
        finally:
            for running in list(race.running.values()):
                running.cancellation.cancel()

    def _run_race(self, race, caller_gone):
        self._start_attempt(race, "first")
        may_hedge = race.route.idempotent and race.route.max_attempts > 1
        interval = CHECK_INTERVAL_S if may_hedge else CHECK_INTERVAL_ONCE_S
        while True:
            now = self._clock.monotonic()
            left = race.request.deadline - now
            if caller_gone.requested:
                return self._make_failure(race, AttemptStatus.CANCELLED)
            if left <= 0:
                return self._make_failure(race, AttemptStatus.TIMEOUT)
            if not race.running:
                if not self._start_next(race, left):
                    return self._make_failure(race, None)
                continue
            try:
                running, result = race.results.get(timeout=min(interval, left))
            except Empty:
                self._consider_hedge(race)
                continue
            reply = self._take_result(race, running, result)
            if reply is not None:
                return reply

    def _start_next(self, race, left):
        """Start another attempt when none is running; return whether one was."""
        if race.failure is None:
            # No server is listed, or all are doubtful. One may appear within a moment;
            # after that the caller is told at once when to come back.
            waited = self._clock.monotonic() - race.request.arrived
            bound = race.route.goal_s * NO_SERVER_WAIT_SHARE
            if waited > bound and not race.awaits_evidence:
                return False
            self._clock.sleep(min(WAIT_PAUSE_S, left))
            self._start_attempt(race, "first")
            return True
        if race.may_have_run and not race.route.idempotent:
            return False
        if race.runs >= race.route.max_attempts or race.refusals >= MAX_REFUSALS:
            return False
        if left < MIN_ATTEMPT_S or not self._spend(race, "retry"):
            return False
        return self._start_attempt(race, "retry")

    def _spend(self, race, reason):
        """Take another attempt from the budget; a refusal is logged once a request."""
        if self._budgets(race.service).spend():
            return True
        if not race.was_denied:
            race.was_denied = True
            self._record(race, "attempt_denied", reason=reason, cause="budget")
        return False

    def _consider_hedge(self, race):
        if not race.route.idempotent or not race.running:
            return
        if race.runs >= race.route.max_attempts:
            return
        now = self._clock.monotonic()
        durations = self._evidence.get_durations(race.route)
        for running in race.running.values():
            survival = durations.compute_survival(now - running.started)
            sickness = self._evidence.get(running.server.name).compute_sickness(now)
            lost = compute_lost_probability(sickness, survival)
            if lost < HEDGE_PROBABILITY:
                return
        if self._spend(race, "hedge"):
            self._start_attempt(race, "hedge")

    def _start_attempt(self, race, reason):
        route = race.route
        size = self._evidence.get_answer_bytes(route)
        trial = None
        if reason == "first" and not route.idempotent:
            trial = TRIAL_ONCE
        elif reason == "first" and self._budgets(race.service).has_room():
            trial = TRIAL
        candidate = self._selector.choose(
            race.service,
            size,
            race.excluded,
            trial,
            is_first=reason == "first",
            repeatable=race.request.repeatable,
        )
        if candidate is None and race.excluded and not race.running:
            race.excluded.clear()
            candidate = self._selector.choose(
                race.service, size, repeatable=race.request.repeatable
            )
        race.awaits_evidence = False
        if candidate is None:
            return False
        if reason == "first" and self._should_wait(race, candidate):
            self._note_wait(race, candidate)
            return False
        server = candidate.listed.server
        race.attempts += 1
        race.excluded.add(server.name)
        running = _Running(
            server,
            race.attempts,
            self._clock.monotonic(),
            Cancellation(),
            self._evidence.start(server.name, route),
        )
        race.running[running.number] = running
        self._record(
            race,
            "decision",
            attempt=running.number,
            server=server.name,
            reason=candidate.reason or reason,
            sickness=round(candidate.sickness, 3),
            pending=candidate.pending,
            evidence_age_ms=candidate.evidence_age_ms,
        )
        eventlet.spawn_n(self._attempt, race, running)
        return True

    def _should_wait(self, race, candidate):
        """Return whether work that cannot be sent again waits for a better server."""
        if race.route.idempotent or not candidate.awaits_evidence:
            return False
        waited = self._clock.monotonic() - race.request.arrived
        return waited < race.route.goal_s * EVIDENCE_WAIT_SHARE

    def _note_wait(self, race, candidate):
        race.awaits_evidence = True
        if race.has_waited:
            return
        race.has_waited = True
        self._record(
            race,
            "waiting",
            server=candidate.listed.server.name,
            sickness=round(candidate.sickness, 3),
            evidence_age_ms=candidate.evidence_age_ms,
        )

    def _record(self, race, event, **fields):
        """Log a decision about a request."""
        self._record_event(
            event,
            request=race.request.id,
            route=race.route.name,
            service=race.service,
            **fields,
        )

    def _attempt(self, race, running):
        try:
            result = self._upstream.send(
                race.request,
                running.server,
                race.request.deadline,
                running.cancellation,
            )
        except Exception as error:
            result = AttemptResult(running.server.name, AttemptStatus.CUT)
            result.detail = f"{type(error).__name__}: {error}"
        self._finish_attempt(race, running, result)
        race.results.put((running, result))

    def _finish_attempt(self, race, running, result):
        left = race.request.deadline - self._clock.monotonic()
        ending = judge_attempt(result, left)
        self._evidence.finish(
            running.server.name, race.route, running.attempt, result, ending
        )
        key = (race.service, result.status.value)
        self.counts[key] = self.counts.get(key, 0) + 1
        self._record_event(
            "attempt",
            request=race.request.id,
            attempt=running.number,
            server=running.server.name,
            status=result.status.value,
            http_status=result.http_status,
            latency_ms=round((self._clock.monotonic() - running.started) * 1000, 1),
            detail=result.detail or None,
        )

    def _take_result(self, race, running, result):
        """Return the reply that follows from an attempt, or ``None`` to go on."""
        race.running.pop(running.number, None)
        status = result.status
        if status is AttemptStatus.OK:
            return make_answer(race, result)
        if result.ran:
            race.may_have_run = True
        else:
            race.refusals += 1
        if status is AttemptStatus.SHED:
            pause_until = self._clock.monotonic() + SHED_PAUSE_S
            self._evidence.get(running.server.name).busy_until = pause_until
        if status is AttemptStatus.ERROR and (
            not race.route.idempotent or race.runs >= race.route.max_attempts
        ):
            # A server's own error is an answer and goes to the caller as it is.
            return None if race.running else make_answer(race, result)
        if race.failure is None or result.status is AttemptStatus.ERROR:
            race.failure = result
        if result.stream is not None:
            result.stream.close()
            result.stream = None
        return None

    def _make_failure(self, race, status):
        """Return the reply to a request without an answer."""
        failure = race.failure
        if status is None and failure and failure.status is AttemptStatus.ERROR:
            return make_answer(race, failure)
        unknown = race.may_have_run or race.running
        if not unknown:
            reason = failure.status.value if failure else "no-server"
            return Reply(
                Outcome.NOT_RUN,
                reason.replace("_", "-"),
                503,
                attempts=race.attempts,
                retry_after=RETRY_AFTER_S,
                server=failure.server if failure else "",
            )
        status = status or failure.status
        return Reply(
            Outcome.UNKNOWN,
            status.value.replace("_", "-"),
            _STATUS_CODES.get(status, 502),
            attempts=race.attempts,
            server=failure.server if failure else "",
        )


def judge_attempt(result, left):
    """
    Return the :class:`~lavendermast.suspicion.Ending` of an attempt.

    A route's timeout may be too short for well servers too, so an attempt that ran into
    its deadline counts as abandoned, by its age.

    :param left: seconds until the request's deadline.
    """
    if result.http_status == 504 and left < EXPIRY_MARGIN_S:
        return Ending.ABANDONED
    return _ENDINGS.get(result.status, Ending.ABANDONED)


def make_answer(race, result):
    """Return the reply that passes a server's answer on."""
    return Reply(
        Outcome.ANSWERED,
        result.status.value,
        result.http_status,
        result.headers,
        result.body,
        result.stream,
        server=result.server,
        attempts=race.attempts,
    )
