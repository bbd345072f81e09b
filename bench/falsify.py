"""Changes single lines in copies of decision logs and checks that each is found."""

import collections
import random
import re
import zlib

from lavendermast.incident import Incident
from lavendermast.incident_output import FAULT_KINDS
from lavendermast.loglines import parse_line

TRIALS = 20
OUTCOMES = ("answered", "not-run", "unknown")
STATUSES = ("200", "500", "502", "503", "504")
_REQUEST = re.compile(r" request=(\S+)")
_CALLER = re.compile(r'^\{"request": "([^"]+)"')


def choose_slice(request):
    """Return the slice of a request; repeats under one key stay together."""
    return zlib.crc32(request.rsplit("-", 1)[0].encode()) % TRIALS


def split_logs(logs, callers):
    """
    Return, for each slice, the log lines by file name and the callers' lines.

    Lines that are not about a request are in every slice.
    """
    slices = [(collections.defaultdict(list), []) for _ in range(TRIALS)]
    for path in logs:
        for line in path.read_text().splitlines(keepends=True):
            found = _REQUEST.search(line)
            chosen = slices if not found else [slices[choose_slice(found[1])]]
            if " event=address " in line:
                continue
            for lines, _ in chosen:
                lines[path.name].append(line)
    for line in callers.read_text().splitlines(keepends=True):
        slices[choose_slice(_CALLER.match(line)[1])][1].append(line)
    return slices


def change_line(line, rng):
    """Return a request line with another outcome, status or body digest."""
    name = rng.choice(("outcome", "status", "body_digest"))
    old = parse_line(line.rstrip("\n"))[name]
    if name == "body_digest":
        new = f"{int(old, 16) ^ 1 << rng.randrange(64):016x}"
    else:
        values = OUTCOMES if name == "outcome" else STATUSES
        new = rng.choice([value for value in values if value != old])
    return line.replace(f" {name}={old}", f" {name}={new}"), f"{name} {old} to {new}"


def falsify_one(part, unknown, folder, rng):
    """
    Change one line of a slice and rebuild it.

    :param unknown: requests of which the account states that it cannot know all.
    :return: the request, the change and whether it was found, and nothing else but
        repeats under its key, whose responses it contradicts.
    """
    lines, callers = part
    seen = {_CALLER.match(line)[1] for line in callers} - unknown
    candidates = [
        (name, number)
        for name, rows in sorted(lines.items())
        for number, line in enumerate(rows)
        if " event=request " in line and _REQUEST.search(line)[1] in seen
    ]
    name, number = rng.choice(candidates)
    request = _REQUEST.search(lines[name][number])[1]
    lines[name][number], change = change_line(lines[name][number], rng)
    folder.mkdir(exist_ok=True)
    for file, rows in lines.items():
        (folder / file).write_text("".join(rows))
    (folder / "callers.jsonl").write_text("".join(callers))
    found = find_faults(sorted(folder.glob("*.log")), folder / "callers.jsonl")
    others = {item.rsplit("-", 1)[0] for item in found}
    alone = others == {request.rsplit("-", 1)[0]}
    return request, change, request in found and alone


def find_faults(logs, callers):
    """Return the requests whose account is wrong."""
    with Incident(logs, [callers]) as incident:
        issues = [issue for item in incident.iterate_traces() for issue in item.issues]
        issues += incident.iterate_fleet_issues()
    return {issue.request for issue in issues if issue.kind in FAULT_KINDS}


def run_trials(logs, callers, unknown, folder, seed):
    """Return a row (request, change, found) for each of the trials."""
    rng = random.Random(seed)
    return [
        falsify_one(part, unknown, folder, rng) for part in split_logs(logs, callers)
    ]
