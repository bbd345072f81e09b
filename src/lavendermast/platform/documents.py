"""Decodes the platform's documents into the types of ``entrymodel``."""

import json

from lavendermast.entrymodel import (
    CallerLimits,
    ConfigDocument,
    EntryConfig,
    EntryRoute,
    RequestKind,
    ServerDocument,
    ServerRecord,
    SplitPart,
)
from lavendermast.exceptions import DocumentError
from lavendermast.models import Server, ServerState

CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"
_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
}
_STATES = {"ready": ServerState.LIVE, "draining": ServerState.LEAVING}
#: Errors that a malformed document causes: a number too large for a float raises
#: ``OverflowError``, JSON that is nested too deeply ``RecursionError``.
_DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def is_needed(key):
    """Return whether an entry VM uses the document under a key."""
    return key == CONFIG_KEY or key.startswith(SERVER_PREFIX)


def decode_document(key, content, zones):
    """
    Decode a document into a ``ConfigDocument`` or ``ServerDocument``.

    :param content: content of the document in bytes, ``None`` if it was deleted.
    :param zones: mapping of zone to region.
    :raises DocumentError: when the configuration was deleted or is invalid.
    """
    if key == CONFIG_KEY:
        return ConfigDocument(_decode_config(content))
    name = key.removeprefix(SERVER_PREFIX)
    return ServerDocument(name, _decode_server(name, content, zones))


def _decode_server(name, content, zones):
    if content is None:
        return None
    try:
        entry = json.loads(content)
        info, status = entry["info"], entry["status"]
        host, _, port = entry["addr"].rpartition(":")
        if not host or not (port.isascii() and port.isdigit()):
            return None
        server = Server(
            name,
            _check_type(info["service"], str),
            zones.get(info["zone"], ""),
            _check_type(info["zone"], str),
            entry["addr"],
            _STATES[status["state"]],
        )
        return ServerRecord(
            server,
            _check_type(info["capacity"], int),
            _check_type(entry.get("born", 0), int),
            float(status.get("warmup_left_ms", 0)) / 1000,
            _check_type(status.get("sequence", 0), int),
        )
    except _DECODE_ERRORS:
        # Other programs write entries here that do not describe a usable server.
        return None


def _check_type(value, kind):
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"expected {kind.__name__}, got {value!r}")
    return value


def _decode_config(content):
    if content is None:
        raise DocumentError(f"{CONFIG_KEY} was deleted")
    try:
        value = json.loads(content)
        limits = value["limits"]
        return EntryConfig(
            version=int(value["version"].removeprefix("r")),
            routes=tuple(
                _decode_route(listener["host"], rule)
                for listener in value["listeners"]
                for rule in listener["rules"]
            ),
            services=tuple(item["name"] for item in value["upstreams"]),
            limits=CallerLimits(limits["max_header_bytes"], limits["max_body_bytes"]),
        )
    except _DECODE_ERRORS as error:
        raise DocumentError(f"{CONFIG_KEY}: {type(error).__name__}: {error}") from error


def _decode_route(host, rule):
    action = rule["action"]
    split = action.get("traffic_split") or [{"service": action["service"]}]
    return EntryRoute(
        name=rule["name"],
        host=host,
        prefix=rule["match"]["prefix"],
        parts=tuple(
            SplitPart(part["service"], part.get("weight", 1)) for part in split
        ),
        kind=_KINDS[rule["type"]],
        timeout_s=action["timeout_ms"] / 1000,
        goal_s=rule["goal_ms"] / 1000,
        max_attempts=int(action.get("max_attempts", 1)),
    )
