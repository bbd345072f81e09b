"""Loads, merges and checks settings."""

import ipaddress
import json
import pathlib
import re

from . import settings_checks
from .exceptions import SettingsError
from .findings import Finding, Source
from .jsontext import JsonTextError, parse_json
from .settings_model import Config, ProcessSettings

#: The store holds values of up to 1 MB.
MAX_BUNDLE_BYTES = 1_000_000
_SITE_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_BUNDLE_KEYS = {"version": int, "base": dict, "overlays": dict}
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


def _read_source(path, findings):
    """Return the source in a file; what is wrong is added to the findings."""
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        message = f"cannot be read ({error.strerror}); check the name and permissions"
        findings.append(Finding(str(path), "", 0, message))
        return None
    return _parse_source(str(path), content, findings)


def _parse_source(file, content, findings):
    if len(content) > MAX_BUNDLE_BYTES:
        message = (
            f"{len(content)} bytes exceed the store's limit of {MAX_BUNDLE_BYTES}; "
            "remove routes or customers that are not used"
        )
        findings.append(Finding(file, "", 0, message))
        return None
    try:
        source = Source(file, parse_json(content))
    except JsonTextError as error:
        message = f"not JSON: {error}; correct the text here"
        findings.append(Finding(file, "", error.line, message))
        return None
    findings.extend(source.find_duplicates())
    return source


def load_process_settings(path):
    """
    Return the local settings of one process.

    :param path: JSON file; raises ``SettingsError`` with every finding.
    """
    findings = []
    source = _read_source(path, findings)
    if source is None:
        raise SettingsError(findings)
    value = source.text.value
    found = settings_checks.check_schema(value, "ProcessSettings")
    if not found:
        found = list(_check_process(value))
    findings += [source.locate(*item) for item in found]
    if findings:
        raise SettingsError(findings)
    return ProcessSettings.from_config(value)


def _check_process(value):
    addresses = {key: value[key] for key in value if key.endswith("_address")}
    places = [((key,), text) for key, text in addresses.items()]
    places += [(("seeds", i), text) for i, text in enumerate(value.get("seeds", []))]
    for path, text in places:
        if not _is_address(text):
            message = f"{json.dumps(text)} is not an IPv4 address and port; give both"
            yield path, message
    seen = set()
    for index, key in enumerate(value["fleet_keys"]):
        if key["id"] in seen:
            message = f"two fleet keys have the id {key['id']}; number each key"
            yield ("fleet_keys", index, "id"), message
        seen.add(key["id"])


def _is_address(text):
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and int(port[:6]) <= 65535


def _check_sources(base, overlays):
    """Return the findings in a base source and in overlay sources by site."""
    value = base.value
    found = settings_checks.check_schema(value, "Config")
    found += settings_checks.check_rules(value)
    findings = [base.locate(*item) for item in found]
    known = set(found)
    sites = value.get("sites") if isinstance(value, dict) else None
    for site, source in overlays.items():
        overlay = source.value
        items = list(_check_site(site, sites))
        items += _check_overlay(value, overlay)
        items = [item for item in items if item not in known]
        findings += [source.locate(*item) for item in dict.fromkeys(items)]
    return findings


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


def _check_overlay(base, overlay):
    if not isinstance(overlay, dict):
        return [((), "wrong type: an overlay is an object; enclose it in braces")]
    if not isinstance(base, dict):
        return []
    findings = list(_check_names(base, overlay))
    refused = {path for path, _ in findings}
    merged = merge(base, overlay)
    # Only the parts that the overlay names can break the schema anew.
    part = {"services": {}, "routes": {}}
    for key, value in overlay.items():
        if key in merged:
            part[key] = merged[key]
            if key in _NAMED_SECTIONS and isinstance(merged[key], dict):
                names = value if isinstance(value, dict) else merged[key]
                part[key] = {k: merged[key][k] for k in names if k in merged[key]}
    if "sites" in overlay:
        findings.append((("sites",), "sites stands in base.json only; move it there"))
    for path, message in settings_checks.check_schema(part, "Config"):
        if not (path in refused and message.startswith("missing key")):
            findings.append((path, message))
    return findings + settings_checks.check_rules(merged)


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


