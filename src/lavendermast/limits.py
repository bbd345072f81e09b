"""Concurrency limit of one backend server as seen by this VM."""

from .models import AttemptStatus

#: A request may be started whenever nothing is in flight, so a limit below one acts
#: only through the pause, which is the mean latency divided by the limit.
MIN_LIMIT = 0.05
#: Share of the limit that a shed answer or timeout leaves.
DECREASE = 0.5
#: Bounds of the pause after a shed answer, in seconds, before jitter. A pause of up to
#: 0.5 s filled 90.5% of the slots in a spike instead of 92.0% (docs/admission.md).
MIN_PAUSE = 0.005
MAX_PAUSE = 0.1
#: Weight of the newest latency in the moving average.
LATENCY_GAIN = 0.2


class ConcurrencyLimit:
    """
    Additive increase, multiplicative decrease limit on requests in flight.

    The limit starts and ends at the number of slots, so a VM that is alone with a
    server uses all of them. Many VMs before one server meet in shed answers: each
    halves its limit and pauses for a random time that grows as its limit falls.

    :param maximum: largest limit.
    :param clock: source of time.
    :param random: source of the jitter that keeps VMs from returning together.

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
        """Requests that may be in flight now, pauses aside."""
        return max(1, int(self.value))

    def has_room(self, in_flight):
        """Return whether one more request may start, pauses aside."""
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
        # A limit that is not in use is no evidence that a higher one would hold.
        if in_flight + 1 >= self.value and self.value < self.maximum:
            step = 1.0 / max(1.0, self.value)
            self.value = min(float(self.maximum), self.value + step)

    def _decrease(self, status):
        now = self._clock.monotonic()
        # One burst in flight is one sign of congestion, so it counts once.
        if now - self._decreased_at >= min(self._latency, MAX_PAUSE):
            self.value = max(MIN_LIMIT, self.value * DECREASE)
            self._decreased_at = now
        if status is AttemptStatus.SHED:
            self.busy_until = max(self.busy_until, now + self._compute_pause())

    def _compute_pause(self):
        pause = max(MIN_PAUSE, self._latency) / max(self.value, MIN_LIMIT)
        return min(MAX_PAUSE, pause) * (0.5 + self._random.random())
