"""Checks settings against the schema and against rules between settings."""

import difflib
import functools
import importlib.resources
import json
import math

from lavendermast.schemamatch import is_surely_valid

_TYPE_NAMES = {
    bool: "a boolean",
    int: "an integer",
    float: "a number with a fraction",
    str: "a string",
    list: "an array",
    dict: "an object",
    type(None): "null",
}


def _is_integer(checker, value):
    # JSON Schema accepts 12.0 as an integer, but the settings classes need an int.
    return isinstance(value, int) and not isinstance(value, bool)


@functools.cache
def load_schema():
    """Return the settings schema."""
    resource = importlib.resources.files("lavendermast") / "schema"
    return json.loads((resource / "settings.schema.json").read_text())


@functools.cache
def make_validator(definition):
    """Return a validator for one definition of the schema."""
    # Most processes start with valid settings and never need the library, whose import
    # takes a ninth of their start.
    import jsonschema

    base = jsonschema.Draft202012Validator
    checker = base.TYPE_CHECKER.redefine("integer", _is_integer)
    validator = jsonschema.validators.extend(base, type_checker=checker)
    return validator({"$ref": f"#/$defs/{definition}", "$defs": load_schema()["$defs"]})


def get_default(definition, key):
    """
    Return the default value of one setting.

    >>> get_default("Addresses", "hold_ms")
    30000
    """
    return load_schema()["$defs"][definition]["properties"][key]["default"]


def check_schema(value, definition):
    """
    Check a value against one definition of the schema.

    :param value: the settings as read from JSON.
    :param definition: name of the schema definition.
    :return: a list of (path, message), one for each violation.

    >>> check_schema({"weight": 0}, "Customer")
    [(('weight',), '0 is out of range; give 1 to 1000')]
    """
    definitions = load_schema()["$defs"]
    if is_surely_valid(value, definitions[definition], definitions):
        return []
    found = {}
    for error in make_validator(definition).iter_errors(value):
        for finding in _describe_error(error):
            found.setdefault(finding)
    return list(found)


def _describe_error(error):
    path = tuple(error.absolute_path)
    describe = _DESCRIBERS.get(error.validator)
    if describe is None:
        return [(path, error.message)]
    return [((*path, *suffix), message) for suffix, message in describe(error, path)]


def _describe_unknown(error, path):
    known = list(error.schema["properties"])
    for key in error.instance:
        if key in known:
            continue
        close = difflib.get_close_matches(str(key), known, n=1)
        advice = f"did you mean {close[0]}?" if close else f"known: {', '.join(known)}"
        yield (key,), f"unknown key; remove or rename it ({advice})"


def _describe_required(error, path):
    properties = error.schema["properties"]
    for key in error.validator_value:
        if key not in error.instance:
            meaning = properties[key].get("description", "")
            yield (), f"missing key {key}; add it ({meaning.rstrip('.')})"


def _describe_type(error, path):
    wanted = error.validator_value
    yield (
        (),
        f"wrong type: expected {wanted}, found {_format_typed(error.instance, path)}",
    )


def _describe_range(error, path):
    low = error.schema.get("minimum")
    high = error.schema.get("maximum")
    shown = _format_value(error.instance, path)
    yield (), f"{shown} is out of range; give {low} to {high}"


def _describe_enum(error, path):
    choices = ", ".join(error.validator_value)
    yield (), f"{_format_value(error.instance, path)} is not one of {choices}"


def _describe_pattern(error, path):
    shown = _format_value(error.instance, path)
    yield (), f"{shown} is not of the form {error.validator_value}"


def _describe_length(error, path):
    yield (), f"too short; give at least {error.validator_value}"


_DESCRIBERS = {
    "additionalProperties": _describe_unknown,
    "required": _describe_required,
    "type": _describe_type,
    "minimum": _describe_range,
    "maximum": _describe_range,
    "enum": _describe_enum,
    "pattern": _describe_pattern,
    "minLength": _describe_length,
    "minItems": _describe_length,
}


