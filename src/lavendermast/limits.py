"""Limit on the requests that this VM has in flight at one server."""

from .models import AttemptStatus

#: A request may always start when none is in flight, so a limit below one takes effect
#: only through the pause, which is the mean latency divided by the limit.
MIN_LIMIT = 0.05
#: Factor applied to the limit after a shed response or a timeout.
DECREASE_FACTOR = 0.5
#: Bounds of the pause after a shed response, before jitter. With a pause of up to
#: 0.5 s, a spike filled 90.5% of the slots instead of 92.0% (docs/admission.md).
MIN_PAUSE_S = 0.005
MAX_PAUSE_S = 0.1
#: Weight of the newest latency in the moving average.
LATENCY_GAIN = 0.2


class ConcurrencyLimit:
    """
    Additive increase, multiplicative decrease limit on requests in flight.

    The limit starts at its maximum and never exceeds it, so that a VM that is the only
    client of a server uses all of its slots. When many VMs overload a server, it sheds
    requests; each VM then halves its limit and pauses for a random time that grows as
    its limit falls.

    :param maximum: largest limit.
    :param clock: source of time.
    :param random: source of the jitter that keeps VMs from retrying at the same time.

    >>> import random
    >>> from lavendermast.clock import ManualClock
    >>> limit = ConcurrencyLimit(6, ManualClock(), random.Random(1))
    >>> limit.has_room(5), limit.has_room(6)
    (True, False)
    """

    __slots__ = (
        "_clock",
        "_decreased_at",
        "_latency",
        "_random",
        "busy_until",
        "maximum",
        "value",
    )

    def __init__(self, maximum, clock, random):
        self.maximum = maximum
        self.value = float(maximum)
        self.busy_until = 0.0
        self._clock = clock
        self._random = random
        self._latency = 0.0
        self._decreased_at = float("-inf")

    @classmethod
    def from_config(cls, service, clock, random):
        """
        Return a limit bounded by a service's slots and connections.

        :param service: settings of the service.
        :param clock: source of time.
        :param random: source of jitter.
        :return: a limit whose maximum keeps all VMs within the server's connections.
        """
        share = service.connections // service.vms_per_service
        return cls(max(1, min(service.slots, share)), clock, random)

    @property
    def allowed(self):
        """Number of requests that may be in flight, regardless of pauses."""
        return max(1, int(self.value))

    def has_room(self, in_flight):
        """Return whether one more request may start, regardless of pauses."""
        return in_flight < self.value or in_flight == 0

    def record(self, result, in_flight):
        """
        Adjust the limit to the result of an attempt.

        :param result: the attempt's result.
        :param in_flight: requests in flight at the server, this one included.
        """
        if result.status is AttemptStatus.OK:
            self._increase(result.latency, in_flight)
        elif result.status in (AttemptStatus.SHED, AttemptStatus.TIMEOUT):
            self._decrease(result.status)

    def _increase(self, latency, in_flight):
        if self._latency:
            self._latency += LATENCY_GAIN * (latency - self._latency)
        else:
            self._latency = latency
        # Success below the limit does not show that a higher limit is sustainable.
        if in_flight + 1 >= self.value and self.value < self.maximum:
            step = 1.0 / max(1.0, self.value)
            self.value = min(float(self.maximum), self.value + step)

    def _decrease(self, status):
        now = self._clock.monotonic()
        # Failures of requests that were in flight together reduce the limit only once.
        if now - self._decreased_at >= min(self._latency, MAX_PAUSE_S):
            self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
            self._decreased_at = now
        if status is AttemptStatus.SHED:
            self.busy_until = max(self.busy_until, now + self._compute_pause())

    def _compute_pause(self):
        pause = max(MIN_PAUSE_S, self._latency) / max(self.value, MIN_LIMIT)
        return min(MAX_PAUSE_S, pause) * (0.5 + self._random.random())
