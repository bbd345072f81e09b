"""Quick check that accepts most values that are valid under a JSON schema."""

import re

_TYPES = {
    "object": dict,
    "array": list,
    "string": str,
    "number": (int, float),
    "integer": int,
    "boolean": bool,
}
#: Keywords that do not restrict the value.
_ANNOTATIONS = frozenset({"type", "description", "default"})


def is_surely_valid(value, schema, definitions):
    """
    Return whether a value is certainly valid.

    ``False`` means that the value is invalid or that the schema has a keyword that is
    not supported here; :mod:`jsonschema` then decides.

    :param definitions: mapping of name to the schemas that ``$ref`` names.

    >>> is_surely_valid(3, {"type": "integer", "minimum": 1}, {})
    True
    >>> is_surely_valid(True, {"type": "integer"}, {})
    False
    """
    if "$ref" in schema:
        name = schema["$ref"].removeprefix("#/$defs/")
        return name in definitions and is_surely_valid(
            value, definitions[name], definitions
        )
    kind = schema.get("type")
    if not isinstance(kind, str) or not isinstance(value, _TYPES.get(kind, ())):
        return False
    if isinstance(value, bool) and kind != "boolean":
        return False
    return all(
        keyword in _ANNOTATIONS
        or keyword in _CHECKS
        and _CHECKS[keyword](value, schema, definitions)
        for keyword in schema
    )


def _check_properties(value, schema, definitions):
    known = schema["properties"]
    return all(
        is_surely_valid(item, known[key], definitions)
        for key, item in value.items()
        if key in known
    )


def _check_additional(value, schema, definitions):
    rule = schema["additionalProperties"]
    known = schema.get("properties", {})
    others = [item for key, item in value.items() if key not in known]
    if isinstance(rule, bool):
        return rule or not others
    return all(is_surely_valid(item, rule, definitions) for item in others)


def _check_items(value, schema, definitions):
    return all(is_surely_valid(item, schema["items"], definitions) for item in value)


#: Functions of value, schema and definitions by the keyword that they check.
_CHECKS = {
    "properties": _check_properties,
    "additionalProperties": _check_additional,
    "items": _check_items,
    "required": lambda value, schema, _: all(
        key in value for key in schema["required"]
    ),
    "minLength": lambda value, schema, _: len(value) >= schema["minLength"],
    "minItems": lambda value, schema, _: len(value) >= schema["minItems"],
    "minimum": lambda value, schema, _: value >= schema["minimum"],
    "maximum": lambda value, schema, _: value <= schema["maximum"],
    "exclusiveMinimum": lambda value, schema, _: value > schema["exclusiveMinimum"],
    "pattern": lambda value, schema, _: bool(re.search(schema["pattern"], value)),
}
