"""Falsifies single lines in copies of decision logs and checks that each is found."""

import collections
import random
import re
import zlib

from lavendermast.incident import Incident
from lavendermast.incident_output import FAULT_KINDS
from lavendermast.loglines import parse_line

TRIAL_COUNT = 20
OUTCOMES = ("answered", "not-run", "unknown")
STATUSES = ("200", "500", "502", "503", "504")
_REQUEST = re.compile(r" request=(\S+)")
_CALLER_RECORD = re.compile(r'^\{"request": "([^"]+)"')


def get_slice_number(request):
    """Return the slice number of a request; repeats under one key share a slice."""
    return zlib.crc32(request.rsplit("-", 1)[0].encode()) % TRIAL_COUNT


def split_logs(logs, callers):
    """
    Return, for each slice, the log lines by file name and the callers' records.

    Lines without a request are in every slice. Address events are left out.
    """
    slices = [(collections.defaultdict(list), []) for _ in range(TRIAL_COUNT)]
    for path in logs:
        for line in path.read_text().splitlines(keepends=True):
            found = _REQUEST.search(line)
            chosen = slices if not found else [slices[get_slice_number(found[1])]]
            if " event=address " in line:
                continue
            for lines, _ in chosen:
                lines[path.name].append(line)
    for line in callers.read_text().splitlines(keepends=True):
        slices[get_slice_number(_CALLER_RECORD.match(line)[1])][1].append(line)
    return slices


def falsify_line(line, rng):
    """Return a line with another outcome, status or body digest, and the change."""
    name = rng.choice(("outcome", "status", "body_digest"))
    old = parse_line(line.rstrip("\n"))[name]
    if name == "body_digest":
        new = f"{int(old, 16) ^ 1 << rng.randrange(64):016x}"
    else:
        values = OUTCOMES if name == "outcome" else STATUSES
        new = rng.choice([value for value in values if value != old])
    return line.replace(f" {name}={old}", f" {name}={new}"), f"{name} {old} to {new}"


def run_trial(log_slice, unknown, folder, rng):
    """
    Falsify one line of a slice, write the logs and check them.

    :param unknown: requests that the report of the original logs lists, since it can't
        reconstruct them fully. They are not falsified.
    :return: the request, the change and whether the check reports this request. It may
        also report repeats under the same key, whose responses the line contradicts,
        but no other request.
    """
    lines, callers = log_slice
    eligible = {_CALLER_RECORD.match(line)[1] for line in callers} - unknown
    candidates = [
        (name, number)
        for name, rows in sorted(lines.items())
        for number, line in enumerate(rows)
        if " event=request " in line and _REQUEST.search(line)[1] in eligible
    ]
    name, number = rng.choice(candidates)
    request = _REQUEST.search(lines[name][number])[1]
    lines[name][number], change = falsify_line(lines[name][number], rng)
    folder.mkdir(exist_ok=True)
    for file, rows in lines.items():
        (folder / file).write_text("".join(rows))
    (folder / "callers.jsonl").write_text("".join(callers))
    found = find_issues(sorted(folder.glob("*.log")), folder / "callers.jsonl")
    found_nonces = {item.rsplit("-", 1)[0] for item in found}
    no_others = found_nonces == {request.rsplit("-", 1)[0]}
    return request, change, request in found and no_others


def find_issues(logs, callers):
    """Return the requests with a disagreement or contradiction (``FAULT_KINDS``)."""
    with Incident(logs, [callers]) as incident:
        issues = [issue for item in incident.iterate_traces() for issue in item.issues]
        issues += incident.iterate_fleet_issues()
    return {issue.request for issue in issues if issue.kind in FAULT_KINDS}


def run_trials(logs, callers, unknown, folder, seed):
    """Return a row (request, change, found) for each trial."""
    rng = random.Random(seed)
    return [
        run_trial(log_slice, unknown, folder, rng)
        for log_slice in split_logs(logs, callers)
    ]
