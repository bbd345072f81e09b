"""Memory of this process for bodies of requests and responses."""

#: Memory of a process without bodies, its connections included.
BASE_BYTES = 64_000_000
#: Share of the memory beyond that which bodies may take. The rest is for copies while
#: bodies are sent, and for what the allocator does not return.
BODY_SHARE = 0.6
#: Limit of a process for which the settings name none.
DEFAULT_LIMIT_MB = 200


class MemoryBudget:
    """
    Hands out memory for bodies, so that all of them together stay within a bound.

    :param max_bytes: bytes of all bodies together.

    >>> budget = MemoryBudget(10)
    >>> first, second = budget.open(), budget.open()
    >>> first.grow(7), second.grow(7)
    (True, False)
    >>> first.release()
    >>> second.grow(7)
    True
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.refusals = 0

    @classmethod
    def from_settings(cls, settings):
        """Return a budget for the memory limit in the settings."""
        limit_mb = settings.max_memory_mb or DEFAULT_LIMIT_MB
        spare_bytes = max(limit_mb * 1_000_000 - BASE_BYTES, BASE_BYTES / 4)
        return cls(int(spare_bytes * BODY_SHARE))

    def open(self):
        """Return an empty :class:`Reservation`."""
        return Reservation(self)


class Reservation:
    """The memory of one request: its body and what its attempts hold of responses."""

    def __init__(self, budget):
        self._budget = budget
        self._bytes = 0
        self._released = False

    def grow(self, count):
        """
        Reserve further bytes.

        :return: whether that many were left; none are once the request has ended, which
            a cancelled attempt may outlast.
        """
        if self._released:
            return False
        if self.grow_within(count, 1.0):
            return True
        self._budget.refusals += 1
        return False

    def grow_within(self, count, share):
        """
        Reserve further bytes that the request can do without.

        :param share: part of the memory of all bodies that may be in use afterwards.
        :return: whether that many were left; see :meth:`grow`.
        """
        used_bytes = self._budget.used_bytes + count
        if self._released or used_bytes > self._budget.max_bytes * share:
            return False
        self._budget.used_bytes = used_bytes
        self._bytes += count
        return True

    def shrink(self, count):
        """Return bytes that are no longer held; none are once the request has ended."""
        if self._released:
            return
        self._budget.used_bytes -= count
        self._bytes -= count

    def release(self):
        """Return all bytes for good."""
        self._released = True
        self._budget.used_bytes -= self._bytes
        self._bytes = 0
