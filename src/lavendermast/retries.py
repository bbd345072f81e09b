"""Retry budgets, and the decision between a retry and an outcome."""

import math

import attrs

from .admission import REFUSAL_BOUND_S
from .models import AttemptStatus, Outcome

#: Retries available before the first request, and the most that accumulate, so that a
#: VM with little traffic can retry too.
MAX_SAVED_RETRIES = 10

#: Time to allow for the response of a server that sheds the request: 20 ms between
#: regions and 2 ms of work. Allowing only the time of the previous shed made 0.1% of
#: the refusals in a load spike late.
SHED_RESPONSE_TIME_S = 0.022

#: Share of the fleet's slack for retries that all inactive VMs use together.
INACTIVE_SLACK_SHARE = 0.1

_UNIT = 1_000_000  # budget of one retry; integers keep the bound exact

#: HTTP status returned to the caller for attempts without a usable response.
_HTTP_STATUSES = {
    AttemptStatus.ERROR: 502,
    AttemptStatus.SHED: 503,
    AttemptStatus.DRAINING: 503,
    AttemptStatus.CONNECT_FAILED: 503,
    AttemptStatus.TIMEOUT: 504,
    AttemptStatus.CUT: 502,
    AttemptStatus.EXPIRED: 503,
    AttemptStatus.CANCELLED: 499,
    AttemptStatus.MISDIRECTED: 503,
    AttemptStatus.SHORTAGE: 503,
    AttemptStatus.DENIED: 503,
}

#: Statuses after which no attempt at any server can succeed.
_FINAL_STATUSES = {
    AttemptStatus.CANCELLED,
    AttemptStatus.EXPIRED,
    AttemptStatus.SHORTAGE,
    AttemptStatus.DENIED,
}


class RetryBudget:
    """
    Limits retries to a share of the requests of this VM.

    For any number of requests there are at most ``share`` of that number plus
    ``MAX_SAVED_RETRIES`` retries.

    >>> budget = RetryBudget(0.1)
    >>> sum(budget.spend() for _ in range(20))
    10
    >>> for _ in range(20):
    ...     budget.add_request()
    >>> sum(budget.spend() for _ in range(20))
    2
    """

    def __init__(self, share):
        self._share = int(share * _UNIT + 0.5)
        self._left = MAX_SAVED_RETRIES * _UNIT

    @classmethod
    def from_config(cls, retries):
        """
        Return a full budget.

        :param retries: ``Retries`` of the configuration.
        :return: the budget; one for each VM.
        """
        return cls(retries.share)

    def add_request(self):
        """Count a request of a caller; retries are not counted."""
        self._left = min(MAX_SAVED_RETRIES * _UNIT, self._left + self._share)

    def spend(self):
        """Take one retry; return whether there was one."""
        if self._left < _UNIT:
            return False
        self._left -= _UNIT
        return True


def compute_slack_share(active, inactive):
    """
    Return one VM's part of the fleet's slack.

    All inactive VMs share a small part of it, since callers' requests still reach them;
    the active ones share the rest.

    :param active: number of active VMs of the fleet.
    :param inactive: number of inactive VMs for one of them, 0 for an active VM.

    >>> compute_slack_share(9, 0), compute_slack_share(9, 20)
    (0.1, 0.005)
    """
    if inactive:
        return INACTIVE_SLACK_SHARE / inactive
    return (1 - INACTIVE_SLACK_SHARE) / active


class WindowedRetryBudget:
    """
    One VM's part of the retries and hedges that a fleet may make in any window.

    Over any window they are at most ``share`` of the VM's requests plus ``slack``.

    :param slack: attempts in a window that do not depend on the requests; half of them
        may accumulate, the other half is refilled evenly over the window.
    :param window_s: length of the window in seconds.

    >>> from lavendermast.clock import ManualClock
    >>> clock = ManualClock()
    >>> budget = WindowedRetryBudget(0.1, 4, 10.0, clock)
    >>> sum(budget.spend() for _ in range(9))
    2
    >>> clock.advance(5.0)
    >>> sum(budget.spend() for _ in range(9))
    1
    """

    def __init__(self, share, slack, window_s, clock):
        self._clock = clock
        # With a small part of the slack, the first attempt has to be saved up.
        self._left = slack / 2
        self._refilled_at = clock.monotonic()
        self.set_limits(share, slack, window_s)

    def set_limits(self, share, slack, window_s):
        """Set this VM's part of the fleet's limits; what is left is not refilled."""
        self._share = share
        self._capacity = max(slack / 2, 1.0)
        self._rate = slack / 2 / window_s
        self._left = min(self._left, self._capacity)

    def add_request(self):
        """Count a request of a caller; retries are not counted."""
        self._left = min(self._capacity, self._left + self._share)

    def can_spend(self, kept_share=0.0):
        """
        Refill the budget and return whether an attempt is available.

        :param kept_share: part of what may be saved that has to be left for others.
        """
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._left = min(self._capacity, self._left + refill)
        self._refilled_at = now
        return self._left >= 1.0 + kept_share * (self._capacity - 1.0)

    def spend(self, kept_share=0.0):
        """Take one attempt; return whether there was one, see :meth:`can_spend`."""
        if not self.can_spend(kept_share):
            return False
        self._left -= 1.0
        return True