def load_bundle(directory, version=1):
    """
    Return the checked bundle in an operators' directory.

    :param directory: holds ``base.json`` and ``sites/<site>.json``.
    :param version: version that the bundle gets.
    :return: a dict with ``version``, ``base`` and ``overlays``; raises
        ``SettingsError`` with every finding in every file.
    """
    directory = pathlib.Path(directory)
    findings = []
    base = _read_source(directory / "base.json", findings)
    overlays = {}
    for path in _list_overlays(directory, findings):
        source = _read_source(path, findings)
        if source is not None:
            overlays[path.stem] = source
    if base is None:
        raise SettingsError(findings)
    findings += _check_sources(base, overlays)
    bundle = {
        "version": version,
        "base": base.text.value,
        "overlays": {site: source.text.value for site, source in overlays.items()},
    }
    findings += _check_size(bundle, str(directory))
    if findings:
        findings.sort(key=lambda finding: (finding.file, finding.line))
        raise SettingsError(findings)
    return bundle


def _list_overlays(directory, findings):
    """Return the overlay files; any other entry is a finding."""
    sites = directory / "sites"
    if not sites.is_dir():
        return []
    paths = []
    for path in sorted(sites.iterdir()):
        if path.suffix == ".json" and path.is_file():
            paths.append(path)
        else:
            message = "overlay for no site: not a file <site>.json; rename or remove it"
            findings.append(Finding(str(path), "", 0, message))
    return paths


def _check_size(bundle, file):
    size = len(encode_bundle(bundle))
    if size > MAX_BUNDLE_BYTES:
        yield Finding(
            file,
            "",
            0,
            f"the bundle of {size} bytes exceeds the store's limit of "
            f"{MAX_BUNDLE_BYTES}; remove routes or customers that are not used",
        )


def encode_bundle(bundle):
    """
    Return a bundle as the bytes that belong into the store.

    >>> encode_bundle({"version": 1})
    b'{"version":1}'
    """
    # ASCII escapes keep lone surrogates encodable.
    return json.dumps(bundle, separators=(",", ":")).encode()


def check_bundle(value):
    """
    Return the findings in a bundle as it stands in the store.

    :param value: bytes or text as read, or the value read from them.
    :return: a tuple of findings; empty when the bundle may be put in force.
    """
    return _check_bundle(value)[1]


def parse_bundle(content):
    """
    Return the checked bundle in a value of the store.

    :param content: bytes; raises ``SettingsError`` with every finding.
    """
    bundle, findings = _check_bundle(content)
    if findings:
        raise SettingsError(findings)
    return bundle


def _check_bundle(value):
    if not isinstance(value, (bytes, str)):
        try:
            value = json.dumps(value, indent=1)
        except (TypeError, ValueError, RecursionError) as error:
            message = f"not JSON: {error}; give plain JSON values"
            return None, (Finding("config", "", 0, message),)
    if isinstance(value, str):
        value = value.encode(errors="surrogatepass")
    findings = []
    source = _parse_source("config", value, findings)
    if source is None:
        return None, tuple(findings)
    bundle = source.text.value
    wrong = list(_check_envelope(bundle))
    findings += [source.locate(*item) for item in wrong]
    if not wrong:
        base = Source("config", source.text, ("base",))
        overlays = {
            site: Source("config", source.text, ("overlays", site))
            for site in bundle["overlays"]
        }
        findings += _check_sources(base, overlays)
    return bundle, tuple(findings)


def _check_envelope(bundle):
    if not isinstance(bundle, dict):
        yield (), "wrong type: a bundle is an object; make it with lavendermast render"
        return
    for key, kind in _BUNDLE_KEYS.items():
        if key not in bundle:
            yield (), f"missing key {key}; make bundles with lavendermast render"
        elif not isinstance(bundle[key], kind) or isinstance(bundle[key], bool):
            yield (key,), "wrong type; make bundles with lavendermast render"
    for key in bundle:
        if key not in _BUNDLE_KEYS:
            yield (key,), f"unknown key; remove it (known: {', '.join(_BUNDLE_KEYS)})"
    version = bundle.get("version")
    if isinstance(version, int) and not 0 <= version < 2**63:
        yield ("version",), f"{version} is out of range; give 0 to 2^63 - 1"


def build_config(bundle, site):
    """
    Return the settings in force at a site.

    :param bundle: a checked bundle.
    :param site: name of the site; one without an overlay gets the base settings.
    :return: a ``settings_model.Config``.
    """
    return Config.from_config(merge_site(bundle, site))


def merge_site(bundle, site):
    """Return a site's effective settings as plain JSON values."""
    return merge(bundle["base"], bundle["overlays"].get(site, {}))
