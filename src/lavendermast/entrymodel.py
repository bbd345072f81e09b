"""Types for the configuration and the servers of an entry VM."""

import enum

import attrs

from lavendermast.callerconnections import HEAD_TIMEOUT_S, IDLE_TIMEOUT_S
from lavendermast.models import Server


class RequestKind(enum.Enum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"  # idempotent, with a long response


@attrs.frozen
class SplitPart:
    """A service and its weight in the split of a route's requests."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Account:
    """
    A client account.

    :param keys: keys that its callers send.
    :param priority: rank of its requests; 0 is the highest.
    :param rate_limit: requests per second over all VMs together, 0.0 without a limit.
    :param burst: requests that it may send at once beyond that rate.
    """

    name: str
    keys: tuple = attrs.field(repr=False)
    priority: int = 0
    rate_limit: float = 0.0
    burst: float = 0.0


@attrs.frozen
class EntryRoute:
    """
    Route for requests to one host with one path prefix.

    :param parts: services that share the requests; only one if there is no split.
    :param timeout_s: seconds within which a request gets its final response.
    :param goal_s: latency goal in seconds; a later response has less value.
    :param max_attempts: maximum number of servers that one request may run on.
    :param priority: rank of its requests within an account; 0 is the highest.
    :param public: whether its requests need no key although there are accounts.
    """

    name: str
    host: str
    prefix: str
    parts: tuple
    kind: RequestKind
    timeout_s: float
    goal_s: float
    max_attempts: int = 1
    priority: int = 0
    public: bool = False

    @property
    def idempotent(self):
        """Whether requests may run more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT


@attrs.frozen
class CallerLimits:
    """
    Limits on callers' requests and connections.

    :param max_header_bytes: size of all header fields of a request.
    :param max_body_bytes: size of its body.
    :param head_timeout_s: time that a caller may take for the head of a request.
    :param idle_timeout_s: time for which a connection may have no request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


@attrs.frozen
class EntryConfig:
    """
    One version of the configuration written by operators.

    :param services: names of the services.
    :param accounts: client accounts, ``None`` if requests need no key.
    :param account_findings: what was skipped or corrected in the accounts, one text
        each with its place; no text contains a key.
    """

    version: int
    routes: tuple
    services: tuple
    limits: CallerLimits
    accounts: tuple | None = None
    account_findings: tuple = ()


@attrs.frozen
class ServerRecord:
    """
    A backend server as registered in the store.

    :param slots: number of requests that it processes concurrently.
    :param started_unix_ms: its start time; a server may restart under the same name.
    :param warm_up_s: seconds of warm-up left when the entry was written.
    :param sequence: counter of what this run of the server has written.
    """

    server: Server
    slots: int
    started_unix_ms: int = 0
    warm_up_s: float = 0.0
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def written_as(self):
        """Start time and sequence, by which entries of one server are ordered."""
        return self.started_unix_ms, self.sequence


@attrs.frozen
class ConfigDocument:
    """A document that holds a configuration."""

    config: EntryConfig


@attrs.frozen
class ServerDocument:
    """
    A document about one server.

    :param record: ``None`` if it was deleted or does not describe a usable server.
    """

    name: str
    record: ServerRecord | None
