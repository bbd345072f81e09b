"""Estimates this VM's share of the attempts at the servers of a service."""

import math

#: Time constant of the counts. Reports take up to 0.1 s; shorter counts would follow
#: single attempts where a VM makes a few of them per second.
SHARE_TIME_S = 2.0
#: A VM that has reported nothing for this time does not count any more.
SENDER_TIMEOUT_S = 5.0


class DecayingCount:
    """
    A count whose entries lose their weight over time.

    :param time_s: time in which an entry loses 63% of its weight.
    """

    def __init__(self, time_s):
        self._time_s = time_s
        self._value = 0.0
        self._at = 0.0

    @property
    def last_at(self):
        """Time of the last event, 0.0 before the first."""
        return self._at

    def add(self, now):
        """Count one event."""
        self._value = self.get(now) + 1.0
        self._at = now

    def get(self, now):
        """Return the count."""
        return self._value * math.exp((self._at - now) / self._time_s)

    def get_rate(self, now):
        """Return the events per second."""
        return self.get(now) / self._time_s


class AttemptShare:
    """
    This VM's share, from its own attempts and those that others reported.

    Each VM counts one attempt besides, so that a VM that had none yet gets a share.

    >>> share = AttemptShare()
    >>> share.add("", 1.0)
    >>> share.get(1.0)
    1.0
    >>> share.add("vm-2", 1.0)
    >>> share.get(1.0)
    0.5
    """

    def __init__(self):
        self._own = DecayingCount(SHARE_TIME_S)
        self._others = DecayingCount(SHARE_TIME_S)
        self._senders = {}

    def add(self, sender, now):
        """Count an attempt; ``sender`` is empty for this VM's own."""
        if not sender:
            self._own.add(now)
            return
        self._others.add(now)
        self._senders[sender] = now

    def get(self, now):
        """Return the share, 1.0 while no other VM reports attempts."""
        for sender, seen_at in list(self._senders.items()):
            if seen_at < now - SENDER_TIMEOUT_S:
                del self._senders[sender]
        own = self._own.get(now) + 1.0
        others = len(self._senders)
        return own / (own + self._others.get(now) + others) if others else 1.0
