"""Health probes of the servers that this VM judges."""

import attrs
import urllib3

from .evidence import choose_judges
from .hashing import compute_score

#: With 3 judges and 25 ms a probe, probing takes 1.5% of one slot of a server.
PROBE_INTERVAL_S = 5.0
PROBE_TIMEOUT_S = 1.0
#: Most connections kept open, one to each server; a new one costs the server 1 ms.
MAX_PROBED_SERVERS = 1_000
HEALTH_PATH = "/health"
_STATES = frozenset({"ok", "cold", "draining"})


@attrs.frozen
class ProbeResult:
    """
    Result of a health probe.

    :param state: ``ok``, ``cold``, ``draining``, or ``dead`` without a valid response.
    :param load: share of busy slots that the server reported, or ``None``.
    """

    service: str
    server: str
    state: str
    load: float | None = None
    detail: str = ""


def build_fetch(timeout=PROBE_TIMEOUT_S):
    """
    Return a callable that fetches a server's health over HTTP.

    :param timeout: seconds until the probe fails.
    :return: takes a ``Server`` and returns the decoded JSON response; raises
        ``urllib3.exceptions.HTTPError`` or ``ValueError``.
    """
    pool = urllib3.PoolManager(
        num_pools=MAX_PROBED_SERVERS, timeout=timeout, retries=False
    )

    def fetch(server):
        response = pool.request("GET", f"http://{server.address}{HEALTH_PATH}")
        return response.json()

    return fetch


class ProbeScheduler:
    """
    Schedules this VM's probes of the servers that it judges, and runs them.

    :param vm: name of this VM.
    :param fetch: takes a ``Server`` and returns the decoded response or raises.
    """

    def __init__(self, vm, clock, fetch=None):
        self._vm = vm
        self._clock = clock
        self._fetch = fetch or build_fetch()
        self._due = {}
        self._servers = {}

    def replace_servers(self, service, servers, members):
        """
        Set a service's servers and the VMs that serve it.

        :param members: objects with ``vm`` and ``zone``.
        """
        now = self._clock.monotonic()
        judged = {
            (service, server.name): server
            for server in servers
            if self._vm in choose_judges(service, server.name, members)
        }
        for key in [k for k in self._servers if k[0] == service and k not in judged]:
            del self._servers[key], self._due[key]
        for key, server in judged.items():
            self._servers[key] = server
            # The phase spreads the probes of the three judges over the interval.
            phase = compute_score("/".join(key), self._vm) % 1000 / 1000
            self._due.setdefault(key, now + phase * PROBE_INTERVAL_S)

    def take_due(self):
        """Return the servers whose probe is due, and schedule the next one."""
        now = self._clock.monotonic()
        due = [key for key, moment in self._due.items() if moment <= now]
        for key in due:
            self._due[key] = now + PROBE_INTERVAL_S
        return [self._servers[key] for key in due]

    def probe(self, server):
        """
        Probe one server.

        :return: a ``ProbeResult``; failures are reported as ``dead``, never raised.
        """
        try:
            return _parse_health_response(server, self._fetch(server))
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            detail = f"{type(error).__name__}: {error}"
            return ProbeResult(server.service, server.name, "dead", detail=detail)


def _parse_health_response(server, payload):
    if not isinstance(payload, dict) or payload.get("state") not in _STATES:
        raise ValueError("health endpoint returned no known state")
    busy, slots = payload.get("busy"), payload.get("slots")
    load = None
    if isinstance(busy, int) and isinstance(slots, int) and slots > 0:
        load = busy / slots
    return ProbeResult(server.service, server.name, payload["state"], load)
