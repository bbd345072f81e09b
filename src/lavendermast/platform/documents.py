"""Decodes the platform's documents into the types of ``entrymodel``."""

import json
import math
import re

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

from .accounts import MAX_PRIORITY, decode_accounts

CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"
_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
}
_TIMEOUT_KEYS = {
    "head_timeout_s": "header_timeout_ms",
    "idle_timeout_s": "idle_timeout_ms",
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


#: Bounds of what a usable server's entry may hold; beyond them it is another program's.
MAX_SLOTS = 1_000_000
MAX_COUNTER = 2**63 - 1
MAX_WARM_UP_MS = 24 * 3600 * 1000
_ADDRESS = re.compile(r"([A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
#: Names of servers are sent in a header.
_SERVER_NAME = re.compile(r"[!-~]{1,200}")
MAX_NAME_CHARACTERS = 200


def is_needed(key):
    """
    Return whether an entry VM uses the document under a key.

    Keys of other programs may be anything; one without a usable name is not needed.
    """
    if not isinstance(key, str):
        return False
    if key == CONFIG_KEY:
        return True
    name = key.removeprefix(SERVER_PREFIX)
    return name != key and _SERVER_NAME.fullmatch(name) is not None


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
        server = Server(
            name,
            _check_name(info["service"]),
            zones.get(info["zone"], ""),
            _check_name(info["zone"]),
            _check_address(entry["addr"]),
            _STATES[status["state"]],
        )
        return ServerRecord(
            server,
            _check_range(info["capacity"], 1, MAX_SLOTS),
            _check_range(entry.get("born", 0), 0, MAX_COUNTER),
            _check_warm_up(status.get("warmup_left_ms", 0)) / 1000,
            _check_range(status.get("sequence", 0), 0, MAX_COUNTER),
        )
    except _DECODE_ERRORS:
        # Other programs write entries here that do not describe a usable server.
        return None


def _check_name(value):
    if not (0 < len(value) <= MAX_NAME_CHARACTERS and value.isprintable()):
        raise ValueError("not a name")
    return value


def _check_address(value):
    match = _ADDRESS.fullmatch(value)
    if match is None:
        raise ValueError("not an address")
    _check_range(int(match[2]), 1, 65535)
    return value


def _check_range(value, lowest, highest):
    if type(value) is not int:
        raise TypeError("not an integer")
    if not lowest <= value <= highest:
        raise ValueError("out of range")
    return value


def _check_warm_up(value):
    value = float(value)
    if not math.isfinite(value) or not 0 <= value <= MAX_WARM_UP_MS:
        raise ValueError("out of range")
    return value


def _decode_config(content):
    if content is None:
        raise DocumentError(f"{CONFIG_KEY} was deleted")
    try:
        value = json.loads(content)
        accounts, findings = decode_accounts(value.get("tenants"))
        return EntryConfig(
            version=int(value["version"].removeprefix("r")),
            routes=tuple(
                _decode_route(listener["host"], rule)
                for listener in value["listeners"]
                for rule in listener["rules"]
            ),
            services=tuple(item["name"] for item in value["upstreams"]),
            limits=_decode_limits(value["limits"]),
            accounts=accounts,
            account_findings=findings,
        )
    except _DECODE_ERRORS as error:
        raise DocumentError(f"{CONFIG_KEY}: {type(error).__name__}: {error}") from error


def _decode_limits(limits):
    timeouts = {
        name: limits[key] / 1000 for name, key in _TIMEOUT_KEYS.items() if key in limits
    }
    return CallerLimits(
        limits["max_header_bytes"], limits["max_body_bytes"], **timeouts
    )


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
        priority=_decode_priority(rule.get("priority")),
        public=rule.get("public") is True,
    )


def _decode_priority(value):
    """Return a route's priority; one that is not a number counts as none."""
    return value if type(value) is int and 0 <= value <= MAX_PRIORITY else 0
