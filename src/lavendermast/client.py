"""Client library for callers: addresses, keys and honest repeats."""

import json
import uuid

import attrs

from lavendermast.addresses import ADDRESSES_PATH
from lavendermast.exceptions import RequestError
from lavendermast.forwarding import read_reply
from lavendermast.framing import remove_hop_headers
from lavendermast.models import CallerRequest, Outcome, Reply, Server
from lavendermast.serverprotocol import OwnServerProtocol, add_length
from lavendermast.upstream import Upstream

#: Bound on the use of one address response, should the caller's clock be behind.
MAX_HOLD_S = 60.0
#: Wait for one VM's address response, so that a silent VM leaves time for others.
ASK_TIMEOUT_S = 1.0
FIRST_WAIT_S = 0.05
MAX_WAIT_S = 2.0
BUFFER_BYTES = 1024 * 1024
IDLE_CONNECTIONS = 4
#: A repeat under the same key cannot learn more.
_FINAL_REASONS = frozenset(
    {"completed-before", "may-have-run", "forgotten", "other-boot", "key-reused"}
)


@attrs.frozen
class AddressView:
    """An address response; times are monotonic."""

    servers: tuple
    use_until: float
    token: str
    token_accept_until: float


@attrs.define
class _Progress:
    """What is known about one call over its repeats."""

    key: str = ""
    may_have_run: bool = False
    repeats: int = 0
    last: Reply | None = None