@attrs.frozen
class RetryContext:
    """
    Facts about a request that decide whether it is retried.

    :param idempotent: whether running it twice is harmless.
    :param keyed: whether the request has an idempotency key and this VM's ledger
        prevents a second run.
    :param deadline: monotonic time after which no attempt is started.
    :param may_have_run: whether an earlier attempt or submission may have run.
    :param refuse_by: monotonic time by which a refusal has to be sent, from the
        admission ticket; infinite outside an overload.
    :param arrived_at: monotonic time of arrival, which bounds refusals of shed requests
        also before an overload is detected.
    """

    idempotent: bool
    keyed: bool
    deadline: float
    may_have_run: bool = False
    refuse_by: float = math.inf
    arrived_at: float = math.inf


@attrs.frozen
class Decision:
    """
    The decision after an attempt.

    :param retry: whether to try another server; if so, the caller gets none of the
        other fields.
    :param may_have_run: whether an attempt may have run, for the ``RetryContext`` of
        the next attempt.
    :param outcome: the outcome reported to the caller.
    :param status: HTTP status for the caller; 0 when its response has begun and its
        connection has to be closed instead.
    :param reason: text of ``Lavendermast-Reason``.
    :param detail: why there is no retry, for the log.
    """

    retry: bool
    may_have_run: bool
    outcome: Outcome
    status: int
    reason: str
    detail: str = ""


class RetryPolicy:
    """
    Decides between a retry and an outcome.

    :param budget: the VM's retry budget.
    :param max_attempts: attempts for one request, the first included.
    :param clock: source of time.
    """

    def __init__(self, budget, max_attempts, clock):
        self._budget = budget
        self._max_attempts = max_attempts
        self._clock = clock

    @classmethod
    def from_config(cls, retries, budget, clock):
        """
        Return a policy with the configured number of attempts.

        :param retries: ``Retries`` of the configuration.
        :param budget: the VM's budget, which outlives configurations.
        :param clock: source of time.
        :return: the policy.
        """
        return cls(budget, retries.max_attempts, clock)

    def decide(self, context, result, attempts, bytes_sent=0):
        """
        Decide how a request continues after an attempt.

        :param context: ``RetryContext`` before this attempt.
        :param result: the attempt's ``AttemptResult``.
        :param attempts: attempts so far, this one included.
        :param bytes_sent: bytes of the response that were sent to the caller.
        :return: a ``Decision``.
        """
        if result.status is AttemptStatus.OK:
            return Decision(False, True, Outcome.ANSWERED, result.http_status, "ok")
        # If bytes were sent to the caller, a server has run the request.
        ran = context.may_have_run or result.ran or bytes_sent > 0
        stop_reason = self._find_stop_reason(context, result, ran, attempts, bytes_sent)
        reason = result.status.value.replace("_", "-")
        status = 0 if bytes_sent else _HTTP_STATUSES[result.status]
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        return Decision(not stop_reason, ran, outcome, status, reason, stop_reason)

    def _find_stop_reason(self, context, result, ran, attempts, bytes_sent):
        """
        Return why there is no retry, or an empty string.

        A retry spends budget unless the server shed the request.
        """
        if bytes_sent:
            return "answer-begun"
        if result.status in _FINAL_STATUSES:
            return result.status.value
        if not context.idempotent and ran:
            return "may-have-run"
        if not context.idempotent and not context.keyed:
            return "no-key"
        if attempts >= self._max_attempts:
            return "attempts"
        now = self._clock.monotonic()
        if now >= context.deadline:
            return "deadline"
        # The next server may be in a farther region; if it sheds too, the refusal could
        # be late.
        shed_by = now + max(result.latency, SHED_RESPONSE_TIME_S)
        refuse_by = context.refuse_by
        if result.status is AttemptStatus.SHED:
            refuse_by = min(refuse_by, context.arrived_at + REFUSAL_BOUND_S)
        if not ran and now <= refuse_by < shed_by:
            return "refusal-due"
        # A server sheds in well under a millisecond and nothing ran, so the limits on
        # attempts and on the time of a refusal suffice. When sheds counted against the
        # budget, 5.3% of the short requests were refused at half load
        # (docs/admission.md).
        if result.status is AttemptStatus.SHED:
            return ""
        return "" if self._budget.spend() else "budget"


class RetryController:
    """Holds the retry budget and policy; both change only with the retry settings."""

    def __init__(self, clock):
        self._clock = clock
        self._budget = None
        self._settings = None
        self.policy = None

    def apply_config(self, config):
        """Apply the retry settings of a new configuration."""
        if config.retries == self._settings:
            return
        self._settings = config.retries
        self._budget = RetryBudget.from_config(config.retries)
        self.policy = RetryPolicy.from_config(config.retries, self._budget, self._clock)

    def add_request(self):
        """Count a request of a caller."""
        self._budget.add_request()
