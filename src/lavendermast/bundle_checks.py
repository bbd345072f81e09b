"""Merges base settings with overlays and checks a whole bundle."""

import re

from . import settings_checks

_SITE_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_SECTION_DEFINITIONS = {
    "services": "Service",
    "routes": "Route",
    "customers": "Customer",
}


def merge(base, overlay):
    """
    Return base settings with an overlay applied.

    Objects are merged, other values replace the base value, and null deletes the key.

    >>> merge({"a": {"b": 1, "c": 2}, "d": 3}, {"a": {"b": 5, "c": None}})
    {'a': {'b': 5}, 'd': 3}
    """
    if not isinstance(overlay, dict):
        return overlay
    result = dict(base) if isinstance(base, dict) else {}
    for key, value in overlay.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge(result.get(key), value)
    return result


def check_values(base, overlays, previous=None):
    """
    Return the findings in base settings and in the overlays by site.

    :param previous: an accepted bundle; entries that are the same in it are known to be
        valid and skip the schema check.
    :return: a list of (site, path, message); the site is ``None`` for the base.
    """
    changed = base
    if previous is not None:
        changed = _select_changed(base, previous["base"])
    found = settings_checks.check_schema(changed, "Config")
    found += settings_checks.check_rules(base)
    findings = [(None, *item) for item in found]
    base_errors = set(found)
    sites = base.get("sites") if isinstance(base, dict) else None
    for site, overlay in overlays.items():
        items = list(_check_site(site, sites))
        old = previous["overlays"].get(site, {}) if previous is not None else None
        items += _check_overlay(base, overlay, previous, old)
        new = [item for item in dict.fromkeys(items) if item not in base_errors]
        findings += [(site, *item) for item in new]
    return findings


def _select_changed(value, previous):
    """Return settings without the named entries that are unchanged."""
    if not isinstance(value, dict):
        return value
    changed = dict(value)
    for section in _SECTION_DEFINITIONS:
        new, old = value.get(section), previous.get(section)
        if isinstance(new, dict) and isinstance(old, dict):
            # repr() tells 12 from 12.0 and 1 from True, which compare equal.
            changed[section] = {
                name: item
                for name, item in new.items()
                if name not in old or repr(old[name]) != repr(item)
            }
    return changed


def _select_overridden(merged, overlay):
    """Return the parts of merged settings that an overlay sets."""
    selected = {"services": {}, "routes": {}}
    for key, value in overlay.items():
        if key not in merged:
            continue
        selected[key] = merged[key]
        if key in _SECTION_DEFINITIONS and isinstance(merged[key], dict):
            names = value if isinstance(value, dict) else merged[key]
            selected[key] = {k: merged[key][k] for k in names if k in merged[key]}
    return selected


def _check_site(site, sites):
    if not _SITE_NAME.fullmatch(site):
        yield (), "invalid site name: a name is letters, digits, _ . - only; rename"
    elif isinstance(sites, list) and site not in sites:
        known = ", ".join(map(str, sites)) or "none"
        yield (
            (),
            f"unknown site: base settings list {known} under sites; add "
            f"{site} there or rename the overlay",
        )


def _check_overlay(base, overlay, previous, previous_overlay):
    if not isinstance(overlay, dict):
        return [((), "wrong type: an overlay is an object; enclose it in braces")]
    if not isinstance(base, dict):
        return []
    findings = list(_check_entry_names(base, overlay))
    reported = {path for path, _ in findings}
    merged = merge(base, overlay)
    part = _select_overridden(merged, overlay)
    if previous is not None:
        part = _select_changed(part, merge(previous["base"], previous_overlay))
    if "sites" in overlay:
        findings.append(
            (("sites",), "sites is allowed in base.json only; move it there")
        )
    for path, message in settings_checks.check_schema(part, "Config"):
        if not (path in reported and message.startswith("missing key")):
            findings.append((path, message))
    return findings + settings_checks.check_rules(merged, overlay)


def _check_entry_names(base, overlay):
    """Yield entries not in the base that an overlay deletes or leaves incomplete."""
    for section, definition in _SECTION_DEFINITIONS.items():
        known, named = base.get(section, {}), overlay.get(section)
        if not isinstance(named, dict) or not isinstance(known, dict):
            continue
        for name, value in named.items():
            if name in known:
                continue
            singular = definition.lower()
            if value is None:
                message = f"deletes a {singular} that base.json lacks; remove the line"
                yield (section, name), message
            elif value == {} or any(
                message.startswith("missing key")
                for _, message in settings_checks.check_schema(value, definition)
            ):
                message = (
                    f"names a {singular} that base.json lacks; correct the name, "
                    f"define it in base.json, or give all its required keys here"
                )
                yield (section, name), message
