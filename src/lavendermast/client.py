"""Client library for callers: VM addresses, idempotency keys and retries."""

import json
import uuid

import attrs

from lavendermast.addresses import ADDRESSES_PATH
from lavendermast.exceptions import RequestError
from lavendermast.forwarding import read_reply
from lavendermast.framing import remove_hop_by_hop_headers
from lavendermast.models import CallerRequest, Outcome, Reply, Server
from lavendermast.serverprotocol import DefaultServerProtocol, add_content_length
from lavendermast.upstream import Upstream

#: Longest use of an address response and its token, in case the caller's clock is slow.
MAX_ADDRESS_AGE_S = 60.0
#: Timeout of an address request to one VM, so that time is left to ask other VMs.
ADDRESS_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_BUFFERED_BYTES = 1024 * 1024
MAX_IDLE_CONNECTIONS = 4
#: Reasons after which a retry with the same key cannot give another result.
_FINAL_REASONS = frozenset(
    {"completed-before", "may-have-run", "forgotten", "other-boot", "key-reused"}
)


@attrs.frozen
class ServiceAddresses:
    """VM addresses and a token from one address response; times are monotonic."""

    servers: tuple
    use_until: float
    token: str
    token_accept_until: float


@attrs.define
class _Progress:
    """State of one call across its retries."""

    key: str = ""
    may_have_run: bool = False
    retries: int = 0
    last: Reply | None = None


