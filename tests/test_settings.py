"""Tests of loading, merging and checking settings."""

import copy
import json
import pathlib

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from lavendermast import schemamatch, settings_checks
from lavendermast.exceptions import SettingsError
from lavendermast.settings import (
    build_config,
    check_bundle,
    encode_bundle,
    load_bundle,
    load_process_settings,
    merge,
    parse_bundle,
)
from lavendermast.settings_checks import check_rules

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["mauritius", "latvia"])
def test_examples_are_accepted_from_files_and_from_the_store(name):
    """Guards against a schema change that makes the examples invalid."""
    bundle = load_bundle(EXAMPLES / name, version=4)
    assert parse_bundle(encode_bundle(bundle)) == bundle
    config = build_config(bundle, next(iter(bundle["overlays"])))
    assert config != build_config(bundle, "elsewhere")
    assert config.services["bookings"].floor == 0.75
    assert config.services["archives"].floor == 0.7


def test_latvia_detects_faster_than_mauritius():
    """
    Guards against thresholds that contradict the priorities of the deployments.

    Latvia needs a shorter window and fewer samples than Mauritius.
    """
    mauritius, latvia = (
        build_config(load_bundle(EXAMPLES / name), "").services["bookings"].detection
        for name in ("mauritius", "latvia")
    )
    assert latvia.window_ms < mauritius.window_ms
    assert latvia.min_samples < mauritius.min_samples


INVALID_BASE = """{
  "sites": ["north"],
  "colour": 1,
  "services": {
    "stock": {"expected_servers": "12", "floor": 0.75},
    "small": {"expected_servers": 3, "floor": 0.75},
    "shares": {"expected_servers": 12, "floor": 1.5},
    "lacking": {"expected_servers": 12},
    "whole": {"expected_servers": 12.0, "floor": 0.5},
    "calm": {"expected_servers": 12, "floor": 0.5, "long_share": 0,
      "detection": {"ejection_ms": 9000, "max_ejection_ms": 500}},
    "calm": {"expected_servers": 12, "floor": 0.5, "long_share": 0,
      "detection": {"ejection_ms": 9000, "max_ejection_ms": 500}}
  },
  "routes": {
    "lost": {"method": "GET", "path": "/a", "service": "sotck", "idempotent": true},
    "one": {"method": "GET", "path": "/b", "service": "calm", "idempotent": true},
    "two": {"method": "GET", "path": "/b", "service": "calm", "idempotent": true},
    "slow": {"method": "GET", "path": "/c", "service": "calm", "idempotent": true,
      "work": "long"},
    "unsafe": {"method": "GET", "path": "/d", "service": "calm", "idempotent": false},
    "verb": {"method": "FETCH", "path": "/e", "service": "calm", "idempotent": true},
    "star": {"method": "GET", "path": "/f*g", "service": "calm", "idempotent": true},
    "form": {"method": "GET", "path": "g", "service": "calm", "idempotent": true},
    "bare": {"method": "GET", "path": "/h", "service": "calm", "idempotent": true,
      "timeout": 5}
  },
  "tokens": {"accept_ms": 1000},
  "limits": []
}
"""
NORTH = """{
  "services": {"calm": {"floor": 0.999}, "new": {"floor": 0.5}},
  "routes": {"gone": null},
  "customers": {"nobody": {}}
}
"""
EXPECTED = [
    ("base.json", 3, "colour", "unknown key"),
    ("base.json", 5, "services.stock.expected_servers", "wrong type"),
    ("base.json", 6, "services.small.floor", "cannot meet"),
    ("base.json", 7, "services.shares.floor", "out of range"),
    ("base.json", 8, "services.lacking", "missing key floor"),
    ("base.json", 9, "services.whole.expected_servers", "wrong type"),
    ("base.json", 12, "services.calm", "duplicate key"),
    ("base.json", 13, "services.calm.detection.ejection_ms", "exceeds"),
    ("base.json", 16, "routes.lost.service", "route to no service"),
    ("base.json", 18, "routes.two.path", "routes one and two"),
    ("base.json", 20, "routes.slow.work", "long_share is 0"),
    ("base.json", 21, "routes.unsafe.idempotent", "must be idempotent"),
    ("base.json", 22, "routes.verb.method", "not one of"),
    ("base.json", 23, "routes.star.path", "asterisk"),
    ("base.json", 24, "routes.form.path", "not of the form"),
    ("base.json", 26, "routes.bare.timeout", "did you mean timeout_ms"),
    ("base.json", 28, "tokens.accept_ms", "shorter than"),
    ("base.json", 29, "limits", "wrong type"),
    ("north.json", 2, "services.calm.floor", "cannot meet"),
    ("north.json", 2, "services.new", "base.json lacks"),
    ("north.json", 3, "routes.gone", "deletes a route"),
    ("north.json", 4, "customers.nobody", "base.json lacks"),
    ("south.json", 1, "", "unknown site: base settings list"),
    ("torn.json", 2, "", "not JSON"),
    ("notes.txt", 0, "", "not an overlay file named <site>.json"),
    ("large.json", 0, "", "1000000"),
]


