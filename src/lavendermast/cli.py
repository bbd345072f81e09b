"""The command-line tool ``lavendermast``."""

import concurrent.futures
import contextlib
import datetime
import enum
import hashlib
import json
import os
import pathlib
import re
import sys
import urllib.parse

import defopt
import urllib3

from . import incident_output, report
from .exceptions import LavendermastError, SettingsError
from .incident import Filter, Incident
from .settings import encode_bundle, load_bundle, load_entry_settings, merge_site
from .settings_checks import fill_defaults

DIGEST_CHARACTERS = 16
_DIGEST = re.compile(r"[0-9a-f]{16}")
ADMIN_TIMEOUT_S = 3.0
#: Status requests sent in parallel, so that timeouts of missing VMs do not add up.
MAX_PARALLEL_REQUESTS = 16
_STATUS_COLUMNS = ("vm", "zone", "state", "ready", "config", "alive", "at floor")


class CommandError(LavendermastError):
    """A command cannot be carried out; the message says what to change."""


class Format(enum.Enum):
    """Formats of an incident report."""

    text = "text"
    json = "json"
    page = "page"


def check(path: pathlib.Path):
    """
    Check a settings directory, or a file with the settings of an entry process.

    A directory contains base.json and sites/<site>.json.

    Prints each finding as FILE:LINE: PATH: MESSAGE. Exit code 0 means that the
    settings can be rolled out, 1 that there are findings.

    :param path: directory that contains base.json, or a JSON file.
    """
    try:
        if path.is_file():
            settings = load_entry_settings(path)
            print(f"settings of {settings.vm} are valid", file=sys.stderr)
            return 0
        bundle = load_bundle(path)
    except SettingsError as error:
        for finding in error.findings:
            print(finding)
        print(
            f"{len(error.findings)} findings; the settings cannot be rolled out",
            file=sys.stderr,
        )
        return 1
    sites = ", ".join(sorted(bundle["overlays"])) or "none"
    print(f"settings are valid; overlays: {sites}", file=sys.stderr)
    return 0


def render(
    directory: pathlib.Path, *, site: str = "", bundle: bool = False, version: int = 0
):
    """
    Print the effective settings of a site, or the bundle for the store.

    :param directory: directory that contains base.json.
    :param site: site whose overlay is applied; by default the base settings only.
    :param bundle: print the bundle, to be stored under the key config.
    :param version: version of the bundle, higher than that of the previous bundle.
    """
    if bundle and version < 1:
        raise CommandError(
            "--bundle needs --version N, with N higher than the version in force "
            "(lavendermast status shows it)"
        )
    if bundle and site:
        raise CommandError("--bundle includes all sites; omit --site")
    if version and not bundle:
        raise CommandError(
            "--version requires --bundle; add --bundle or omit --version"
        )
    loaded = load_bundle(directory, version)
    if bundle:
        print(encode_bundle(loaded).decode())
        return 0
    known = loaded["base"].get("sites", []) + list(loaded["overlays"])
    if site and site not in known:
        names = ", ".join(dict.fromkeys(known)) or "none"
        raise CommandError(f"unknown site {site}; use one of: {names}")
    effective = fill_defaults(merge_site(loaded, site), "Config")
    print(json.dumps(effective, indent=2))
    return 0


def fetch_json(address, path):
    """
    Fetch a JSON object from an admin address.

    :param address: ``ip:port`` of a VM's admin listener.
    """
    url = f"http://{address}{path}"
    try:
        response = urllib3.PoolManager(retries=False).request(
            "GET", url, timeout=ADMIN_TIMEOUT_S
        )
        data = json.loads(response.data)
    except urllib3.exceptions.HTTPError as error:
        raise CommandError(
            f"{address} does not answer ({type(error).__name__}); check that the VM "
            "runs and that this is its admin_address"
        ) from None
    except ValueError:
        raise CommandError(
            f"{address} answered {response.status} without JSON; check that it is an "
            "admin_address"
        ) from None
    if not isinstance(data, dict):
        raise CommandError(f"{address} answered with JSON that is not an object")
    return data


