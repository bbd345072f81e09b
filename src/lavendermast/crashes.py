"""
Requests that may crash the servers that run them.

A crash takes all requests of a server with it, so each of them is a suspect. A request
that was in flight in several crashes, and never answered in between, is held.
"""

import collections

import attrs

#: A request that was in flight in this many crashes is held: it is refused at once.
MAX_CRASHES = 3
#: One that was in flight in this many is not tried again by the same VM. One crash is
#: no reason, since most suspects are innocent.
MAX_CRASHES_FOR_RETRY = 1
#: A request is held for this long after its last crash, twice as long after each
#: further time, at most MAX_HOLD_S.
HOLD_S = 60.0
MAX_HOLD_S = 960.0
#: Suspicion ends this long after the last crash or the end of the last hold.
SUSPICION_S = 120.0
MAX_SUSPECTS = 4096


@attrs.frozen
class ServerRun:
    """
    One run of a server, between a start and the next.

    :param started_unix_ms: its start time; a server may restart under the same name.
    """

    server: str
    started_unix_ms: int

    @classmethod
    def from_listed(cls, listed):
        """Return the present run of a ``ListedServer``."""
        return cls(listed.server.name, listed.record.started_unix_ms)


@attrs.define(eq=False)
class _Suspect:
    """
    A request that was in flight when servers crashed; times are monotonic.

    :param crashed_runs: the ``ServerRun`` of each of these crashes.
    :param hold_s: duration of the last hold, 0.0 before the first.
    """

    last_crash_at: float
    crashed_runs: set = attrs.Factory(set)
    held_until: float = 0.0
    hold_s: float = 0.0


class CrashTracker:
    """
    Counts the crashes in which requests were in flight, at all VMs together.

    Crashes are told apart by the run of the server, so that reports of several VMs on
    one crash count once.

    >>> from lavendermast.clock import ManualClock
    >>> tracker = CrashTracker(ManualClock(10.0), lambda event, **fields: None)
    >>> for number in range(3):
    ...     tracker.add_crash(ServerRun(f"s{number}", 0), b"x", "vm-1")
    >>> tracker.get_hold_s(b"x")
    60.0
    """

    def __init__(self, clock, record_event):
        self._clock = clock
        self._record_event = record_event
        self._suspects = collections.OrderedDict()

    def __bool__(self):
        """Whether any request is suspected."""
        return bool(self._suspects)

    def add_crash(self, run, fingerprint, source):
        """
        Record that a request was in flight when a server crashed.

        :param run: the ``ServerRun`` that ended.
        :param source: name of the VM that observed it.
        """
        now = self._clock.monotonic()
        suspect = self._find(fingerprint, now)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect(now)
        if run in suspect.crashed_runs:
            return
        suspect.crashed_runs.add(run)
        suspect.last_crash_at = now
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if len(suspect.crashed_runs) >= MAX_CRASHES:
            self._hold(suspect, fingerprint, now, source)

    def clear(self, fingerprint):
        """
        Record that a server answered a request whole.

        :return: whether the request was suspected.
        """
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return False
        self._record_event(
            "suspect_cleared",
            fingerprint=fingerprint.hex(),
            crashes=len(suspect.crashed_runs),
        )
        return True

    def get_hold_s(self, fingerprint):
        """Return the seconds for which a request is still held, 0 if it is not."""
        now = self._clock.monotonic()
        suspect = self._find(fingerprint, now)
        return max(suspect.held_until - now, 0.0) if suspect else 0.0

    def is_suspect(self, fingerprint):
        """Return whether a request was in flight when a server crashed."""
        return self._find(fingerprint, self._clock.monotonic()) is not None

    def may_retry(self, fingerprint):
        """Return whether a VM may make a further attempt for a request by itself."""
        suspect = self._find(fingerprint, self._clock.monotonic())
        return suspect is None or len(suspect.crashed_runs) <= MAX_CRASHES_FOR_RETRY

    def find_held(self):
        """Return fingerprint and crashed runs of each held request."""
        now = self._clock.monotonic()
        return [
            (fingerprint, suspect.crashed_runs)
            for fingerprint, suspect in self._suspects.items()
            if suspect.held_until > now
        ]

    def count(self):
        """Return the number of suspects and of held requests."""
        return len(self._suspects), len(self.find_held())

    def expire(self):
        """Remove suspects whose last crash is long ago."""
        now = self._clock.monotonic()
        for fingerprint in list(self._suspects):
            self._find(fingerprint, now)

    def _find(self, fingerprint, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        if now < max(suspect.last_crash_at, suspect.held_until) + SUSPICION_S:
            return suspect
        del self._suspects[fingerprint]
        return None

    def _hold(self, suspect, fingerprint, now, source):
        if suspect.held_until > now:
            # A server that crashed under an attempt from before the hold.
            suspect.held_until = now + suspect.hold_s
            return
        suspect.hold_s = min(max(2 * suspect.hold_s, HOLD_S), MAX_HOLD_S)
        suspect.held_until = now + suspect.hold_s
        self._record_event(
            "request_held",
            fingerprint=fingerprint.hex(),
            crashes=len(suspect.crashed_runs),
            servers=",".join(sorted(run.server for run in suspect.crashed_runs)),
            hold_s=suspect.hold_s,
            source=source,
        )
