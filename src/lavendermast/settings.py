"""Loads, merges and checks settings."""

import ipaddress
import json
import pathlib

from . import bundle_checks, settings_checks
from .bundle_checks import merge
from .exceptions import SettingsError
from .findings import Finding, Source
from .jsontext import JsonTextError, parse_json
from .settings_model import Config, EntrySettings, ProcessSettings

#: The store accepts values of up to 1 MB.
MAX_BUNDLE_BYTES = 1_000_000
_BUNDLE_KEY_TYPES = {"version": int, "base": dict, "overlays": dict}


def _read_source(path, findings):
    """
    Return the parsed source of a file, or ``None`` if it cannot be parsed.

    :param findings: list to which every problem is appended.
    """
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
    value = _load_checked(path, "ProcessSettings", _check_process)
    return ProcessSettings.from_config(value)


def load_entry_settings(path):
    """
    Return the settings of one entry process.

    :param path: JSON file; raises ``SettingsError`` with every finding.
    """
    return EntrySettings.from_config(_load_checked(path, "EntrySettings"))


def _load_checked(path, definition, check=None):
    """Return a file's value after the schema check and an optional further check."""
    findings = []
    source = _read_source(path, findings)
    if source is None:
        raise SettingsError(findings)
    value = source.text.value
    found = settings_checks.check_schema(value, definition)
    if not found and check is not None:
        found = list(check(value))
    findings += [source.locate(*item) for item in found]
    if findings:
        raise SettingsError(findings)
    return value


def _check_process(value):
    addresses = {key: value[key] for key in value if key.endswith("_address")}
    address_fields = [((key,), text) for key, text in addresses.items()]
    address_fields += [
        (("seeds", i), text) for i, text in enumerate(value.get("seeds", []))
    ]
    for path, text in address_fields:
        if not _is_address(text):
            message = f"{json.dumps(text)} is not an IPv4 address and port; give both"
            yield path, message
    seen = set()
    for index, key in enumerate(value["fleet_keys"]):
        if key["id"] in seen:
            message = f"two fleet keys have the id {key['id']}; give each its own"
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
    values = {site: source.value for site, source in overlays.items()}
    return [
        (base if site is None else overlays[site]).locate(path, message)
        for site, path, message in bundle_checks.check_values(base.value, values)
    ]


def load_bundle(directory, version=1):
    """
    Return the checked bundle in an operators' directory.

    :param directory: holds ``base.json`` and ``sites/<site>.json``.
    :param version: version number to give the bundle.
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
    """Return the overlay files; report any other directory entry as a finding."""
    sites = directory / "sites"
    if not sites.is_dir():
        return []
    paths = []
    for path in sorted(sites.iterdir()):
        if path.suffix == ".json" and path.is_file():
            paths.append(path)
        else:
            message = "not an overlay file named <site>.json; rename or remove it"
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
    Return a bundle as the bytes to write to the store.

    >>> encode_bundle({"version": 1})
    b'{"version":1}'
    """
    # json.dumps escapes non-ASCII characters, so lone surrogates can be encoded.
    return json.dumps(bundle, separators=(",", ":")).encode()


def check_bundle(value):
    """
    Return the findings in a bundle of the store.

    :param value: bytes or text as read, or the value read from them.
    :return: a tuple of findings; empty if the bundle may be applied.
    """
    return _parse_and_check(value)[1]


def parse_bundle(content, previous=None):
    """
    Parse and check a bundle read from the store.

    :param content: bytes; raises ``SettingsError`` with every finding.
    :param previous: a bundle accepted earlier; entries that are unchanged since then
        skip the schema check. The result is the same as without it.
    :return: the bundle.
    """
    bundle = _parse_valid_bundle(content, previous)
    if bundle is not None:
        return bundle
    bundle, findings = _parse_and_check(content)
    if findings:
        raise SettingsError(findings)
    return bundle


def _parse_valid_bundle(content, previous):
    """
    Return a valid bundle, or ``None`` if the full check has to report findings.

    This is the fast path: it keeps no line numbers.
    """
    if not isinstance(content, bytes) or len(content) > MAX_BUNDLE_BYTES:
        return None
    try:
        bundle = json.loads(
            content.decode(),
            object_pairs_hook=_build_unique_dict,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError):
        return None
    if any(True for _ in _check_top_level(bundle)):
        return None
    found = bundle_checks.check_values(bundle["base"], bundle["overlays"], previous)
    return None if found else bundle


def _build_unique_dict(pairs):
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("duplicate key")
    return result


def _reject_constant(name):
    raise ValueError(f"{name} is not valid JSON")


def _parse_and_check(value):
    if not isinstance(value, (bytes, str)):
        try:
            value = encode_bundle(value)
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
    top_level_errors = list(_check_top_level(bundle))
    findings += [source.locate(*item) for item in top_level_errors]
    if not top_level_errors:
        base = Source("config", source.text, ("base",))
        overlays = {
            site: Source("config", source.text, ("overlays", site))
            for site in bundle["overlays"]
        }
        findings += _check_sources(base, overlays)
    return bundle, tuple(findings)


def _check_top_level(bundle):
    if not isinstance(bundle, dict):
        yield (
            (),
            "wrong type: a bundle is an object; create bundles with lavendermast "
            "render --bundle",
        )
        return
    for key, kind in _BUNDLE_KEY_TYPES.items():
        if key not in bundle:
            yield (
                (),
                f"missing key {key}; create bundles with lavendermast render --bundle",
            )
        elif not isinstance(bundle[key], kind) or isinstance(bundle[key], bool):
            yield (
                (key,),
                "wrong type; create bundles with lavendermast render --bundle",
            )
    for key in bundle:
        if key not in _BUNDLE_KEY_TYPES:
            yield (
                (key,),
                f"unknown key; remove it (known: {', '.join(_BUNDLE_KEY_TYPES)})",
            )
    version = bundle.get("version")
    if isinstance(version, int) and not 0 <= version < 2**63:
        yield ("version",), f"{version} is out of range; give 0 to 2^63 - 1"


def build_config(bundle, site):
    """
    Return the effective settings of a site.

    :param bundle: a checked bundle.
    :param site: name of the site; without an overlay it has the base settings.
    :return: a ``settings_model.Config``.
    """
    return Config.from_config(merge_site(bundle, site))


def merge_site(bundle, site):
    """Return the effective settings of a site as plain JSON values."""
    return merge(bundle["base"], bundle["overlays"].get(site, {}))
