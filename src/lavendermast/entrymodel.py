"""Configuration and servers as an entry VM uses them."""

import enum

import attrs

from lavendermast.models import Server


class RequestKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"  # idempotent, with a long answer


@attrs.frozen
class SplitPart:
    """A service and its share of a route's requests."""

    service: str
    weight: float = 1.0


@attrs.frozen
class EntryRoute:
    """
    Requests of one host below one path prefix.

    :param parts: services that share the requests; one entry without a split.
    :param timeout_s: seconds after which a request gets its final answer.
    :param goal_s: seconds within which an answer has its full worth.
    :param max_attempts: servers that one request may run on.
    """

    name: str
    host: str
    prefix: str
    parts: tuple
    kind: RequestKind
    timeout_s: float
    goal_s: float
    max_attempts: int = 1

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT


@attrs.frozen
class CallerLimits:
    """What a caller may send, in bytes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024


@attrs.frozen
class EntryConfig:
    """
    One version of the operators' configuration.

    :param services: names of the services.
    """

    version: int
    routes: tuple
    services: tuple
    limits: CallerLimits


@attrs.frozen
class ServerRecord:
    """
    A listed backend server.

    :param slots: requests that it works on at once.
    :param started_unix_ms: its start; the same name may start again.
    :param warm_up_s: seconds for which it was still slow when it was listed.
    """

    server: Server
    slots: int
    started_unix_ms: int = 0
    warm_up_s: float = 0.0


@attrs.frozen
class ConfigDocument:
    """A document that holds a configuration."""

    config: EntryConfig


@attrs.frozen
class ServerDocument:
    """A document about one server; ``record`` is ``None`` if it names none to use."""

    name: str
    record: ServerRecord | None