def _format_value(value, path):
    if path and path[-1] == "secret":  # secrets must not reach a log
        return "the value"
    text = json.dumps(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _format_typed(value, path):
    name = _TYPE_NAMES.get(type(value), type(value).__name__)
    if isinstance(value, (str, int, float)) and not isinstance(value, bool):
        return f"{name}, {_format_value(value, path)}"
    return name


def _get_section(value, key):
    """Return the entries of a section that are objects; others are skipped."""
    section = value.get(key, {}) if isinstance(value, dict) else {}
    if not isinstance(section, dict):
        return {}
    return {name: item for name, item in section.items() if isinstance(item, dict)}


def _get_number_or_default(section, definition, key):
    value = section.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return get_default(definition, key)
    return value


def compute_floor_count(floor, expected_servers):
    """
    Return the minimum number of servers that a floor requires.

    The product is rounded before ``ceil``: as a float 0.07 * 100 is 7.000000000000001.

    >>> compute_floor_count(0.75, 18), compute_floor_count(0.07, 100)
    (14, 7)
    """
    return math.ceil(round(floor * expected_servers, 9))


def check_rules(config, overlay=None):
    """
    Check the rules between settings.

    :param config: base settings, or base settings merged with one overlay; parts
        that the schema rejects are skipped.
    :param overlay: the overlay; rules that it cannot break are skipped.
    :return: a list of (path, message), one for each violation.
    """
    services = _get_section(config, "services")
    routes = _get_section(config, "routes")
    checked_services, checked_routes = services, routes
    if overlay is not None:
        checked_services, checked_routes = _select_affected(overlay, services, routes)
    findings = []
    for name, service in checked_services.items():
        findings += _check_service(name, service)
    for name, route in checked_routes.items():
        findings += _check_service_of_route(name, route, config, services)
        findings += _check_route(name, route)
    if overlay is None or _changes_route_target(overlay.get("routes", {})):
        findings += _check_duplicates(routes)
    findings += _check_tokens(config)
    return findings


def _select_affected(overlay, services, routes):
    """Return the services and routes whose rules an overlay can break."""
    named_services = overlay.get("services", {})
    named_routes = overlay.get("routes", {})
    if not isinstance(named_services, dict) or not isinstance(named_routes, dict):
        return services, routes
    affected_services = {
        name: services[name] for name in named_services if name in services
    }
    affected_routes = {name: routes[name] for name in named_routes if name in routes}
    if named_services:
        for name, route in routes.items():
            service = route.get("service")
            if isinstance(service, str) and service in named_services:
                affected_routes[name] = route
    return affected_services, affected_routes


def _changes_route_target(routes):
    """Return whether an overlay's routes may change a method or a path."""
    if not isinstance(routes, dict):
        return True
    return any(
        not isinstance(route, dict) or "method" in route or "path" in route
        for route in routes.values()
    )


def _check_service(name, service):
    expected, floor = service.get("expected_servers"), service.get("floor")
    numbers = all(
        isinstance(value, (int, float)) and not isinstance(value, bool)
        for value in (expected, floor)
    )
    # A service with one server cannot meet a floor above 0 while that server is
    # ejected, so its floor is not checked.
    if numbers and 1 < expected <= 5000 and 0 <= floor <= 1:
        kept = compute_floor_count(floor, expected)
        if kept >= expected:
            yield (
                ("services", name, "floor"),
                f"the {expected} expected servers cannot meet this floor while one is "
                f"ejected or leaves: the floor requires {kept} of {expected} servers; "
                f"lower floor to at most "
                f"{math.floor((expected - 1) / expected * 1000) / 1000} or raise "
                "expected_servers",
            )
    detection = service.get("detection", {})
    if not isinstance(detection, dict):
        return
    first = _get_number_or_default(detection, "Detection", "ejection_ms")
    longest = _get_number_or_default(detection, "Detection", "max_ejection_ms")
    if first > longest:
        yield (
            ("services", name, "detection", "ejection_ms"),
            f"{first} exceeds max_ejection_ms, {longest}; lower it or raise the other",
        )


def _check_service_of_route(name, route, config, services):
    path = ("routes", name)
    service, defined = route.get("service"), config.get("services")
    if not isinstance(service, str) or not isinstance(defined, dict):
        return
    if service not in defined:
        close = difflib.get_close_matches(service, defined, n=1)
        advice = f"; did you mean {close[0]}?" if close else ""
        yield (
            (*path, "service"),
            f"route to no service: {json.dumps(service)} is not in services; define it "
            f"there or name another{advice}",
        )
    if (
        route.get("work") == "long"
        and service in services
        and _get_number_or_default(services[service], "Service", "long_share") == 0
    ):
        yield (
            (*path, "work"),
            f"long route on service {service}, whose long_share is 0; raise long_share "
            "or set work to short",
        )


def _check_route(name, route):
    path = ("routes", name)
    method = route.get("method")
    if route.get("idempotent") is False and method in ("GET", "HEAD"):
        yield (
            (*path, "idempotent"),
            f"a {method} route must be idempotent, because callers and proxies retry "
            f"{method}; set idempotent to true or use another method",
        )
    text = route.get("path")
    if isinstance(text, str) and "*" in text[:-1]:
        yield (
            (*path, "path"),
            "an asterisk may only be the last character; use an exact path or a prefix",
        )


def _check_duplicates(routes):
    first = {}
    for name, route in routes.items():
        target = (route.get("method"), route.get("path"))
        if not all(isinstance(part, str) for part in target):
            continue
        other = first.setdefault(target, name)
        if other != name:
            yield (
                ("routes", name, "path"),
                f"routes {other} and {name} both have {' '.join(target)}; remove one",
            )


def _check_tokens(config):
    tokens, addresses = config.get("tokens", {}), config.get("addresses", {})
    if not isinstance(tokens, dict) or not isinstance(addresses, dict):
        return
    accept = _get_number_or_default(tokens, "Tokens", "accept_ms")
    hold = _get_number_or_default(addresses, "Addresses", "hold_ms")
    if accept < hold:
        yield (
            ("tokens", "accept_ms"),
            f"tokens are accepted for {accept} ms, shorter than the {hold} ms that "
            "callers may hold addresses; raise accept_ms or lower addresses.hold_ms",
        )


def fill_defaults(value, definition):
    """
    Return checked settings with every default filled in.

    >>> fill_defaults({}, "Retries")
    {'share': 0.1, 'max_attempts': 3}
    """
    result = {}
    for key, node in load_schema()["$defs"][definition]["properties"].items():
        if key not in value and "default" not in node:
            continue
        item = value.get(key, node.get("default"))
        inner = node.get("additionalProperties") or {}
        if "$ref" in node:
            item = fill_defaults(item, node["$ref"].rsplit("/", 1)[1])
        elif "$ref" in inner:
            name = inner["$ref"].rsplit("/", 1)[1]
            item = {key: fill_defaults(part, name) for key, part in item.items()}
        result[key] = item
    return result
