"""Sources of time that tests can replace to run without waiting."""

import abc
import time

import eventlet


class Clock(abc.ABC):
    """Source of monotonic and Unix time, in seconds."""

    @abc.abstractmethod
    def monotonic(self):
        """Return seconds on a clock that never goes back."""

    def elapsed(self):
        """Return seconds on a clock that also counts while the machine is suspended."""
        return self.monotonic()

    @abc.abstractmethod
    def time(self):
        """Return seconds since the Unix epoch."""

    @abc.abstractmethod
    def sleep(self, seconds):
        """Suspend the calling task for a number of seconds."""

    def get_unix_ms(self):
        """Return milliseconds since the Unix epoch as an integer."""
        return int(self.time() * 1000)

    def convert_unix_ms(self, unix_ms):
        """Return the monotonic time at which Unix time reaches ``unix_ms``."""
        return self.monotonic() + unix_ms / 1000 - self.time()


class SystemClock(Clock):
    """The system clock."""

    monotonic = staticmethod(time.monotonic)
    time = staticmethod(time.time)

    def elapsed(self):
        """Return the seconds since the machine started, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds):
        """Suspend the calling green thread."""
        eventlet.sleep(seconds)


class ManualClock(Clock):
    """
    A clock that moves only when ``advance`` or ``sleep`` is called.

    :param start: first monotonic time, in seconds.
    :param epoch: Unix time at ``start``, in seconds.

    >>> clock = ManualClock()
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    2.5
    """

    def __init__(self, start=0.0, epoch=1_700_000_000.0):
        self._now = start
        self._epoch = epoch - start

    def monotonic(self):
        """Return the manual time."""
        return self._now

    def time(self):
        """Return the manual time as Unix time."""
        return self._epoch + self._now

    def sleep(self, seconds):
        """Advance the clock."""
        self.advance(seconds)

    def advance(self, seconds):
        """
        Move the clock forward.

        :param seconds: seconds to add.
        """
        self._now += seconds
