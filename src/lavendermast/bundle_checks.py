"""Merges base settings with overlays and checks a whole bundle."""

import re

from . import settings_checks

_SITE_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_NAMED_SECTIONS = {"services": "Service", "routes": "Route", "customers": "Customer"}


def merge(base, overlay):
    """
    Return base settings with an overlay applied.

    Objects merge, other values replace, null deletes.

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

    :param previous: an accepted bundle, whose entries are known to be right.
    :return: a list of (site, path, message); the site is ``None`` for the base.
    """
    part = base
    if previous is not None:
        part = _select_changed(base, previous["base"])
    found = settings_checks.check_schema(part, "Config")
    found += settings_checks.check_rules(base)
    findings = [(None, *item) for item in found]
    known = set(found)
    sites = base.get("sites") if isinstance(base, dict) else None
    for site, overlay in overlays.items():
        items = list(_check_site(site, sites))
        before = previous["overlays"].get(site, {}) if previous is not None else None
        items += _check_overlay(base, overlay, previous, before)
        new = [item for item in dict.fromkeys(items) if item not in known]
        findings += [(site, *item) for item in new]
    return findings


def _select_changed(value, before):
    """Return settings without the named entries that are as they were before."""
    if not isinstance(value, dict):
        return value
    part = dict(value)
    for section in _NAMED_SECTIONS:
        new, old = value.get(section), before.get(section)
        if isinstance(new, dict) and isinstance(old, dict):
            # Texts are compared, because 12 == 12.0 and 1 == True.
            part[section] = {
                name: item
                for name, item in new.items()
                if name not in old or repr(old[name]) != repr(item)
            }
    return part


def _select_named(merged, overlay):
    """Return the parts of merged settings that an overlay can have broken."""
    part = {"services": {}, "routes": {}}
    for key, value in overlay.items():
        if key not in merged:
            continue
        part[key] = merged[key]
        if key in _NAMED_SECTIONS and isinstance(merged[key], dict):
            names = value if isinstance(value, dict) else merged[key]
            part[key] = {k: merged[key][k] for k in names if k in merged[key]}
    return part


def _check_site(site, sites):
    if not _SITE_NAME.fullmatch(site):
        yield (), "overlay for no site: a name is letters, digits, _ . - only; rename"
    elif isinstance(sites, list) and site not in sites:
        known = ", ".join(map(str, sites)) or "none"
        yield (
            (),
            f"overlay for no site: base settings list {known} under sites; add "
            f"{site} there or rename the overlay",
        )


def _check_overlay(base, overlay, before, before_overlay):
    if not isinstance(overlay, dict):
        return [((), "wrong type: an overlay is an object; enclose it in braces")]
    if not isinstance(base, dict):
        return []
    findings = list(_check_names(base, overlay))
    refused = {path for path, _ in findings}
    merged = merge(base, overlay)
    part = _select_named(merged, overlay)
    if before is not None:
        part = _select_changed(part, merge(before["base"], before_overlay))
    if "sites" in overlay:
        findings.append((("sites",), "sites stands in base.json only; move it there"))
    for path, message in settings_checks.check_schema(part, "Config"):
        if not (path in refused and message.startswith("missing key")):
            findings.append((path, message))
    return findings + settings_checks.check_rules(merged, overlay)


def _check_names(base, overlay):
    """Yield what an overlay adds to or deletes from nothing."""
    for section, definition in _NAMED_SECTIONS.items():
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
