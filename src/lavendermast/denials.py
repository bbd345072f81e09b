"""Decides which requests get no further attempt, whatever server is free."""

import enum
import math

#: Value of ``Retry-After`` for requests that did not run, unless it is known when to
#: return.
RETRY_AFTER_S = 0.5
#: ``Retry-After`` of a stopping VM; the caller should retry on another one.
STOPPING_RETRY_S = 0.1


class Denial(enum.Enum):
    """Why a request gets no attempt; the values are reasons in replies and logs."""

    STOPPING = "stopping"
    CRASHES = "crashes-servers"
    SHORTAGE = "shortage"
    KEYS_UNCONFIRMED = "keys-unconfirmed"


class DenialRules:
    """
    Denies attempts that a stopping VM could not end, or that crash servers.

    An attempt for which the VM lacks descriptors ends a request as well, since it lacks
    them for any server.

    :param crashes: ``CrashSharing`` that tells which requests crash servers.
    :param is_refusing: function that returns whether this VM stops so soon that it may
        not get the response of a server any more.
    :param is_authorized: function that returns whether the key of a request is still in
        force.
    """

    def __init__(self, crashes, is_refusing, is_authorized=lambda request: True):
        self._crashes = crashes
        self._is_refusing = is_refusing
        self._is_authorized = is_authorized

    def find(self, request, may_have_run, has_arrived):
        """
        Return the ``Denial`` of a request's next attempt, or ``None``.

        :param may_have_run: whether an attempt ran, may have run or is in flight.
        :param has_arrived: whether an attempt reached a server or is in flight.
        """
        if self._is_refusing() and not may_have_run:
            return Denial.STOPPING
        if not self._is_authorized(request):
            return Denial.KEYS_UNCONFIRMED
        if has_arrived:
            may_send = self._crashes.may_retry(request)
        else:
            may_send = not self._crashes.get_hold_s(request)
        return None if may_send else Denial.CRASHES

    def plan_return(self, request, denial):
        """Return the seconds after which a denied request may be sent again."""
        if denial is Denial.STOPPING:
            return STOPPING_RETRY_S
        if denial in (Denial.SHORTAGE, Denial.KEYS_UNCONFIRMED):
            return RETRY_AFTER_S
        return max(math.ceil(self._crashes.get_hold_s(request)), RETRY_AFTER_S)
