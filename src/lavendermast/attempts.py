"""Runs the attempts of a request: server choice, retries, hedging and the reply."""

import collections
import math

import eventlet
from eventlet.queue import Empty

from lavendermast.admission import MAX_RETRY_AFTER_S, OpenPass, RoomQueue
from lavendermast.attemptstate import RequestState, RunningAttempt, classify_attempt
from lavendermast.crashes import ServerRun
from lavendermast.denials import RETRY_AFTER_S, Denial
from lavendermast.models import AttemptResult, AttemptStatus, Outcome, Reply
from lavendermast.selection import IDEMPOTENT_TRIAL, NON_IDEMPOTENT_TRIAL
from lavendermast.suspicion import compute_lost_probability
from lavendermast.upstream import Cancellation

#: A hedge starts when every running attempt is lost with at least this probability.
HEDGE_PROBABILITY = 0.5
#: Interval between checks whether a request needs a hedge.
HEDGE_CHECK_INTERVAL_S = 0.06
#: Longer interval for requests that are never hedged. Only a disconnect of the caller
#: has to be detected.
NO_HEDGE_CHECK_INTERVAL_S = 0.2
#: Number of attempts that certainly did not run after which a request fails.
MAX_NOT_RUN_ATTEMPTS = 4
#: Interval at which a waiting request looks for a server again.
SERVER_POLL_INTERVAL_S = 0.05
#: Share of the route's latency goal after which a request is refused if no server is
#: listed.
NO_SERVER_WAIT_SHARE = 0.1
#: A non-idempotent request waits at most this share of the route's latency goal for a
#: server that is known to be healthy.
EVIDENCE_WAIT_SHARE = 0.25
#: Time for which a server that shed a request has a higher cost.
SHED_PENALTY_S = 0.4
#: No retry starts with less time than this until the deadline, because it could not be
#: answered in time.
MIN_ATTEMPT_S = 0.02
_ANSWERED_STATUSES = {AttemptStatus.OK, AttemptStatus.ERROR}
_NOT_SENT_STATUSES = {
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.EXPIRED,
    AttemptStatus.SHORTAGE,
    AttemptStatus.DENIED,
}
#: Denials that an attempt finds out after the check before it.
_DENIALS = {
    AttemptStatus.SHORTAGE: Denial.SHORTAGE,
    AttemptStatus.DENIED: Denial.KEYS_UNCONFIRMED,
}
_STATUS_CODES = {
    AttemptStatus.TIMEOUT: 504,
    AttemptStatus.EXPIRED: 504,
    AttemptStatus.CANCELLED: 499,
}


