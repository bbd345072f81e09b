"""Promises that the soak checks from what callers and servers saw."""

import collections
import contextlib
import time

import attrs

#: A VM without a disturbance for this time is in touch: the users' contact_ms.
CONTACT_S = 3.0
#: Time after an entry's change in which a leaving server may still get requests.
DRAIN_S = 2.5
#: Time after a configuration's change in which requests may follow the older one.
CONFIG_S = 2.5
#: Time over its deadline after which a request without an answer counts as hanging.
HANG_S = 1.0
#: End of a stopping process's grace in which work may be broken off.
GRACE_S = 6.0
LATE_GRACE_S = 1.0
_PROMISED = frozenset({408, 421, 429, 503})


@attrs.define
class Call:
    """A caller's request; times are monotonic, ``status`` is ``None`` if cut."""

    id: str
    vm: str
    path: str
    method: str
    started: float
    ended: float = 0.0
    status: int | None = None
    detail: str = ""


@attrs.define
class Account:
    """
    What was done and seen in a run.

    :param spoiled: answers that were not a server's whole answer.
    :param disturbed: intervals by VM in which it was not in touch; ``""`` is for all.
    :param stops: times of SIGTERM by VM.
    :param drains: times at which a server was listed as leaving.
    :param moves: times at which the movable route got a service.
    """

    calls: dict = attrs.Factory(dict)
    spoiled: list = attrs.Factory(list)
    faults: list = attrs.Factory(list)
    disturbed: dict = attrs.Factory(lambda: collections.defaultdict(list))
    stops: dict = attrs.Factory(lambda: collections.defaultdict(list))
    drains: dict = attrs.Factory(dict)
    moves: list = attrs.Factory(list)
    overdue_stops: list = attrs.Factory(list)

    @contextlib.contextmanager
    def disturb(self, vm):
        """Note that a VM, or with an empty name all of them, is not in touch."""
        interval = [time.monotonic(), float("inf")]
        self.disturbed[vm].append(interval)
        try:
            yield
        finally:
            interval[1] = time.monotonic()

    def is_calm(self, vm, start, end):
        """Return whether a VM was in touch over a time."""
        return not any(
            first - 0.1 <= end and last + CONTACT_S >= start
            for name in (vm, "")
            for first, last in self.disturbed[name]
        )


def check_account(account, world):
    """Return the findings of a finished run."""
    runs = collections.defaultdict(list)
    for server in [*world.servers.values(), *world.gone_servers]:
        for request_id, _, moment in server.runs:
            runs[request_id].append((server, moment))
    findings = [f"MIXED: {detail}" for detail in account.spoiled]
    findings += [f"STOP: {detail}" for detail in account.overdue_stops]
    for call in account.calls.values():
        findings += _check_call(call, runs[call.id], account)
        for server, moment in runs[call.id]:
            findings += _check_run(call, server, moment, account)
    for request_id in runs.keys() - account.calls.keys():
        findings.append(f"UNASKED: {request_id} ran and no caller sent it")
    return findings


def _check_call(call, runs, account):
    where = f"{call.method} {call.path} {call.id} at {call.vm}, {call.started:.2f} s"
    if call.method == "POST" and len(runs) > 1:
        names = ", ".join(server.name for server, _ in runs)
        yield f"TWICE: {where} ran on {names}"
    if call.status in _PROMISED and runs:
        yield f"REFUSED: {where} was told {call.status} and ran on {runs[0][0].name}"
    calm = account.is_calm(call.vm, call.started, call.ended)
    if call.detail == "timeout" and calm and not _is_stopping(call, account):
        yield f"HANG: {where} had no answer {HANG_S} s after its deadline"
    cut = call.status is None and call.detail != "timeout"
    if cut and runs and calm and not _is_end_of_grace(call, account):
        yield f"LOST: {where} ran and ended without an answer: {call.detail}"


def _is_stopping(call, account):
    return any(
        call.ended >= stop and call.started <= stop + GRACE_S + LATE_GRACE_S
        for stop in account.stops[call.vm]
    )


def _is_end_of_grace(call, account):
    """Return whether a request was still at work at the end of its VM's grace."""
    return any(
        stop + GRACE_S - LATE_GRACE_S <= call.ended for stop in account.stops[call.vm]
    )


def _check_run(call, server, moment, account):
    left = account.drains.get(server.name)
    if (
        left is not None
        and moment > left + DRAIN_S
        and account.is_calm(call.vm, left, moment)
    ):
        yield f"DRAIN: {call.id} reached {server.name} {moment - left:.2f} s after"
    if not call.path.startswith("/move/"):
        return
    allowed = set()
    for number, (start, service) in enumerate(account.moves):
        later = account.moves[number + 1 :]
        end = later[0][0] if later else moment
        if start <= moment and end + CONFIG_S >= call.started:
            allowed.add(service)
    since = max(start for start, _ in account.moves if start <= moment)
    if server.service not in allowed and account.is_calm(call.vm, since, moment):
        yield f"CONFIG: {call.id} ran on {server.service} after the route had moved"
