"""Rebuilds the trace of one request from the logs of many VMs."""

import attrs

from .loglines import REQUEST_EVENTS, get_number
from .models import NOT_RUN_STATUSES
from .timeline import convert_time

_NOT_RUN = frozenset(status.value for status in NOT_RUN_STATUSES)


@attrs.frozen
class Issue:
    """
    An inconsistency or uncertainty in the reconstruction of an incident.

    :param kind: ``disagreement`` (the logs against a caller's record),
        ``contradiction`` (the logs against each other) or ``unknown`` (the logs are
        not sufficient to tell).
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
class RequestTrace:
    """
    All log lines and callers' records of one request.

    :param lines: the log lines of all VMs, sorted by corrected time.
    :param response_line: the ``request`` line of the VM that answered the caller.
    :param ejections: the ejections in force when a server was chosen.
    :param handovers: the handovers that moved the key from the VM named in its token
        to a successor.
    """

    request: str
    lines: list
    callers: list
    response_line: Line | None = None
    ejections: list = attrs.Factory(list)
    handovers: list = attrs.Factory(list)
    issues: list = attrs.Factory(list)

    @classmethod
    def from_lines(cls, request, lines, callers, timeline):
        """Build the trace of a request from log lines and callers' records."""
        lines = sorted(lines, key=lambda line: (line.time, REQUEST_EVENTS[line.event]))
        trace = cls(request, lines, callers)
        trace.response_line = trace._find_response_line()
        seen = {}
        for line in trace.select("decision"):
            service = line.fields.get("service") or ""
            for ejection in timeline.find_ejections(line.vm, service, line.time):
                seen.setdefault(ejection)
        trace.ejections = list(seen)
        for line in trace.select("forwarded"):
            owner = line.fields.get("owner")
            if owner != line.vm and trace.select("request", owner):
                continue
            new_handovers = timeline.find_handovers(owner, line.time)
            trace.handovers += [
                item for item in new_handovers if item not in trace.handovers
            ]
        return trace

    def select(self, event, vm=None):
        """Return the lines of one event, of one VM or of all VMs."""
        return [
            line for line in self.lines if line.event == event and vm in (None, line.vm)
        ]

    def _find_response_line(self):
        request_lines = self.select("request")
        sending_vms = {line.vm for line in self.select("forwarded")}
        caller_vms = {record.vm for record in self.callers} - {""}
        # If the sender's line is missing, the owner's must not be taken instead.
        vms = sending_vms or caller_vms or {line.vm for line in request_lines}
        response_lines = [line for line in request_lines if line.vm in vms]
        return min(response_lines, key=get_arrival, default=None)

    def list_owners(self, forwarded):
        """Return the VMs that may have received a forwarded request."""
        owners = [forwarded.fields.get("owner")]
        owners += [item.successor for item in self.handovers]
        # A restarted VM forwards the keys of its previous process to the successor.
        return [vm for vm in dict.fromkeys(owners) if vm != forwarded.vm]

    def get_field(self, name):
        """Return a field of the response line, or of the first line that has it."""
        lines = [self.response_line] if self.response_line else []
        for line in lines + self.lines:
            if line.fields.get(name) is not None:
                return line.fields[name]
        return None

    def get_servers(self):
        """Return the names of all servers that occur in the trace."""
        return {line.fields.get("server") for line in self.lines} - {None}

    def get_start(self):
        """Return the time when the request was received, or the best estimate."""
        if self.response_line is not None:
            return get_arrival(self.response_line)
        if self.lines:
            return self.lines[0].time
        times = [record.sent_at for record in self.callers if record.sent_at]
        return min(times, default=None)

    def count_possible_runs(self):
        """Return how many attempts may have run on a server."""
        return sum(may_have_run(line) for line in self.select("attempt"))


def may_have_run(attempt):
    """Return whether the server may have executed the attempt of this line."""
    return attempt.fields.get("status") not in _NOT_RUN


def get_arrival(line):
    """Return the time when the request of a ``request`` line was received."""
    return line.time - (get_number(line.fields, "latency_ms") or 0) / 1000


def get_deadline(line):
    """Return the deadline in a line, in Unix seconds."""
    return convert_time(get_number(line.fields, "deadline"))
