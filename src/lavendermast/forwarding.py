"""Forwards a keyed request to the VM that owns its token."""

from lavendermast.exceptions import RequestError
from lavendermast.framing import remove_hop_by_hop_headers
from lavendermast.logs import digest_bytes
from lavendermast.models import Outcome, Reply, Server
from lavendermast.serverprotocol import DefaultServerProtocol, add_content_length
from lavendermast.upstream import Upstream

FORWARDED_HEADER = "Lavendermast-Forwarded"
_OUTCOMES = {outcome.value: outcome for outcome in Outcome}
_REPLACED_HEADERS = frozenset(
    {
        "host",
        "content-length",
        "expect",
        "lavendermast-forwarded",
        "lavendermast-key",
        "lavendermast-deadline",
        "lavendermast-request",
    }
)


def is_forwarded(request):
    """Return whether another VM forwarded the request."""
    return any(name.lower() == FORWARDED_HEADER.lower() for name, _ in request.headers)


class Forwarder:
    """
    Forwards keyed requests to the VM that owns the token.

    A forwarded request is not forwarded again.

    :param find_owner: callable that returns the caller address of the process that
        owns a token or took it over, or ``None``.
    :param record_event: called as ``record_event(event, **fields)``, or ``None``.
    """

    def __init__(self, upstream, find_owner, record_event=None):
        self._upstream = upstream
        self._find_owner = find_owner
        self._record_event = record_event

    @classmethod
    def from_config(cls, config, clock, vm, find_owner, record_event=None):
        """Return a forwarder for the VM of this name."""

        def build_headers(request, server):
            headers = [("Host", server.address)]
            headers += [
                pair
                for pair in remove_hop_by_hop_headers(request.headers)
                if pair[0].lower() not in _REPLACED_HEADERS
            ]
            headers.append((FORWARDED_HEADER, vm))
            headers.append(("Lavendermast-Key", request.key))
            headers.append(("Lavendermast-Deadline", str(request.deadline_unix_ms)))
            headers.append(("Lavendermast-Request", request.id))
            return add_content_length(headers, request)

        upstream = Upstream.from_config(
            config, clock, DefaultServerProtocol(build_headers)
        )
        return cls(upstream, find_owner, record_event)

    def apply_config(self, config):
        """Use the limits of another configuration from now on."""
        self._upstream.apply_config(config)

    def close_idle(self):
        """Close connections to other VMs that have been idle for long."""
        self._upstream.close_idle()

    def forward(self, request, token, deadline, cancellation=None):
        """
        Return the owner's reply, or one with the outcome ``unknown``.

        :param token: the verified token of the request's key.
        :param deadline: monotonic time at which waiting for the owner ends.
        """
        if is_forwarded(request):
            return Reply(Outcome.UNKNOWN, "not-owner", 504)
        address = self._find_owner(token)
        if address is None:
            return Reply(Outcome.UNKNOWN, "owner-unknown", 504)
        if self._record_event:
            self._record_event(
                "forwarded",
                request=request.id,
                key=digest_bytes(request.key.encode()),
                owner=token.vm,
                address=address,
            )
        owner = Server(token.vm, "", "", "", address)
        try:
            result = self._upstream.send(request, owner, deadline, cancellation)
        except RequestError as error:
            # An earlier copy of the request may have reached the owner.
            return Reply(Outcome.UNKNOWN, error.reason, error.status)
        return read_reply(result) or Reply(
            Outcome.UNKNOWN, f"owner-{result.status.value}".replace("_", "-"), 504
        )


def read_reply(result):
    """
    Return the reply of a VM from an attempt result.

    :return: the reply, or ``None`` if the response has no outcome header.
    """
    fields = {name.lower(): value for name, value in result.headers}
    outcome = _OUTCOMES.get(fields.get("lavendermast-outcome"))
    if not result.http_status or outcome is None:
        return None
    headers = [
        pair for pair in result.headers if not pair[0].lower().startswith("lavender")
    ]
    return Reply(
        outcome,
        fields.get("lavendermast-reason", ""),
        result.http_status,
        headers,
        result.body,
        result.stream,
    )
