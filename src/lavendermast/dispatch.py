"""Sends a request to servers until there is a reply."""

import attrs

from lavendermast.exceptions import RequestError
from lavendermast.models import AttemptResult, AttemptStatus, Outcome, Reply
from lavendermast.retries import RetryContext

RETRY_AFTER_S = 1
DEFAULT_WEIGHT = 1
UNLISTED_CUSTOMER = ""
FLEET_HEADER_PREFIX = "lavendermast-"


@attrs.define
class LastAttempt:
    """The attempt after which a request is not retried."""

    result: AttemptResult
    decision: object
    attempts: int


class TrackedStream:
    """
    Passes on a streamed body and calls a callback once when it has ended.

    :param finish: called with the final ``AttemptStatus``.
    """

    def __init__(self, stream, finish):
        self._stream = stream
        self.length = getattr(stream, "length", None)
        self._finish = finish

    @property
    def status(self):
        """``AttemptStatus`` once the body has ended, ``None`` before."""
        return self._stream.status

    def __iter__(self):
        try:
            yield from self._stream
        finally:
            self.close()

    def close(self):
        """End the stream; closes the server's connection if the body has not ended."""
        if self._finish is None:
            return
        self._stream.close()
        finish, self._finish = self._finish, None
        finish(self._stream.status)


class Dispatcher:
    """
    Runs the attempts of a request.

    :param policy: object whose ``config`` is the current configuration.
    :param pools: the service pools of this VM.
    :param upstream: sends one attempt.
    :param retry_controller: a ``RetryController`` with the retry policy and the
        budget.
    """

    def __init__(self, policy, pools, upstream, retry_controller, record_event):
        self._policy = policy
        self._pools = pools
        self._upstream = upstream
        self._retry_controller = retry_controller
        self._record_event = record_event

    def run(self, request, route_name, route, cancellation=None, keyed=False):
        """
        Return the reply to a request.

        :param cancellation: an ``upstream.Cancellation``, or ``None``.
        :param keyed: whether the request has an idempotency key and this VM's ledger
            prevents a second run.
        :raises RequestError: when the request is refused before any attempt.
        """
        last = self.run_attempts(request, route_name, route, cancellation, keyed)
        return make_reply(last.decision, last.result, last.attempts)

    def run_attempts(self, request, route_name, route, cancellation=None, keyed=False):
        """Run the attempts and return the last one; see ``run``."""
        pool = self._pools.get(route.service)
        queue = pool.queues[route.work]
        ticket = queue.acquire(request, *self._get_customer_and_weight(request))
        self._retry_controller.add_request()
        context = RetryContext(
            route.idempotent,
            keyed,
            request.deadline,
            refuse_by=ticket.refuse_by,
            arrived_at=request.arrived_at,
        )
        last = None
        try:
            last = self._try_servers(request, route_name, route, context, cancellation)
        finally:
            if last is None or last.result.stream is None:
                status = last.result.status if last else None
                queue.release(
                    ticket,
                    served=status is AttemptStatus.OK,
                    refused=status is AttemptStatus.SHED,
                )
        result = last.result
        if result.stream is not None:
            result.stream = TrackedStream(
                result.stream, lambda status: queue.release(ticket)
            )
        return last

    def _get_customer_and_weight(self, request):
        """Return the customer that the request is queued under, and its weight."""
        customer = self._policy.config.customers.get(request.customer)
        if customer is None:
            # Unlisted customers share one queue, so that a caller gains no capacity by
            # sending made-up names.
            return UNLISTED_CUSTOMER, DEFAULT_WEIGHT
        return request.customer, customer.weight

    def _try_servers(self, request, route_name, route, context, cancellation):
        pool = self._pools.get(route.service)
        tried = []
        last = None
        while True:
            choice = pool.balancer.choose(route, tried)
            if choice is None:
                return end_without_server(last)
            tried.append(choice.server.name)
            self._log_decision(request, route_name, route, choice, len(tried))
            result = self._attempt(
                request, route_name, route, pool, choice, cancellation
            )
            self._log_attempt(request, result, len(tried))
            decision = self._retry_controller.policy.decide(context, result, len(tried))
            last = LastAttempt(result, decision, len(tried))
            if not decision.retry:
                return last
            context = attrs.evolve(context, may_have_run=decision.may_have_run)

    def _attempt(self, request, route_name, route, pool, choice, cancellation):
        name = choice.server.name
        handle = pool.tracker.start_attempt(name, route_name)
        pool.balancer.start(name, route.work)

        def finish(result):
            pool.balancer.finish(name, route.work, result)
            pool.tracker.finish_attempt(handle, result)
            pool.attempts[result.status.value] += 1
            if result.status is AttemptStatus.OK:
                pool.class_check.record(route_name, route.work, result.latency)

        try:
            result = self._upstream.send(
                request, choice.server, request.deadline, cancellation
            )
        except BaseException:
            finish(AttemptResult(name, AttemptStatus.CANCELLED))
            raise
        result.headers = remove_fleet_headers(result.headers)
        if result.stream is not None:
            result.stream = TrackedStream(
                result.stream,
                lambda status: finish(attrs.evolve(result, status=status, stream=None)),
            )
            return result
        finish(result)
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
            detail=result.detail or None,
        )


def remove_fleet_headers(headers):
    """
    Return a server's headers without those that are reserved for the fleet.

    >>> remove_fleet_headers([("Lavendermast-Outcome", "not-run"), ("ETag", "a")])
    [('ETag', 'a')]
    """
    return [
        item for item in headers if not item[0].lower().startswith(FLEET_HEADER_PREFIX)
    ]


def end_without_server(last):
    """
    Return the last attempt as final because no server is left to try.

    :raises RequestError: when there was no attempt.
    """
    if last is None:
        raise RequestError(503, "no-server", retry_after=RETRY_AFTER_S)
    return attrs.evolve(last, decision=attrs.evolve(last.decision, retry=False))


def make_reply(decision, result, attempts):
    """Return the reply for the last attempt's decision and result."""
    reply = Reply(
        decision.outcome,
        decision.reason,
        decision.status,
        server=result.server,
        attempts=attempts,
    )
    if decision.outcome is Outcome.NOT_RUN:
        reply.retry_after = RETRY_AFTER_S
    if result.status is AttemptStatus.OK:
        reply.headers = result.headers
        reply.body = result.body
        reply.stream = result.stream
    return reply