def write_invalid_directory(directory):
    """Write a settings directory with every kind of fault."""
    sites = directory / "sites"
    sites.mkdir()
    (directory / "base.json").write_text(INVALID_BASE)
    (sites / "north.json").write_text(NORTH)
    (sites / "south.json").write_text("{}")
    (sites / "torn.json").write_text('{"retries":\n')
    (sites / "notes.txt").write_text("")
    (sites / "large.json").write_text('"' + "x" * 1_000_000 + '"')


def test_every_kind_of_fault_is_reported_in_one_run_with_its_place(tmp_path):
    """Guards against faults that are reported only after others are corrected."""
    write_invalid_directory(tmp_path)
    with pytest.raises(SettingsError) as caught:
        load_bundle(tmp_path)
    found = [
        (pathlib.Path(finding.file).name, finding.line, finding.path, finding.message)
        for finding in caught.value.findings
    ]
    missing = [
        wanted
        for wanted in EXPECTED
        if not any(wanted[:3] == got[:3] and wanted[3] in got[3] for got in found)
    ]
    assert missing == []
    assert len(found) == len(EXPECTED)


def test_overlay_may_add_a_service_that_is_complete(tmp_path):
    """Guards against rejecting a service that only one site runs."""
    bundle = copy.deepcopy(load_bundle(EXAMPLES / "latvia"))
    extra = {"expected_servers": 4, "floor": 0.5}
    bundle["overlays"]["riga"] = {"services": {"extra": extra}}
    assert check_bundle(bundle) == ()
    assert build_config(bundle, "riga").services["extra"].slots == 6


PROCESS = {
    "vm": "a1",
    "region": "riga",
    "zone": "riga-1",
    "site": "riga",
    "caller_address": "127.0.0.1:8000",
    "peer_address": "127.0.0.1:8001",
    "admin_address": "127.0.0.1:8002",
    "store_address": "127.0.0.1:8003",
    "fleet_keys": [{"id": 1, "secret": "0123456789abcdef"}],
}


def test_process_settings_report_faults_and_keep_secrets_out(tmp_path):
    """
    Guards against secrets in error messages and invalid addresses that get through.

    Such an address would fail only when the process binds it.
    """
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(PROCESS))
    assert load_process_settings(path).log_path == "-"
    path.write_text(json.dumps({**PROCESS, "peer_address": "127.0.0.1:80010"}))
    with pytest.raises(SettingsError, match="peer_address"):
        load_process_settings(path)
    keys = [{"id": 1, "secret": "hidden"}, {"id": 1, "secret": 778899}]
    path.write_text(json.dumps({**PROCESS, "fleet_keys": keys}))
    with pytest.raises(SettingsError) as caught:
        load_process_settings(path)
    assert len(caught.value.findings) == 2
    assert "hidden" not in str(caught.value)
    assert "778899" not in str(caught.value)
    with pytest.raises(SettingsError, match="cannot be read"):
        load_process_settings(tmp_path / "absent.json")


LATVIA = load_bundle(EXAMPLES / "latvia")
WORDS = ["version", "base", "overlays", "services", "routes", "customers", "tokens"]
WORDS += ["floor", "expected_servers", "path", "method", "service", "detection", "x"]
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(WORDS) | st.text(max_size=3), inner)
    ),
    max_leaves=20,
)


def check_content(content):
    """Parse content, which may raise nothing but findings."""
    try:
        bundle = parse_bundle(content)
    except SettingsError as error:
        assert error.findings
        str(error).encode()
        return
    build_config(bundle, "site")


@given(base=JSON_VALUES, overlay=JSON_VALUES)
@hypothesis_settings(max_examples=200)
def test_any_json_gives_findings_only(base, overlay):
    """Guards against a value in the store that crashes the process."""
    check_content(json.dumps(base))
    bundle = {"version": 1, "base": base, "overlays": {"site": overlay}}
    assert isinstance(check_bundle(bundle), tuple)
    check_content(json.dumps(bundle))


@given(part=JSON_VALUES, key=st.sampled_from(WORDS), in_base=st.booleans())
@hypothesis_settings(max_examples=200)
def test_any_part_of_an_example_gives_findings_only(part, key, in_base):
    """Guards against a crash on a fault deep inside otherwise valid settings."""
    bundle = copy.deepcopy(LATVIA)
    target = bundle["base"] if in_base else bundle["overlays"]["latgale"]
    for section in (target, target["services"]["archives"], target["routes"]):
        section[key] = part
        check_content(json.dumps(bundle))


