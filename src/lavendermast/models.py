"""Data shared by the modules that decide on requests."""

import enum

import attrs

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Outcome(enum.Enum):
    """What a caller may conclude about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptStatus(enum.Enum):
    """How one attempt at one server ended."""

    OK = "ok"
    ERROR = "error"  # a 5xx answer that is not a refusal
    SHED = "shed"
    DRAINING = "draining"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    CUT = "cut"  # the answer ended early or broke its framing
    EXPIRED = "expired"  # the deadline passed before anything was sent
    CANCELLED = "cancelled"  # the caller left
    MISDIRECTED = "misdirected"  # another server has the address


#: Attempts that certainly did not run on the server.
NOT_RUN_STATUSES = frozenset(
    {
        AttemptStatus.SHED,
        AttemptStatus.DRAINING,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.EXPIRED,
        AttemptStatus.MISDIRECTED,
    }
)


class ServerState(enum.Enum):
    """State of a server in the platform's VM list."""

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

    :param latency: seconds from sending to the whole answer.
    :param load: share of busy slots that the server claimed, or ``None``.
    """

    server: str
    status: AttemptStatus
    latency: float = 0.0
    http_status: int = 0
    headers: list = attrs.Factory(list)
    body: bytes = b""
    stream: object = None
    load: float | None = None
    detail: str = ""

    @property
    def ran(self):
        """Whether the server may have run the request."""
        return self.status not in NOT_RUN_STATUSES


@attrs.define
class Reply:
    """
    What a caller is told.

    :param stream: iterator of body parts for an answer that is not buffered.
    :param retry_after: seconds after which a repeat makes sense, 0 for none.
    :param action: ``joined``, ``replayed`` or ``refused`` when a key arrived again.
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

    :param deadline: monotonic time after which no work is started for it.
    :param idempotent: what its route says; ``None`` leaves it to the method.
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
    arrived: float
    key: str = ""
    idempotent: bool | None = None

    @property
    def repeatable(self):
        """Whether it may be sent again after its connection broke."""
        if self.idempotent is None:
            return self.method in REPEATABLE_METHODS and not self.key
        return self.idempotent


@attrs.frozen
class Choice:
    """
    A balancer's decision.

    :param candidates: compared servers as text, for the decision log.
    """

    server: Server
    reason: str
    candidates: str = ""
