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
#: VMs asked at once, so that a few missing ones do not add up their timeouts.
MAX_REQUESTS = 16
_STATUS_COLUMNS = ("vm", "zone", "state", "ready", "config", "alive", "at floor")


class CommandError(LavendermastError):
    """A command cannot do what it was asked for; the message says what to do."""


class Format(enum.Enum):
    """Formats of an incident report."""

    text = "text"
    json = "json"
    page = "page"


def check(path: pathlib.Path):
    """
    Check an operators' directory, or a file with an entry process's settings.

    A directory holds base.json and sites/<site>.json.

    Prints every finding as FILE:LINE: PATH: MESSAGE. Exit code 0 means that the
    settings may be rolled out, 1 that there are findings.

    :param path: directory that holds base.json, or a JSON file.
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
        print(f"{len(error.findings)} findings; nothing to roll out", file=sys.stderr)
        return 1
    sites = ", ".join(sorted(bundle["overlays"])) or "none"
    print(f"settings are valid; overlays: {sites}", file=sys.stderr)
    return 0


def render(
    directory: pathlib.Path, *, site: str = "", bundle: bool = False, version: int = 0
):
    """
    Print the effective settings of a site, or the bundle for the store.

    :param directory: directory that holds base.json.
    :param site: site whose overlay applies; the base settings without it.
    :param bundle: print the bundle, which goes into the store under config.
    :param version: version of the bundle, higher than that of the last one.
    """
    if bundle and version < 1:
        raise CommandError(
            "--bundle needs --version N, with N higher than the version in force "
            "(lavendermast status shows it)"
        )
    if bundle and site:
        raise CommandError("--bundle holds all sites; leave --site out")
    if version and not bundle:
        raise CommandError("--version belongs to --bundle; add it or leave both out")
    loaded = load_bundle(directory, version)
    if bundle:
        print(encode_bundle(loaded).decode())
        return 0
    known = loaded["base"].get("sites", []) + list(loaded["overlays"])
    if site and site not in known:
        names = ", ".join(dict.fromkeys(known)) or "none"
        raise CommandError(f"there is no site {site}; give one of: {names}")
    effective = fill_defaults(merge_site(loaded, site), "Config")
    print(json.dumps(effective, indent=2))
    return 0


def fetch_json(address, path):
    """
    Return the JSON object at an admin address.

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
            f"{address} answered {response.status} without JSON; check that this is "
            "an admin_address"
        ) from None
    if not isinstance(data, dict):
        raise CommandError(f"{address} answered JSON that is not an object")
    return data


def summarize_status(status):
    """
    Return the cells of one VM's row.

    >>> summarize_status({"vm": "a", "ready": True, "members": [{"state": "alive"}]})
    ['a', '-', '-', 'yes', '-', '1/1', 'none']
    """
    members = status.get("members", [])
    alive = sum(member.get("state") == "alive" for member in members)
    config = status.get("documents", {}).get("config", {})
    low = [
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
        ", ".join(low) or "none",
    ]


def _read_status(address):
    """Return a VM's cells and, when it is missing, the reason."""
    try:
        return summarize_status(fetch_json(address, "/status")), ""
    except CommandError as error:
        return ["missing", *["-"] * (len(_STATUS_COLUMNS) - 1)], str(error)
    except (AttributeError, TypeError):
        text = f"{address} answered another JSON than /status has; check its release"
        return ["missing", *["-"] * (len(_STATUS_COLUMNS) - 1)], text


def format_table(rows):
    """Return rows of cells as lines with aligned columns."""
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
    with concurrent.futures.ThreadPoolExecutor(MAX_REQUESTS) as pool:
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
            f"configuration versions differ ({names}); repeat after 7 s, then look for "
            "config_rejected in the logs",
            file=sys.stderr,
        )
    ready = all(row[4] == "yes" for row in present)
    return 0 if not missing and ready and len(versions) <= 1 else 1


def explain(address: str, method: str, path: str):
    """
    Print how a VM would route a request now, without sending it.

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
    print(f"served here {'yes' if answer.get('in_set') else 'no, in another VM'}")
    print(f"server      {choice.get('server')} ({choice.get('reason')})")
    print(f"candidates  {choice.get('candidates')}")
    print(f"config      {answer.get('config_version')}")
    return 0


def parse_time(text):
    """
    Return Unix seconds from a number or an ISO 8601 time.

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
            f"{text} is not a time; give Unix seconds or, in UTC, a time such as "
            "2026-05-04T06:30:00"
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


def read_key(text):
    """
    Return a key's digest as the logs write it; ``None`` for an empty text.

    >>> read_key("a" * 16), read_key("token.part")
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
    Rebuild what happened to requests from the decision logs of many VMs.

    Exit code 1 means that an account contradicts itself or a caller's record.

    :param log: decision logs; - is standard input.
    :param callers: callers' logs, JSON lines, to compare with; stands behind the logs.
    :param request: report this request only, with its whole story.
    :param customer: report this customer's requests only.
    :param service: report this service's requests only.
    :param server: report requests that this server took part in only.
    :param key: report the requests under this idempotency key as one story; the key
        itself or its digest in the logs.
    :param since: start of a time span, Unix seconds or ISO 8601 in UTC.
    :param until: end of a time span, Unix seconds or ISO 8601 in UTC.
    :param stories: write every selected request's whole story.
    :param format: text (the default), json, or page: one HTML file with plots.
    :param output: file to write instead of standard output.
    """
    if not log:
        raise CommandError(
            "give the decision logs, or - for standard input; --callers stands behind "
            "the logs, because it takes all names that follow it"
        )
    selection = Filter(
        request=request or None,
        customer=customer or None,
        service=service or None,
        server=server or None,
        since=parse_time(since),
        until=parse_time(until),
        key=read_key(key),
    )
    write = {
        Format.text: incident_output.write_text,
        Format.json: incident_output.write_json,
        Format.page: report.write_page,
    }[format]
    if format is Format.page:
        report.load_figure_class()  # fails before the long work, not after it
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
        raise CommandError(f"{path} cannot be written ({error.strerror})") from None


def run(arguments=None):
    """
    Run the tool.

    :param arguments: the words behind the tool's name.
    :return: exit code: 0, 1 for findings, 2 for a command that cannot be done.
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
        # The reader, such as head, has left; nothing more may be written.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except KeyboardInterrupt:
        return 130


def main():
    """Run the tool and exit."""
    for stream in (sys.stdout, sys.stderr):
        # Logs may hold characters that the terminal's encoding lacks.
        stream.reconfigure(errors="backslashreplace")
    sys.stdin.reconfigure(errors="replace")
    sys.exit(run())


if __name__ == "__main__":
    main()