class Client:
    """
    Sends requests to a fleet.

    :param known_addresses: ``ip:port`` of any VMs of the fleet.
    :param customer: identifier of the customer, sent with each request; its weight sets
        the share in the admission queue.
    :param transport: object with :meth:`Upstream.send`, or ``None`` for an
        :class:`Upstream`.

    >>> from lavendermast.clock import SystemClock
    >>> Client(["127.0.0.1:8080"], "coop", SystemClock()).customer
    'coop'
    """

    def __init__(self, known_addresses, customer, clock, transport=None):
        self._known_vms = [_make_server(address) for address in known_addresses]
        self.customer = customer
        self._clock = clock
        self._transport = transport or Upstream(
            clock,
            MAX_BUFFERED_BYTES,
            {"": MAX_IDLE_CONNECTIONS},
            DefaultServerProtocol(_build_headers),
        )
        self._addresses = {}

    def fetch(self, service, method, path, deadline, headers=(), body=b""):
        """
        Send an idempotent request and retry it until the deadline.

        :param deadline: monotonic time of the clock after which nothing is sent.
        :return: a :class:`Reply`.
        """
        return self._send_with_retries(
            service, method, path, deadline, headers, body, False
        )

    def submit(self, service, method, path, deadline, headers=(), body=b""):
        """
        Send a non-idempotent request with a new idempotency key.

        :param deadline: monotonic time of the clock after which nothing is sent.
        :return: a :class:`Reply`; ``not-run`` only when no attempt can have run.
        """
        return self._send_with_retries(
            service, method, path, deadline, headers, body, True
        )

    def get_addresses(self, service, deadline):
        """Return the current :class:`ServiceAddresses` of a service, or ``None``."""
        addresses = self._addresses.get(service)
        if addresses is not None and self._clock.monotonic() < addresses.use_until:
            return addresses
        candidates = self._known_vms
        if addresses is not None:
            candidates = [*addresses.servers, *candidates]
        for server in candidates:
            addresses = self._fetch_addresses(server, service, deadline)
            if addresses is not None:
                self._addresses[service] = addresses
                return addresses
        return None

    def _fetch_addresses(self, server, service, deadline):
        request = self._make_request(
            "GET", ADDRESSES_PATH, f"service={service}", deadline
        )
        request_deadline = min(deadline, self._clock.monotonic() + ADDRESS_TIMEOUT_S)
        result = self._transport.send(request, server, request_deadline)
        if result.http_status != 200 or result.stream is not None:
            return None
        try:
            data = json.loads(result.body)
            return self._parse_addresses(data)
        except (ValueError, KeyError, TypeError):
            return None

    def _parse_addresses(self, data):
        limit = self._clock.monotonic() + MAX_ADDRESS_AGE_S
        servers = tuple(
            _make_server(item["address"], item["vm"]) for item in data["addresses"]
        )
        if not servers:
            return None
        return ServiceAddresses(
            servers,
            min(limit, self._clock.convert_unix_ms(data["use_until"])),
            data["token"],
            min(limit, self._clock.convert_unix_ms(data["token_accept_until"])),
        )

    def _send_with_retries(
        self, service, method, path, deadline, headers, body, with_key
    ):
        progress = _Progress()
        while self._clock.monotonic() < deadline:
            addresses = self._get_addresses_with_key(
                service, progress, deadline, with_key
            )
            if addresses is not None:
                reply = self._send(
                    addresses, progress, method, path, deadline, headers, body
                )
                if reply.outcome is Outcome.ANSWERED or _is_final(reply, progress):
                    return reply
                if (progress.retries + 1) % len(addresses.servers) == 0:
                    # Every address failed once; the fleet may return others by now.
                    self._addresses.pop(service, None)
            progress.retries += 1
            self._back_off(progress, deadline)
        outcome = Outcome.UNKNOWN if progress.may_have_run else Outcome.NOT_RUN
        last = progress.last
        if last is None:
            return Reply(outcome, "no-address", 0)
        return attrs.evolve(last, outcome=outcome)

    def _get_addresses_with_key(self, service, progress, deadline, with_key):
        addresses = self.get_addresses(service, deadline)
        if addresses is None or not with_key or progress.key:
            return addresses
        if self._clock.monotonic() >= addresses.token_accept_until:
            self._addresses.pop(service, None)
            addresses = self.get_addresses(service, deadline)
        if addresses is not None:
            progress.key = f"{addresses.token}.{uuid.uuid4().hex}"
        return addresses

    def _send(self, addresses, progress, method, path, deadline, headers, body):
        server = addresses.servers[progress.retries % len(addresses.servers)]
        path, _, query = path.partition("?")
        request = self._make_request(method, path, query, deadline, headers, body)
        request.key = progress.key
        try:
            result = self._transport.send(request, server, deadline)
        except RequestError as error:
            reply = Reply(Outcome.NOT_RUN, error.reason, error.status)
        else:
            reply = read_reply(result) or _make_reply(result)
        if reply.outcome is Outcome.UNKNOWN:
            progress.may_have_run = True
        elif reply.outcome is Outcome.NOT_RUN and not progress.may_have_run:
            # The fleet never runs a request whose key it reported as not-run, so the
            # retry needs a new key, which is made from the current token.
            progress.key = ""
        if progress.may_have_run and reply.outcome is Outcome.NOT_RUN:
            reply = attrs.evolve(reply, outcome=Outcome.UNKNOWN)
        progress.last = reply
        return reply

    def _back_off(self, progress, deadline):
        backoff = min(FIRST_BACKOFF_S * 2 ** min(progress.retries, 10), MAX_BACKOFF_S)
        if progress.last is not None:
            backoff = max(backoff, _get_retry_after(progress.last))
        self._clock.sleep(max(0.0, min(backoff, deadline - self._clock.monotonic())))

    def _make_request(self, method, path, query, deadline, headers=(), body=b""):
        now = self._clock.monotonic()
        deadline_unix_ms = self._clock.get_unix_ms() + int((deadline - now) * 1000)
        return CallerRequest(
            uuid.uuid4().hex,
            method,
            path,
            query,
            list(headers),
            body,
            self.customer,
            deadline,
            deadline_unix_ms,
            now,
        )


def _make_server(address, name=None):
    return Server(name or address, "", "", "", address)


def _is_final(reply, progress):
    if progress.key:
        return reply.reason in _FINAL_REASONS
    return 400 <= reply.status < 500 and reply.status not in (421, 428, 429)


def _make_reply(result):
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
        for pair in remove_hop_by_hop_headers(request.headers)
        if pair[0].lower() not in ("host", "content-length", "expect")
    ]
    headers.append(("Lavendermast-Customer", request.customer))
    headers.append(("Lavendermast-Deadline", str(request.deadline_unix_ms)))
    if request.key:
        headers.append(("Lavendermast-Key", request.key))
    return add_content_length(headers, request)