def summarize_status(status):
    """
    Return the cells of a VM's row in the status table.

    >>> summarize_status({"vm": "a", "ready": True, "members": [{"state": "alive"}]})
    ['a', '-', '-', 'yes', '-', '1/1', 'none']
    """
    members = status.get("members", [])
    alive = sum(member.get("state") == "alive" for member in members)
    config = status.get("documents", {}).get("config", {})
    services_at_floor = [
        f"{name} ({service.get('available')} of {service.get('floor')})"
        for name, service in sorted(status.get("services", {}).items())
        if service.get("available", 0) <= service.get("floor", 0)
    ]
    return [
        str(status.get("vm", "-")),
        str(status.get("zone", "-")),
        str(status.get("state", "-")),
        "yes" if status.get("ready") else "no",
        str(config.get("version", "-")),
        f"{alive}/{len(members)}",
        ", ".join(services_at_floor) or "none",
    ]


def _read_status(address):
    """Return a VM's cells and, if it is missing, the error message."""
    try:
        return summarize_status(fetch_json(address, "/status")), ""
    except CommandError as error:
        return ["missing", *["-"] * (len(_STATUS_COLUMNS) - 1)], str(error)
    except (AttributeError, TypeError):
        text = (
            f"the JSON from {address} is not a /status response; check that the VM "
            "runs the same release as this tool"
        )
        return ["missing", *["-"] * (len(_STATUS_COLUMNS) - 1)], text