EDITS = st.sampled_from(
    [None, 0, 1, 12, 12.0, True, 0.75, 0.99, "long", "GET", "/jobs/*", "bookings", {}]
)
PLACES = st.sampled_from(
    [("services", name) for name in ("archives", "bookings", "new")]
    + [("routes", name) for name in ("job-status", "payment", "spec-sheet", "new")]
    + [("tokens",), ("addresses",), ("customers", "trade")]
)
KEYS = st.sampled_from(
    [
        "expected_servers",
        "floor",
        "long_share",
        "path",
        "method",
        "service",
        "work",
        "idempotent",
        "accept_ms",
        "hold_ms",
        "weight",
    ]
)


@given(
    edits=st.lists(st.tuples(st.booleans(), PLACES, KEYS, EDITS), max_size=4),
    removed=st.sampled_from([None, ("services", "status"), ("routes", "payment")]),
)
@hypothesis_settings(max_examples=300)
def test_check_against_the_previous_bundle_gives_the_same_verdict(edits, removed):
    """
    Guards against VMs that disagree on whether a bundle is valid.

    The check skips entries that are unchanged since the previous bundle, which may
    differ between VMs.
    """
    bundle = copy.deepcopy(LATVIA)
    if removed:
        del bundle["base"][removed[0]][removed[1]]
    for in_base, place, key, value in edits:
        target = bundle["base"] if in_base else bundle["overlays"]["latgale"]
        for part in place:
            target = target.setdefault(part, {})
        target[key] = value
    content = encode_bundle(bundle)
    refused = bool(check_bundle(content))
    for previous in (None, LATVIA):
        try:
            assert encode_bundle(parse_bundle(content, previous)) == content
            assert not refused
        except SettingsError:
            assert refused
    base, overlay = bundle["base"], bundle["overlays"]["latgale"]
    known = set(check_rules(base))
    if not known:
        merged = merge(base, overlay)
        assert bool(check_rules(merged)) == bool(check_rules(merged, overlay))


@given(
    content=st.binary(max_size=60) | st.text(alphabet='{}[]",:\\0-e.\n', max_size=40)
)
@hypothesis_settings(max_examples=400)
def test_any_bytes_give_findings_only(content):
    """Guards against bytes in the store that crash the process."""
    check_content(content)


@pytest.mark.parametrize("content", ["[" * 100_000, "9" * 5000, "1e999", "NaN", ""])
def test_hostile_text_gives_findings_only(content):
    """Guards against text that exhausts the stack or the number parser."""
    check_content(content)


ENTRY_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-3, 5000)
    | st.floats(allow_nan=False)
    | st.sampled_from(["", "a", "10.0.0.1:80", "10.0.0.1:"]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.sampled_from(["zone", "region", "x"]), inner, max_size=3)
    ),
    max_leaves=4,
)


@given(st.data())
def test_quick_check_accepts_only_what_the_schema_accepts(data):
    """Guards against settings that are used although the schema rejects them."""
    definitions = settings_checks.load_schema()["$defs"]
    schema = definitions["EntrySettings"]
    value = {}
    for key, node in schema["properties"].items():
        good = {"string": "10.0.0.1:80", "number": 0.5, "integer": 1, "array": []}[
            node["type"]
        ]
        value[key] = data.draw(st.just(good) | ENTRY_VALUES)
    for key in data.draw(st.lists(st.sampled_from(sorted(value)), max_size=2)):
        value.pop(key, None)
    value |= data.draw(st.just({}) | st.just({"unknown": 1}))
    errors = list(settings_checks.make_validator("EntrySettings").iter_errors(value))
    if schemamatch.is_surely_valid(value, schema, definitions):
        assert not errors


def test_quick_check_accepts_the_settings_of_an_entry_process():
    """Guards against a start that always needs the slow check."""
    definitions = settings_checks.load_schema()["$defs"]
    properties = definitions["EntrySettings"]["properties"]
    value = {
        key: node["default"] for key, node in properties.items() if "default" in node
    }
    value |= {key: "10.0.0.1:80" for key in properties if key.endswith("_address")}
    value |= {"vm": "a", "zone": "z", "region": "r", "seeds": ["10.0.0.1:80"]}
    value["zones"] = [{"zone": "z", "region": "r"}]
    assert schemamatch.is_surely_valid(value, definitions["EntrySettings"], definitions)
    value["grace_s"] = 0
    assert not schemamatch.is_surely_valid(
        value, definitions["EntrySettings"], definitions
    )
