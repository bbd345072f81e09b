"""Probes of the servers that this VM judges."""

import attrs
import urllib3

from .evidence import choose_judges
from .hashing import compute_score

#: 3 judges, 25 ms each: 1.5% of one slot of a server.
PROBE_INTERVAL_S = 5.0
PROBE_TIMEOUT_S = 1.0
#: A new connection costs a server 1 ms, so one is kept to each probed server.
MAX_PROBED_SERVERS = 1_000
HEALTH_PATH = "/health"
_STATES = frozenset({"ok", "cold", "draining"})


@attrs.frozen
class ProbeResult:
    """
    What a health endpoint said.

    :param state: ``ok``, ``cold``, ``draining``, or ``dead`` without a valid answer.
    :param load: share of busy slots that the server claimed, or ``None``.
    """

    service: str
    server: str
    state: str
    load: float | None = None
    detail: str = ""


def build_fetch(timeout=PROBE_TIMEOUT_S):
    """
    Return a callable that fetches a server's health by HTTP.

    :param timeout: seconds until the probe fails.
    :return: takes a ``Server`` and returns the endpoint's JSON value; raises
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
    Decides when this VM probes which servers, and reads the answers.

    :param vm: name of this VM.
    :param fetch: takes a ``Server`` and returns the decoded answer or raises.
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
            # The phase spreads the three judges' probes over the interval.
            phase = compute_score("/".join(key), self._vm) % 1000 / 1000
            self._due.setdefault(key, now + phase * PROBE_INTERVAL_S)

    def take_due(self):
        """Return the servers to probe now and schedule their next probe."""
        now = self._clock.monotonic()
        due = [key for key, moment in self._due.items() if moment <= now]
        for key in due:
            self._due[key] = now + PROBE_INTERVAL_S
        return [self._servers[key] for key in due]

    def probe(self, server):
        """
        Probe one server.

        :return: a ``ProbeResult``; a failure of any kind is a state, never raised.
        """
        try:
            return _read_answer(server, self._fetch(server))
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            detail = f"{type(error).__name__}: {error}"
            return ProbeResult(server.service, server.name, "dead", detail=detail)


def _read_answer(server, answer):
    if not isinstance(answer, dict) or answer.get("state") not in _STATES:
        raise ValueError("the health endpoint named no known state")
    busy, slots = answer.get("busy"), answer.get("slots")
    load = None
    if isinstance(busy, int) and isinstance(slots, int) and slots > 0:
        load = busy / slots
    return ProbeResult(server.service, server.name, answer["state"], load)
