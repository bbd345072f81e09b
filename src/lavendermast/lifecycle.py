"""Start rule and pause detection of one process."""

#: A timer that is late by more than this shows that the process was paused.
PAUSE_S = 2.0


class PauseDetector:
    """
    Finds out from a periodic timer how long the process did not run.

    :param interval: seconds between two calls of :meth:`check`.
    """

    def __init__(self, clock, interval, record_event):
        self._clock = clock
        self._interval = interval
        self._record_event = record_event
        self._expected = None
        self.on_pause = []

    def check(self):
        """
        Return the seconds by which this call is late; call it at each timer tick.

        A pause is recorded and passed to the ``on_pause`` callbacks.
        """
        now = self._clock.monotonic()
        late = max(0.0, now - self._expected) if self._expected is not None else 0.0
        self._expected = now + self._interval
        if late > PAUSE_S:
            self._record_event("paused", seconds=round(late, 3))
            for callback in self.on_pause:
                callback(late)
        return late
