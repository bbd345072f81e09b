"""Data classes shared by the modules that handle requests."""

import enum
import functools
import hashlib

import attrs

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
FINGERPRINT_BYTES = 16


class Outcome(enum.Enum):
    """What a caller may conclude about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptStatus(enum.Enum):
    """How one attempt on one server ended."""

    OK = "ok"
    ERROR = "error"  # a 5xx response other than shed or draining
    SHED = "shed"
    DRAINING = "draining"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    CUT = "cut"  # sent, but no complete and valid response arrived
    EXPIRED = "expired"  # the deadline passed before anything was sent
    # The caller disconnected or the attempt is no longer needed.
    CANCELLED = "cancelled"
    MISDIRECTED = "misdirected"  # another server now has the address
    SHORTAGE = "shortage"  # nothing was sent, as this process lacks descriptors
    DENIED = "denied"  # nothing was sent, as the request's key is not known to be valid


#: Statuses of attempts whose request certainly did not run on the server.
NOT_RUN_STATUSES = frozenset(
    {
        AttemptStatus.SHED,
        AttemptStatus.DRAINING,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.EXPIRED,
        AttemptStatus.MISDIRECTED,
        AttemptStatus.SHORTAGE,
        AttemptStatus.DENIED,
    }
)


class ServerState(enum.Enum):
    """State of a server in the VM list of the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Server:
    """
    A backend server.

    :param address: ``ip:port`` of its HTTP listener.
    """

    name: str
    service: str
    region: str
    zone: str
    address: str
    state: ServerState = ServerState.LIVE


@attrs.define
class AttemptResult:
    """
    The result of one attempt.

    :param latency: seconds from the start of the attempt, connecting included, to its
        end; for a streamed body until streaming begins.
    :param load: share of busy slots that the server reported, or ``None``.
    :param rate_limit: requests per second that the server accepts from all VMs
        together, infinite if it named no limit; ``None`` without a response of it.
    :param pause_s: seconds for which the server wants no further request of this VM.
    :param connection_lost: whether the server closed the connection before the end of
        its response.
    :param is_leaving: whether the server said that it is leaving.
    :param head_at: monotonic time at which the head of the response arrived.
    """

    server: str
    status: AttemptStatus
    latency: float = 0.0
    http_status: int = 0
    headers: list = attrs.Factory(list)
    body: bytes = b""
    stream: object = None
    load: float | None = None
    rate_limit: float | None = None
    head_at: float = 0.0
    is_leaving: bool = False
    connection_lost: bool = False
    pause_s: float = 0.0
    detail: str = ""

    @property
    def ran(self):
        """Whether the server may have run the request."""
        return self.status not in NOT_RUN_STATUSES


@attrs.define
class Reply:
    """
    The response to a caller.

    :param stream: iterator of body parts for a response that is not buffered.
    :param retry_after: seconds of the ``Retry-After`` header, 0 for no header.
    :param action: ``joined``, ``replayed`` or ``refused`` for a repeated idempotency
        key.
    """

    outcome: Outcome
    reason: str
    status: int
    headers: list = attrs.Factory(list)
    body: bytes = b""
    stream: object = None
    server: str = ""
    attempts: int = 0
    retry_after: int = 0
    action: str = ""


@attrs.define
class CallerRequest:
    """
    One request of a caller.

    :param deadline: monotonic time at which its attempts end and after which none is
        started.
    :param arrived_at: monotonic time of arrival.
    :param key: idempotency key, or empty.
    :param idempotent: setting of its route; ``None`` derives it from the method.
    :param used_connections: connections to servers that it was sent on. None is used
        for it again: a second copy of an earlier response would look like that of the
        later attempt, as both have the same identifier.
    :param reservation: a :class:`~lavendermast.memory.Reservation` for its body and
        responses; ``None`` sets no bound.
    :param account: the client account that it belongs to, or ``None``.
    :param credential: what ``Authorizer.make_credential`` returned for it.
    """

    id: str
    method: str
    path: str
    query: str
    headers: list
    body: bytes
    customer: str
    deadline: float
    deadline_unix_ms: int
    arrived_at: float
    key: str = ""
    idempotent: bool | None = None
    used_connections: list = attrs.field(factory=list, eq=False, repr=False)
    reservation: object = attrs.field(default=None, eq=False, repr=False)
    account: object = attrs.field(default=None, eq=False, repr=False)
    credential: bytes | None = attrs.field(default=None, eq=False, repr=False)

    @functools.cached_property
    def fingerprint(self):
        """
        What identifies repetitions of the request, whoever sends them.

        It is the digest of method, host, path, query and body, in bytes.
        """
        host = next((v for name, v in self.headers if name.lower() == "host"), "")
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (self.method, host, self.path, self.query):
            data = part.encode(errors="surrogateescape")
            digest.update(len(data).to_bytes(8, "big") + data)
        digest.update(self.body)
        return digest.digest()

    @property
    def retryable(self):
        """Whether it may be sent again although an earlier attempt may have run."""
        if self.idempotent is None:
            return self.method in SAFE_METHODS and not self.key
        return self.idempotent


@attrs.frozen
class Choice:
    """
    A balancer's decision.

    :param candidates: text that lists the compared servers, for the decision log.
    """

    server: Server
    reason: str
    candidates: str = ""
