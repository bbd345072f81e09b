"""State of a request while its attempts run, and the outcomes of attempts."""

import attrs
from eventlet.queue import LightQueue

from lavendermast.admission import OpenPass
from lavendermast.crashes import ServerRun
from lavendermast.denials import Denial
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.suspicion import AttemptOutcome
from lavendermast.upstream import Cancellation

#: A 504 with less than this time left until this VM's deadline means that the server's
#: own deadline passed, which is up to one network delay between regions earlier.
EXPIRY_MARGIN_S = 0.1
#: Outcomes of statuses that are evidence by themselves. All others count as abandoned:
#: only the attempt's age is evidence.
_ATTEMPT_OUTCOMES = {
    AttemptStatus.OK: AttemptOutcome.SUCCEEDED,
    AttemptStatus.ERROR: AttemptOutcome.ERROR,
    AttemptStatus.CUT: AttemptOutcome.FAILED,
    AttemptStatus.CONNECT_FAILED: AttemptOutcome.FAILED,
}


@attrs.define(eq=False)
class RunningAttempt:
    """
    An attempt in flight at a run of a server.

    :param has_begun: whether its task has started.
    """

    server: object
    run: ServerRun
    number: int
    started: float
    cancellation: Cancellation
    evidence_attempt: object
    has_begun: bool = False

    def withdraw(self):
        """Cancel it; return whether it certainly sent nothing and never will."""
        is_unsent = not self.has_begun or self.cancellation.unsent
        self.cancellation.cancel()
        return is_unsent


@attrs.define(eq=False)
class RequestState:
    """State of a request while its attempts run."""

    request: object
    route: object
    service: str
    admission: OpenPass = attrs.Factory(OpenPass)
    results: LightQueue = attrs.Factory(LightQueue)
    running: dict = attrs.Factory(dict)
    excluded: set = attrs.Factory(set)
    attempts: int = 0
    not_run_attempts: int = 0
    may_have_run: bool = False
    has_arrived: bool = False
    awaits_evidence: bool = False
    wait_logged: bool = False
    denial_logged: bool = False
    denial: Denial | None = None
    failure: AttemptResult | None = None

    @property
    def possible_runs(self):
        """Number of attempts that ran, may have run or are in flight."""
        return self.attempts - self.not_run_attempts

    @property
    def may_run_again(self):
        """Whether the request may run at another server."""
        return self.route.idempotent and self.possible_runs < self.route.max_attempts


def classify_attempt(result, left):
    """
    Return the :class:`~lavendermast.suspicion.AttemptOutcome` of an attempt.

    A route's timeout may be too short for healthy servers too. An attempt that reached
    its deadline therefore counts as abandoned, and only its age is evidence.

    :param left: seconds until the request's deadline.
    """
    if result.http_status == 504 and left < EXPIRY_MARGIN_S:
        return AttemptOutcome.ABANDONED
    return _ATTEMPT_OUTCOMES.get(result.status, AttemptOutcome.ABANDONED)
