"""Tests of the command-line tool."""

import contextlib
import http.server
import json
import pathlib
import shutil
import threading

import pytest

from bench.incident_logs import generate_logs
from lavendermast import cli, report
from lavendermast.exceptions import LogError
from lavendermast.settings import build_config, parse_bundle
from lavendermast.settings_checks import fill_defaults
from lavendermast.settings_model import Config

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def run(*arguments):
    """Return the exit code of the tool."""
    return cli.run([str(argument) for argument in arguments])


@contextlib.contextmanager
def serve_admin(responses):
    """Serve JSON by path on a loopback port; yields the address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            self.send_response(200)
            self.end_headers()
            self.wfile.write(responses[self.path.split("?")[0]])

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def make_status(vm, version=4, ready=True):
    """Return the response of /status."""
    return json.dumps(
        {
            "vm": vm,
            "zone": "riga-1",
            "region": "riga",
            "state": "serving",
            "ready": ready,
            "boot_id": "b",
            "documents": {"config": {"version": version, "digest": "d", "age_s": 3}},
            "members": [{"vm": vm, "zone": "z", "state": "alive", "incarnation": 0}],
            "services": {
                "status": {"servers": [], "floor": 9, "available": 9},
                "archives": {"servers": [], "floor": 9, "available": 12},
            },
        }
    ).encode()


def test_settings_of_an_entry_process_are_checked_with_all_findings(tmp_path, capsys):
    """Guards against settings errors that show only when a process fails to start."""
    path = tmp_path / "entry.json"
    names = ("caller", "ready", "directory", "peer", "metrics", "store")
    settings = {f"{name}_address": "127.0.0.1:1" for name in names}
    settings |= {"vm": "v", "zone": "a", "region": "r", "zones": [], "seeds": []}
    path.write_text(json.dumps(settings))
    assert run("check", path) == 0
    del settings["seeds"]
    path.write_text(json.dumps({**settings, "cpu_share": 0, "colour": 1}))
    assert run("check", path) == 1
    captured = capsys.readouterr()
    for name in ("seeds", "cpu_share", "colour"):
        assert name in captured.out
    assert "3 findings" in captured.err


def test_check_distinguishes_valid_from_invalid_settings(tmp_path, capsys):
    """Guards against a pipeline that rolls out settings that the fleet rejects."""
    assert run("check", EXAMPLES / "latvia") == 0
    shutil.copytree(EXAMPLES / "latvia", tmp_path / "bad")
    (tmp_path / "bad" / "sites" / "rgia.json").write_text('{"colour": 1}')
    capsys.readouterr()
    assert run("check", tmp_path / "bad") == 1
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 2
    assert all("rgia.json:1: " in line for line in lines)
    assert run("check", tmp_path / "absent") == 1


def test_render_prints_the_effective_settings_of_the_fleet(capsys):
    """Guards against effective settings that differ from those of a VM."""
    assert run("render", EXAMPLES / "latvia", "--bundle", "--version", 7) == 0
    bundle = parse_bundle(capsys.readouterr().out.encode())
    assert bundle["version"] == 7
    assert run("render", EXAMPLES / "latvia", "--site", "latgale") == 0
    effective = json.loads(capsys.readouterr().out)
    assert Config.from_config(effective) == build_config(bundle, "latgale")
    assert fill_defaults(effective, "Config") == effective


@pytest.mark.parametrize(
    "arguments",
    [
        ["render", EXAMPLES / "latvia", "--bundle"],
        ["render", EXAMPLES / "latvia", "--site", "nowhere"],
        ["render", EXAMPLES / "latvia", "--version", "3"],
        ["status"],
        ["incident"],
        ["incident", "absent.log"],
        ["incident", "absent.log", "--since", "yesterday"],
        ["explain", "127.0.0.1:1", "GET", "/x"],
    ],
)
def test_failed_commands_print_the_cause_and_exit_with_2(arguments, capsys):
    """Guards against failures that a script cannot detect."""
    assert run(*arguments) == 2
    captured = capsys.readouterr()
    assert captured.err.startswith("lavendermast: ")
    assert "Traceback" not in captured.err


def test_status_shows_missing_vms_and_differing_versions(capsys):
    """Guards against a table that omits a VM that does not respond."""
    with (
        serve_admin({"/status": make_status("a1")}) as one,
        serve_admin({"/status": make_status("a2", version=3)}) as other,
        serve_admin({"/status": b"[]"}) as wrong,
    ):
        assert run("status", one) == 0
        assert "status (9 of 9)" in capsys.readouterr().out
        assert run("status", one, "127.0.0.1:1", wrong) == 1
        captured = capsys.readouterr()
        assert captured.out.count("missing") == 2
        assert "127.0.0.1:1 does not answer" in captured.err
        assert run("status", one, other) == 1
        assert "versions differ (3, 4)" in capsys.readouterr().err


def test_explain_prints_the_choice_and_passes_errors_on(capsys):
    """Guards against printing an error of the VM as if it were a choice."""
    choice = {"server": "s1", "reason": "two choices", "candidates": "s1:0,s2:3"}
    answer = {"route": "r", "service": "s", "in_set": True, "choice": choice}
    with serve_admin({"/explain": json.dumps(answer).encode()}) as address:
        assert run("explain", address, "get", "/x") == 0
        assert "two choices" in capsys.readouterr().out
    with serve_admin({"/explain": b'{"error": "no route"}'}) as address:
        assert run("explain", address, "GET", "/x") == 2


def test_incident_exit_code_reports_a_disagreement(tmp_path, capsys):
    """Guards against a disagreement that the text shows but the exit code does not."""
    sample = generate_logs(tmp_path, 300, vms=3, seed=2)
    out = tmp_path / "report.html"
    arguments = ["--callers", sample.callers, "--format", "page", "--output", out]
    assert run("incident", *sample.logs, *arguments) == 0
    assert out.read_text().startswith("<!DOCTYPE html>")
    text = sample.callers.read_text()
    sample.callers.write_text(text.replace('"status": 200', '"status": 201', 1))
    assert run("incident", *sample.logs, "--callers", sample.callers) == 1
    assert "DISAGREEMENT" in capsys.readouterr().out
    request = json.loads(text.splitlines()[0])["request"]
    assert run("incident", *sample.logs, "--request", request) == 0
    assert "received, deadline" in capsys.readouterr().out
    assert run("incident", *sample.logs, "--request", "absent") == 0
    assert "no request was selected" in capsys.readouterr().err


def test_page_without_matplotlib_exits_with_2(tmp_path, monkeypatch, capsys):
    """
    Guards against an uncaught import error.

    It occurs if matplotlib, an optional dependency, is not installed.
    """

    def fail():
        raise LogError("report pages need matplotlib")

    monkeypatch.setattr(report, "load_figure_class", fail)
    sample = generate_logs(tmp_path, 50, vms=2, seed=2)
    assert run("incident", *sample.logs, "--format", "page") == 2
