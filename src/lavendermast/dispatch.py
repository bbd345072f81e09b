"""Sends one request to servers until it has a reply."""

import attrs

from lavendermast.models import AttemptResult, AttemptStatus, Outcome

#: Response headers that describe one connection and are not passed on.
RETRY_AFTER_S = 1


@attrs.define
class Reply:
    """
    What the caller is told.

    :param stream: iterator of body parts for an answer that is not buffered.
    """

    status: int
    outcome: Outcome
    reason: str
    headers: list = attrs.Factory(list)
    body: bytes = b""
    stream: object = None
    server: str = ""
    attempts: int = 0
    retry_after: int = 0


class Dispatcher:
    """
    Runs the attempts of a request.

    :param pools: the service pools of this VM.
    :param upstream: sends one attempt.
    """

    def __init__(self, pools, upstream, retry_policy, clock, record_event):
        self._pools = pools
        self._upstream = upstream
        self._retries = retry_policy
        self._clock = clock
        self._record_event = record_event

    def run(self, request, route_name, route, cancelled=None):
        """Return the reply to a request; never raises for a server's failure."""
        pool = self._pools.get(route.service)
        tried = []
        while True:
            choice = pool.balancer.choose(route, tried)
            if choice is None:
                result = AttemptResult("", AttemptStatus.SHED, detail="no server")
                return self._retries.conclude(request, route, result, len(tried))
            tried.append(choice.server.name)
            self._log_decision(request, route_name, route, choice, len(tried))
            result = self._attempt(request, route_name, route, pool, choice, cancelled)
            self._log_attempt(request, result, len(tried))
            if not self._retries.may_retry(request, route, result, len(tried)):
                return self._retries.conclude(request, route, result, len(tried))

    def _attempt(self, request, route_name, route, pool, choice, cancelled):
        name = choice.server.name
        handle = pool.tracker.start_attempt(name, route_name)
        pool.balancer.start(name, route.work)
        result = self._upstream.send(
            request, choice.server, request.deadline, cancelled
        )
        pool.balancer.finish(name, route.work, result)
        pool.tracker.finish_attempt(handle, result)
        if result.status is AttemptStatus.DRAINING:
            pool.tracker.mark_leaving(name, "response")
        return result

    def _log_decision(self, request, route_name, route, choice, attempt):
        self._record_event(
            "decision",
            request=request.id,
            route=route_name,
            service=route.service,
            attempt=attempt,
            server=choice.server.name,
            reason=choice.reason,
            candidates=choice.candidates,
            deadline=request.deadline_unix_ms,
        )

    def _log_attempt(self, request, result, attempt):
        self._record_event(
            "attempt",
            request=request.id,
            attempt=attempt,
            server=result.server,
            status=result.status.value,
            http_status=result.http_status,
            latency_ms=round(result.latency * 1000, 3),
            detail=result.detail,
        )
