"""The story of one request, rebuilt from the logs of many VMs."""

import attrs

from .loglines import REQUEST_EVENTS, get_number
from .models import NOT_RUN_STATUSES
from .timeline import convert_time

_NOT_RUN = frozenset(status.value for status in NOT_RUN_STATUSES)


@attrs.frozen
class Issue:
    """
    Something that an analyst must know about an account.

    :param kind: ``disagreement`` (account and caller), ``contradiction`` (inside the
        account) or ``unknown`` (cannot be known from these logs).
    """

    kind: str
    request: str
    vm: str
    text: str


@attrs.frozen
class Line:
    """A log line with its time corrected for the VM's clock."""

    time: float
    vm: str
    fields: dict

    @property
    def event(self):
        """Name of the event."""
        return self.fields["event"]


@attrs.define
class Story:
    """
    What is known about one request.

    :param lines: its lines of all VMs in the order of corrected time.
    :param told: the ``request`` line of the VM that answered the caller.
    :param ejections: ejections in force when a server was chosen.
    :param handovers: by which the key moved from its token's VM to a successor.
    """

    request: str
    lines: list
    callers: list
    told: Line | None = None
    ejections: list = attrs.Factory(list)
    handovers: list = attrs.Factory(list)
    issues: list = attrs.Factory(list)

    @classmethod
    def from_lines(cls, request, lines, callers, timeline):
        """Return the story in log lines and callers' records."""
        lines = sorted(lines, key=lambda line: (line.time, REQUEST_EVENTS[line.event]))
        story = cls(request, lines, callers)
        story.told = story._find_told()
        seen = {}
        for line in story.select("decision"):
            service = line.fields.get("service") or ""
            for ejection in timeline.find_ejections(line.vm, service, line.time):
                seen.setdefault(ejection)
        story.ejections = list(seen)
        for line in story.select("forwarded"):
            owner = line.fields.get("owner")
            if owner != line.vm and story.select("request", owner):
                continue
            moved = timeline.find_handovers(owner, line.time)
            story.handovers += [item for item in moved if item not in story.handovers]
        return story

    def select(self, event, vm=None):
        """Return the lines of one event, of one VM or of all."""
        return [
            line for line in self.lines if line.event == event and vm in (None, line.vm)
        ]

    def _find_told(self):
        ends = self.select("request")
        senders = {line.vm for line in self.select("forwarded")}
        named = {record.vm for record in self.callers} - {""}
        # The owner's line must not stand for the sender's when that one is missing.
        vms = senders or named or {line.vm for line in ends}
        told = [line for line in ends if line.vm in vms]
        return min(told, key=get_arrival, default=None)

    def list_owners(self, forwarded):
        """Return the VMs that may have received a forwarded request."""
        owners = [forwarded.fields.get("owner")]
        owners += [item.successor for item in self.handovers]
        # A VM that started again forwards the keys of its earlier process.
        return [vm for vm in dict.fromkeys(owners) if vm != forwarded.vm]

    def get_field(self, name):
        """Return a field of the told line, or of the first line that has it."""
        lines = [self.told] if self.told else []
        for line in lines + self.lines:
            if line.fields.get(name) is not None:
                return line.fields[name]
        return None

    def get_servers(self):
        """Return the names of all servers that the story names."""
        return {line.fields.get("server") for line in self.lines} - {None}

    def get_start(self):
        """Return the time at which the request was received, as far as known."""
        if self.told is not None:
            return get_arrival(self.told)
        if self.lines:
            return self.lines[0].time
        times = [record.sent_at for record in self.callers if record.sent_at]
        return min(times, default=None)

    def count_possible_runs(self):
        """Return how many attempts may have run on a server."""
        return sum(may_have_run(line) for line in self.select("attempt"))


def may_have_run(attempt):
    """Return whether an ``attempt`` line leaves open that the server worked."""
    return attempt.fields.get("status") not in _NOT_RUN


def get_arrival(line):
    """Return the time at which the request of a ``request`` line was received."""
    return line.time - (get_number(line.fields, "latency_ms") or 0) / 1000


def get_deadline(line):
    """Return the deadline in a line, in Unix seconds."""
    return convert_time(get_number(line.fields, "deadline"))
