"""Follows the decision logs of a running fleet."""

import time

from lavendermast.loglines import parse_line


class EventWatch:
    """
    Collects selected log events from all daemons of a fleet.

    :param kinds: names of the events to keep.

    ``events`` maps each VM to its events in log order.
    """

    def __init__(self, fleet, kinds):
        self._fleet = fleet
        self._markers = tuple(f" event={kind} " for kind in kinds)
        self._offsets = {}
        self.events = {vm.name: [] for vm in fleet.vms}

    def refresh(self):
        """Read the complete log lines that were written since the last call."""
        for name, events in self.events.items():
            path = self._fleet.get_log(name)
            if not path.exists():
                continue
            with path.open("rb") as log:
                log.seek(self._offsets.get(name, 0))
                content = log.read()
            complete = content[: content.rfind(b"\n") + 1]
            self._offsets[name] = self._offsets.get(name, 0) + len(complete)
            for line in complete.decode().splitlines():
                if any(marker in line for marker in self._markers):
                    events.append(parse_line(line))

    def wait_for(self, condition, timeout, interval=0.03):
        """Refresh until a condition on this watch holds; return whether it did."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            self.refresh()
            if condition(self):
                return True
            time.sleep(interval)
        return False


def list_versions(events, document):
    """
    Return the document versions that a VM applied, as one list per process.

    >>> names = ("started", "config_accepted", "config_accepted", "started")
    >>> rows = [{"event": n, "document": "config", "version": "3"} for n in names]
    >>> list_versions(rows, "config")
    [[3, 3], []]
    """
    processes = []
    for event in events:
        if event["event"] == "started":
            processes.append([])
        elif event["event"] == "config_accepted" and event["document"] == document:
            processes[-1].append(int(event["version"]))
    return processes


def count_reversions(versions):
    """
    Return how often an applied version was followed by one that is not higher.

    >>> count_reversions([1, 2, 4, 3, 5])
    1
    """
    return sum(1 for a, b in zip(versions, versions[1:], strict=False) if b <= a)