class AttemptRunner:
    """
    Sends a request to servers, with retries and hedges, until it has a final reply.

    :param selector: chooses servers.
    :param evidence: ``EvidenceRegistry`` that records each attempt.
    :param notices: ``ServerNotices`` that keeps what servers say of themselves.
    :param crashes: ``CrashSharing`` that tells which requests crash servers.
    :param denials: ``DenialRules`` for attempts.
    :param get_budget: function from a service to its ``WindowedRetryBudget``.
    :param open_pass: function of request, route and service that returns the pass by
        which the request is admitted; see ``Admission.open``.

    ``count_attempt`` is called with the account of each further attempt.
    """

    def __init__(
        self,
        upstream,
        selector,
        evidence,
        notices,
        crashes,
        denials,
        get_budget,
        clock,
        record_event,
        open_pass=lambda request, route, service: OpenPass(),
    ):
        self._upstream = upstream
        self._selector = selector
        self._evidence = evidence
        self._notices = notices
        self._crashes = crashes
        self._denials = denials
        self._get_budget = get_budget
        self._clock = clock
        self._record_event = record_event
        self._open_pass = open_pass
        self.attempt_counts = {}
        self.count_attempt = lambda account: None
        self._room_queues = collections.defaultdict(lambda: RoomQueue(clock))

    def run(self, request, route, service, caller_cancellation):
        """
        Return the final reply to a request.

        :param caller_cancellation: ``Cancellation`` that is requested when the caller
            disconnects.
        """
        self._get_budget(service).add_request()
        with self._open_pass(request, route, service) as admission:
            state = RequestState(request, route, service, admission)
            try:
                return self._run_until_reply(state, caller_cancellation)
            finally:
                for running in list(state.running.values()):
                    running.cancellation.cancel()

    def _run_until_reply(self, state, caller_cancellation):
        def should_stop():
            return caller_cancellation.requested or self._is_denied(state, "first")

        if not state.admission.acquire(should_stop):
            return self._make_failure_reply(state, None)
        self._start_attempt(state, "first")
        may_hedge = state.route.idempotent and state.route.max_attempts > 1
        interval = HEDGE_CHECK_INTERVAL_S if may_hedge else NO_HEDGE_CHECK_INTERVAL_S
        while True:
            now = self._clock.monotonic()
            left = state.request.deadline - now
            if caller_cancellation.requested:
                return self._make_failure_reply(state, AttemptStatus.CANCELLED)
            if left <= 0:
                return self._make_failure_reply(state, AttemptStatus.TIMEOUT)
            if not state.running:
                if not self._start_next_attempt(state, left, should_stop):
                    return self._make_failure_reply(state, None)
                continue
            try:
                running, result = state.results.get(timeout=min(interval, left))
            except Empty:
                self._consider_hedge(state)
                continue
            reply = self._handle_result(state, running, result)
            if reply is not None:
                return reply

    def _start_next_attempt(self, state, left, should_stop):
        """
        Start another attempt, or wait for a server, when no attempt is running.

        :return: whether the request goes on; ``False`` if it has to fail.
        """
        if state.denial is not None:
            return False
        if state.failure is None:
            # No server is available, or none is known to be healthy yet. Look again
            # shortly. Without any server the request is refused early, with
            # Retry-After; otherwise it is sent anyway once it has waited for
            # EVIDENCE_WAIT_SHARE of the latency goal.
            if state.awaits_evidence:
                self._clock.sleep(min(SERVER_POLL_INTERVAL_S, left))
            elif not self._wait_for_server(state, left, should_stop):
                return False
            self._start_attempt(state, "first")
            return True
        if state.may_have_run and not state.route.idempotent:
            return False
        if (
            state.possible_runs >= state.route.max_attempts
            or state.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS
        ):
            return False
        if left < MIN_ATTEMPT_S or not self._acquire_retry(state, should_stop):
            return False
        if self._start_attempt(state, "retry"):
            return True
        # Others took the slots in the meantime.
        return self._can_wait_again(state) and state.admission.acquire_again(
            should_stop
        )

    def _acquire_retry(self, state, should_stop):
        """
        Wait for a slot for another attempt.

        A request that a server turned away does not wait if the budget for further
        attempts is spent: the fleet makes none until requests have ended.
        """
        if not state.admission.is_limited:
            return True
        if state.has_arrived and not self._has_budget(state):
            self._record_denial(state, "retry", cause="budget")
            return False
        return state.admission.acquire(should_stop)

    def _has_budget(self, state):
        kept_share = state.admission.kept_budget_share
        return self._get_budget(state.service).can_spend(kept_share)

    def _can_wait_again(self, state):
        """Return whether an attempt was only not made for lack of a free server."""
        is_limited = state.admission.is_limited and state.admission.has_servers
        return is_limited and state.denial is None and self._has_budget(state)

    def _wait_for_server(self, state, left, should_stop):
        """
        Wait until a server is listed or a limited one may get a request.

        :return: ``False`` at once if that takes too long.
        """
        if state.admission.is_limited and state.admission.has_servers:
            return state.admission.acquire_again(should_stop)
        waited = self._clock.monotonic() - state.request.arrived_at
        forecast = self._selector.forecast_room(state.service)
        if forecast is None:
            if waited > state.route.goal_s * NO_SERVER_WAIT_SHARE:
                return False
            self._clock.sleep(min(SERVER_POLL_INTERVAL_S, left))
            return True
        queue = self._room_queues[state.service]
        return queue.wait(forecast, state.route.goal_s, waited, left)

    def _spend_budget(self, state, reason):
        """Spend budget for an attempt; return whether there was any."""
        kept_share = state.admission.kept_budget_share
        if self._get_budget(state.service).spend(kept_share):
            return True
        self._record_denial(state, reason, cause="budget")
        return False

    def _consider_hedge(self, state):
        if not state.running or not state.may_run_again:
            return
        if not state.admission.may_hedge():
            return
        now = self._clock.monotonic()
        durations = self._evidence.get_durations(state.route)
        for running in state.running.values():
            survival = durations.compute_survival(now - running.started)
            sick_probability = self._evidence.get(
                running.server.name
            ).compute_sick_probability(now)
            lost = compute_lost_probability(sick_probability, survival)
            if lost < HEDGE_PROBABILITY:
                return
        self._start_attempt(state, "hedge")

    def _start_attempt(self, state, reason):
        if self._is_denied(state, reason):
            return False
        route = state.route
        size = self._selector.region_policy.count_bytes(
            self._evidence.get_response_bytes(route), state.request
        )
        trial = None
        if reason == "first" and not route.idempotent:
            trial = NON_IDEMPOTENT_TRIAL
        elif reason == "first" and self._get_budget(state.service).can_spend():
            trial = IDEMPOTENT_TRIAL
        candidate = self._selector.choose(
            state.service,
            size,
            state.excluded,
            trial,
            is_first=reason == "first",
            retryable=state.request.retryable,
            spread_key=self._crashes.get_spread_key(state.request),
            allowance=state.admission.allowance,
        )
        if candidate is None and state.excluded and not state.running:
            state.excluded.clear()
            candidate = self._selector.choose(
                state.service,
                size,
                retryable=state.request.retryable,
                allowance=state.admission.allowance,
            )
        state.awaits_evidence = False
        if candidate is None:
            return False
        if reason == "first" and self._should_wait(state, candidate):
            self._record_wait(state, candidate)
            return False
        # A request that reached no server yet is not repeated by another attempt.
        is_repeat = state.has_arrived or bool(state.running)
        if is_repeat and not self._spend_budget(state, reason):
            return False
        if is_repeat:
            self.count_attempt(state.request.account)
        server = candidate.listed.server
        state.attempts += 1
        state.excluded.add(server.name)
        running = RunningAttempt(
            server,
            ServerRun.from_listed(candidate.listed),
            state.attempts,
            self._clock.monotonic(),
            Cancellation(),
            self._evidence.start(server.name, route),
        )
        state.running[running.number] = running
        state.admission.set_started()
        self._record(
            state,
            "decision",
            attempt=running.number,
            server=server.name,
            reason=candidate.reason or reason,
            sickness=round(candidate.sick_probability, 3),
            pending=candidate.pending,
            evidence_age_ms=candidate.evidence_age_ms,
        )
        eventlet.spawn_n(self._run_attempt, state, running)
        return True

    def _is_denied(self, state, reason):
        """
        Return whether a request gets no further attempt, whatever server is chosen.

        The cause is stored in ``denial``.
        """
        state.denial = self._denials.find(
            state.request,
            may_have_run=state.possible_runs > 0,
            has_arrived=state.has_arrived or bool(state.running),
        )
        if state.denial is None:
            return False
        fingerprint = state.request.fingerprint.hex()
        self._record_denial(
            state, reason, cause=state.denial.value, fingerprint=fingerprint
        )
        return True

    def _record_denial(self, state, reason, **fields):
        """Log that an attempt is not made, once for each request."""
        if not state.denial_logged:
            state.denial_logged = True
            self._record(state, "attempt_denied", reason=reason, **fields)

    def _should_wait(self, state, candidate):
        """Return whether a non-idempotent request waits for a healthy server."""
        if state.route.idempotent or not candidate.awaits_evidence:
            return False
        waited = self._clock.monotonic() - state.request.arrived_at
        return waited < state.route.goal_s * EVIDENCE_WAIT_SHARE

    def _record_wait(self, state, candidate):
        state.awaits_evidence = True
        if state.wait_logged:
            return
        state.wait_logged = True
        self._record(
            state,
            "waiting",
            server=candidate.listed.server.name,
            sickness=round(candidate.sick_probability, 3),
            evidence_age_ms=candidate.evidence_age_ms,
        )

    def _record(self, state, event, **fields):
        """Log an event with the fields of the request."""
        self._record_event(
            event,
            request=state.request.id,
            route=state.route.name,
            service=state.service,
            **fields,
        )

    def _run_attempt(self, state, running):
        try:
            result = self._send(state, running)
        except Exception as error:
            result = AttemptResult(running.server.name, AttemptStatus.CUT)
            result.detail = f"{type(error).__name__}: {error}"
        self._finish_attempt(state, running, result)
        if result.connection_lost:
            self._check_crash(state, running)
        state.results.put((running, result))

    def _send(self, state, running):
        if running.cancellation.requested:
            return AttemptResult(running.server.name, AttemptStatus.CANCELLED)
        running.has_begun = True
        return self._upstream.send(
            state.request,
            running.server,
            state.request.deadline,
            running.cancellation,
        )

    def _check_crash(self, state, running):
        """Find out whether the server crashed, before another attempt is made."""
        call = (state.request, running.server, running.run)
        if state.may_run_again:
            self._crashes.check_lost_connection(*call)
        else:
            eventlet.spawn_n(self._crashes.check_lost_connection, *call)

    def _finish_attempt(self, state, running, result):
        left = state.request.deadline - self._clock.monotonic()
        outcome = classify_attempt(result, left)
        self._evidence.finish(
            running.server.name, state.route, running.evidence_attempt, result, outcome
        )
        if result.is_leaving:
            self._notices.mark_leaving(running.server.name)
        if result.pause_s:
            until = result.head_at + result.pause_s
            self._notices.pause(running.server.name, until)
        if result.status in _ANSWERED_STATUSES:
            self._crashes.note_answer(state.request)
        key = (state.service, result.status.value)
        self.attempt_counts[key] = self.attempt_counts.get(key, 0) + 1
        self._record_event(
            "attempt",
            request=state.request.id,
            attempt=running.number,
            server=running.server.name,
            status=result.status.value,
            http_status=result.http_status,
            latency_ms=round((self._clock.monotonic() - running.started) * 1000, 1),
            detail=result.detail or None,
            **_describe_rate_limit(result),
        )

    def _handle_result(self, state, running, result):
        """Return the final reply after an attempt, or ``None`` to continue."""
        state.running.pop(running.number, None)
        status = result.status
        if status not in _NOT_SENT_STATUSES:
            state.has_arrived = True
        if status is AttemptStatus.OK:
            return make_response_reply(state, result)
        if result.ran:
            state.may_have_run = True
        else:
            state.not_run_attempts += 1
        if status in _DENIALS:
            state.denial = _DENIALS[status]
        if status is AttemptStatus.SHED:
            penalty_until = self._clock.monotonic() + SHED_PENALTY_S
            self._evidence.get(running.server.name).busy_until = penalty_until
        if (
            status is AttemptStatus.ERROR
            and not state.running
            and not state.may_run_again
        ):
            return make_response_reply(state, result)
        if result.stream is not None:
            # Only a final response is streamed, and another attempt may succeed.
            result.stream.close()
            result.stream = None
            result.status = AttemptStatus.CUT
        if state.failure is None or result.status is AttemptStatus.ERROR:
            state.failure = result
        return None

    def _make_failure_reply(self, state, status):
        """
        Return the final reply when no attempt succeeded.

        It is a server's error response, not-run or unknown.
        """
        reply = self._settle(state)
        if reply is not None:
            return reply
        failure = state.failure
        if status is None and failure and failure.status is AttemptStatus.ERROR:
            return make_response_reply(state, failure)
        unknown = state.may_have_run or state.running
        if not unknown:
            reason, retry_after = self._plan_return(state)
            return Reply(
                Outcome.NOT_RUN,
                reason.replace("_", "-"),
                503,
                attempts=state.attempts,
                retry_after=retry_after,
                server=failure.server if failure else "",
            )
        status = status or failure.status
        return Reply(
            Outcome.UNKNOWN,
            status.value.replace("_", "-"),
            _STATUS_CODES.get(status, 502),
            attempts=state.attempts,
            server=failure.server if failure else "",
        )

    def _settle(self, state):
        """
        Find out whether attempts that have not been assessed yet may have run.

        Results may have arrived just before the deadline. An attempt that has sent no
        byte yet, such as one that is still connecting, is withdrawn.

        :return: the final reply, if such a result allows one.
        """
        while not state.results.empty():
            running, result = state.results.get_nowait()
            reply = self._handle_result(state, running, result)
            if reply is not None:
                return reply
        for running in list(state.running.values()):
            if running.withdraw():
                del state.running[running.number]
                state.not_run_attempts += 1
        return None

    def _plan_return(self, state):
        """Return why a request did not run, and the value of ``Retry-After``."""
        if state.denial is not None:
            retry_after = self._denials.plan_return(state.request, state.denial)
            return state.denial.value, retry_after
        reason = "deadline" if state.attempts else "no-server"
        if state.failure is not None:
            reason = state.failure.status.value
        if state.admission.is_limited and state.admission.has_servers:
            if not state.attempts:
                reason = "no-capacity"
            return reason, state.admission.plan_return()
        forecast = self._selector.forecast_room(state.service)
        if forecast is None:
            return reason, RETRY_AFTER_S
        if state.failure is None:
            reason = "rate-limited"
        retry_after = self._room_queues[state.service].plan_return(forecast)
        self._record(
            state,
            "rate_limited",
            delay_ms=round(min(forecast.delay_s, MAX_RETRY_AFTER_S) * 1000),
            retry_after_ms=round(retry_after * 1000),
        )
        return reason, retry_after


def _describe_rate_limit(result):
    """Return the log field of a rate limit; responses without one have none."""
    if result.rate_limit is None or math.isinf(result.rate_limit):
        return {}
    return {"rate_limit": result.rate_limit}


def make_response_reply(state, result):
    """Return the reply that passes a server's response to the caller."""
    return Reply(
        Outcome.ANSWERED,
        result.status.value,
        result.http_status,
        result.headers,
        result.body,
        result.stream,
        server=result.server,
        attempts=state.attempts,
    )