class Client:
    """
    Sends requests to a fleet.

    :param known_addresses: ``ip:port`` of any VMs of the fleet.
    :param customer: identifier of the paying party.
    :param transport: object with :meth:`Upstream.send`, or ``None``.

    >>> from lavendermast.clock import SystemClock
    >>> Client(["127.0.0.1:8080"], "coop", SystemClock()).customer
    'coop'
    """

    def __init__(self, known_addresses, customer, clock, transport=None):
        self._known = [_make_server(address) for address in known_addresses]
        self.customer = customer
        self._clock = clock
        self._transport = transport or Upstream(
            clock,
            BUFFER_BYTES,
            {"": IDLE_CONNECTIONS},
            OwnServerProtocol(_build_headers),
        )
        self._views = {}

    def fetch(self, service, method, path, deadline, headers=(), body=b""):
        """
        Send an idempotent request and repeat it until the deadline.

        :param deadline: monotonic time of the clock after which nothing is sent.
        :return: a :class:`Reply`.
        """
        return self._repeat(service, method, path, deadline, headers, body, False)

    def submit(self, service, method, path, deadline, headers=(), body=b""):
        """
        Send a request that must run at most once, under a key of its own.

        :param deadline: monotonic time of the clock after which nothing is sent.
        :return: a :class:`Reply`; ``not-run`` only when no repeat can have run.
        """
        return self._repeat(service, method, path, deadline, headers, body, True)

    def get_addresses(self, service, deadline):
        """Return the current :class:`AddressView` of a service, or ``None``."""
        view = self._views.get(service)
        if view is not None and self._clock.monotonic() < view.use_until:
            return view
        candidates = self._known
        if view is not None:
            candidates = [*view.servers, *candidates]
        for server in candidates:
            view = self._ask(server, service, deadline)
            if view is not None:
                self._views[service] = view
                return view
        return None

    def _ask(self, server, service, deadline):
        request = self._make_request(
            "GET", ADDRESSES_PATH, f"service={service}", deadline
        )
        bound = min(deadline, self._clock.monotonic() + ASK_TIMEOUT_S)
        result = self._transport.send(request, server, bound)
        if result.http_status != 200 or result.stream is not None:
            return None
        try:
            data = json.loads(result.body)
            return self._read_view(data)
        except (ValueError, KeyError, TypeError):
            return None

    def _read_view(self, data):
        limit = self._clock.monotonic() + MAX_HOLD_S
        servers = tuple(
            _make_server(item["address"], item["vm"]) for item in data["addresses"]
        )
        if not servers:
            return None
        return AddressView(
            servers,
            min(limit, self._clock.convert_unix_ms(data["use_until"])),
            data["token"],
            min(limit, self._clock.convert_unix_ms(data["token_accept_until"])),
        )

    def _repeat(self, service, method, path, deadline, headers, body, keyed):
        progress = _Progress()
        while self._clock.monotonic() < deadline:
            view = self._get_view(service, progress, deadline, keyed)
            if view is not None:
                reply = self._send(
                    view, progress, method, path, deadline, headers, body
                )
                if reply.outcome is Outcome.ANSWERED or _is_final(reply, progress):
                    return reply
                if (progress.repeats + 1) % len(view.servers) == 0:
                    # Every address failed once; the fleet may name others by now.
                    self._views.pop(service, None)
            progress.repeats += 1
            self._wait(progress, deadline)
        outcome = Outcome.UNKNOWN if progress.may_have_run else Outcome.NOT_RUN
        last = progress.last
        if last is None:
            return Reply(outcome, "no-address", 0)
        return attrs.evolve(last, outcome=outcome)

    def _get_view(self, service, progress, deadline, keyed):
        view = self.get_addresses(service, deadline)
        if view is None or not keyed or progress.key:
            return view
        if self._clock.monotonic() >= view.token_accept_until:
            self._views.pop(service, None)
            view = self.get_addresses(service, deadline)
        if view is not None:
            progress.key = f"{view.token}.{uuid.uuid4().hex}"
        return view

    def _send(self, view, progress, method, path, deadline, headers, body):
        server = view.servers[progress.repeats % len(view.servers)]
        path, _, query = path.partition("?")
        request = self._make_request(method, path, query, deadline, headers, body)
        request.key = progress.key
        try:
            result = self._transport.send(request, server, deadline)
        except RequestError as error:
            reply = Reply(Outcome.NOT_RUN, error.reason, error.status)
        else:
            reply = read_reply(result) or _describe(result)
        if reply.outcome is Outcome.UNKNOWN:
            progress.may_have_run = True
        elif reply.outcome is Outcome.NOT_RUN and not progress.may_have_run:
            # The fleet never runs a key that it called not-run, so the next try
            # needs another one; a fresh token comes with it.
            progress.key = ""
        if progress.may_have_run and reply.outcome is Outcome.NOT_RUN:
            reply = attrs.evolve(reply, outcome=Outcome.UNKNOWN)
        progress.last = reply
        return reply

    def _wait(self, progress, deadline):
        wait = min(FIRST_WAIT_S * 2 ** min(progress.repeats, 10), MAX_WAIT_S)
        if progress.last is not None:
            wait = max(wait, _get_retry_after(progress.last))
        self._clock.sleep(max(0.0, min(wait, deadline - self._clock.monotonic())))

    def _make_request(self, method, path, query, deadline, headers=(), body=b""):
        now = self._clock.monotonic()
        unix_ms = self._clock.get_unix_ms() + int((deadline - now) * 1000)
        return CallerRequest(
            uuid.uuid4().hex,
            method,
            path,
            query,
            list(headers),
            body,
            self.customer,
            deadline,
            unix_ms,
            now,
        )


def _make_server(address, name=None):
    return Server(name or address, "", "", "", address)


def _is_final(reply, progress):
    if progress.key:
        return reply.reason in _FINAL_REASONS
    return 400 <= reply.status < 500 and reply.status not in (421, 428, 429)


def _describe(result):
    outcome = Outcome.UNKNOWN if result.ran else Outcome.NOT_RUN
    return Reply(outcome, result.status.value.replace("_", "-"), result.http_status)


def _get_retry_after(reply):
    for name, value in reply.headers:
        if name.lower() == "retry-after" and value.isdigit():
            return float(value)
    return 0.0


def _build_headers(request, server):
    headers = [("Host", server.address)]
    headers += [
        pair
        for pair in remove_hop_headers(request.headers)
        if pair[0].lower() not in ("host", "content-length", "expect")
    ]
    headers.append(("Lavendermast-Customer", request.customer))
    headers.append(("Lavendermast-Deadline", str(request.deadline_unix_ms)))
    if request.key:
        headers.append(("Lavendermast-Key", request.key))
    return add_length(headers, request)