def format_table(rows):
    """Return rows of cells as lines of text with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def status(*address: str):
    """
    Print a table of VMs: state, configuration version, members, services at floor.

    Exit code 1 means that a VM is missing, not ready, or has another configuration
    version than the others.

    :param address: admin addresses, each IP:PORT.
    """
    if not address:
        raise CommandError("give at least one admin address, such as 127.0.0.1:9000")
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_REQUESTS) as pool:
        results = list(pool.map(_read_status, address))
    rows = [[item, *cells] for item, (cells, _) in zip(address, results, strict=True)]
    missing = [error for _, error in results if error]
    for line in format_table([["address", *_STATUS_COLUMNS], *rows]):
        print(line)
    for text in missing:
        print(text, file=sys.stderr)
    present = [row for row in rows if row[1] != "missing"]
    versions = {row[5] for row in present}
    if len(versions) > 1:
        names = ", ".join(sorted(versions))
        print(
            f"configuration versions differ ({names}); a new version can take up to "
            "7 s to reach all VMs, so retry after 7 s, then look for config_rejected "
            "in the logs",
            file=sys.stderr,
        )
    ready = all(row[4] == "yes" for row in present)
    return 0 if not missing and ready and len(versions) <= 1 else 1


def explain(address: str, method: str, path: str):
    """
    Print how a VM would route a request now, without sending the request.

    :param address: admin address, IP:PORT.
    :param method: HTTP method, such as GET.
    :param path: path of the request, such as /stock/12.
    """
    query = urllib.parse.urlencode({"method": method.upper(), "path": path})
    answer = fetch_json(address, f"/explain?{query}")
    if "error" in answer:
        raise CommandError(f"{answer['error']}; lavendermast render lists the routes")
    choice = answer.get("choice") or {}
    print(f"route       {answer.get('route')}")
    print(f"service     {answer.get('service')}")
    print(f"served here {'yes' if answer.get('in_set') else 'no, by other VMs'}")
    print(f"server      {choice.get('server')} ({choice.get('reason')})")
    print(f"candidates  {choice.get('candidates')}")
    print(f"config      {answer.get('config_version')}")
    return 0


def parse_time(text):
    """
    Parse Unix seconds or an ISO 8601 time; return Unix seconds.

    >>> parse_time("1700000000"), parse_time("2023-11-14T22:13:20Z")
    (1700000000.0, 1700000000.0)
    """
    if not text:
        return None
    try:
        return float(text)
    except ValueError:
        pass
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise CommandError(
            f"invalid time {text}; use Unix seconds or ISO 8601 in UTC, such as "
            "2026-05-04T06:30:00"
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


def get_key_digest(text):
    """
    Return the digest by which the logs identify an idempotency key.

    A digest is returned unchanged, an empty text gives ``None``.

    >>> get_key_digest("a" * 16), get_key_digest("token.part")
    ('aaaaaaaaaaaaaaaa', '80a124875f21bbfc')
    """
    if not text or _DIGEST.fullmatch(text):
        return text or None
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


def incident(
    *log: str,
    callers: list[str] = (),
    request: str = "",
    customer: str = "",
    service: str = "",
    server: str = "",
    key: str = "",
    since: str = "",
    until: str = "",
    stories: bool = False,
    format: Format = Format.text,
    output: str = "-",
):
    """
    Rebuild the traces of requests from the decision logs of many VMs.

    Exit code 1 means that logs contradict each other or a caller's record.

    :param log: decision logs; - is standard input.
    :param callers: callers' logs, JSON lines, to compare with; give it after the logs.
    :param request: report this request only, with its full trace.
    :param customer: report this customer's requests only.
    :param service: report this service's requests only.
    :param server: report only requests whose log lines name this server.
    :param key: report the requests under this idempotency key as one trace; the key
        itself or its digest in the logs.
    :param since: start of a time span, Unix seconds or ISO 8601 in UTC.
    :param until: end of a time span, Unix seconds or ISO 8601 in UTC.
    :param stories: write the full trace of each selected request.
    :param format: text (the default), json, or page: one HTML file with plots.
    :param output: file to write to instead of standard output.
    """
    if not log:
        raise CommandError(
            "give the decision logs, or - for standard input; put --callers after the "
            "logs, because it takes all file names that follow it"
        )
    selection = Filter(
        request=request or None,
        customer=customer or None,
        service=service or None,
        server=server or None,
        since=parse_time(since),
        until=parse_time(until),
        key=get_key_digest(key),
    )
    write = {
        Format.text: incident_output.write_text,
        Format.json: incident_output.write_json,
        Format.page: report.write_page,
    }[format]
    if format is Format.page:
        report.load_figure_class()  # fails before the logs are read, not after
    with _open_output(output) as stream, Incident(log, callers) as loaded:
        clean = write(loaded, selection, stream, stories or bool(request))
    if not loaded.totals["requests"]:
        print(
            "no request was selected; check the filters and the log files",
            file=sys.stderr,
        )
    return 0 if clean else 1


def _open_output(path):
    if path == "-":
        return contextlib.nullcontext(sys.stdout)
    try:
        return open(path, "w", encoding="utf-8", errors="backslashreplace")
    except OSError as error:
        raise CommandError(f"cannot write {path}: {error.strerror}") from None


def run(arguments=None):
    """
    Run the tool.

    :param arguments: command-line arguments; by default those of the process.
    :return: exit code: 0, 1 for findings, 2 for a command that cannot be carried out.
    """
    try:
        return defopt.run(
            [check, render, status, explain, incident],
            argv=arguments,
            cli_options="has_default",
            no_negated_flags=True,
            show_defaults=False,
            argparse_kwargs={"prog": "lavendermast"},
        )
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 1
    except LavendermastError as error:
        print(f"lavendermast: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        # The reader of the pipe, such as head, has exited. Discard what is still
        # written, also at exit, where it would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except KeyboardInterrupt:
        return 130


def main():
    """Run the tool and exit."""
    for stream in (sys.stdout, sys.stderr):
        # Logs may contain characters that the terminal's encoding does not support.
        stream.reconfigure(errors="backslashreplace")
    sys.stdin.reconfigure(errors="replace")
    sys.exit(run())


if __name__ == "__main__":
    main()
