"""Checks the log lines of a request against each other and the callers' records."""

import hashlib

from .loglines import get_number
from .models import Outcome
from .traces import Issue, may_have_run

OUTCOMES = frozenset(outcome.value for outcome in Outcome)
_RESPONSE_STATUSES = frozenset({"ok", "error"})
KEY_DIGEST_LENGTH = 16


def check_trace(trace, coverage):
    """
    Return the issues of one trace.

    :param coverage: ``LogCoverage`` of each VM whose log was read, by name.
    """
    issues = []

    def report(kind, text, vm=""):
        issues.append(Issue(kind, trace.request, vm, text))

    _check_missing_lines(trace, coverage, report)
    for vm in sorted({line.vm for line in trace.select("request")}):
        _check_vm(trace, vm, report)
    _check_decisions(trace, report)
    _check_forwards(trace, coverage, report)
    runs = trace.count_possible_runs()
    if trace.get_field("key") and runs > 1:
        report("contradiction", f"a keyed request may have run {runs} times")
    for record in trace.callers:
        _compare_caller(trace, record, report)
    return issues


def _check_missing_lines(trace, coverage, report):
    if trace.response_line is not None:
        return
    for record in trace.callers:
        if record.vm and record.vm not in coverage:
            report("unknown", f"the log of {record.vm} is missing", record.vm)
        elif record.vm and not coverage[record.vm].covers(record.sent_at):
            text = f"the log of {record.vm} has no lines around that time"
            report("unknown", text, record.vm)
    if not trace.lines:
        report("unknown", "the caller's request id is never seen in the logs")
        return
    text = "the request line is missing, so the outcome told is not in the logs"
    report("unknown", text, trace.lines[-1].vm)


def _check_vm(trace, vm, report):
    request_lines = trace.select("request", vm)
    request_fields, attempts = request_lines[-1].fields, trace.select("attempt", vm)
    if len(request_lines) > 1:
        report(
            "contradiction", f"{len(request_lines)} request lines on one VM differ", vm
        )
    outcome = request_fields.get("outcome")
    if outcome not in OUTCOMES:
        report("contradiction", f"outcome {outcome} is none that the fleet tells", vm)
    # The attempts of a forwarded or joined request belong to another request line.
    run_elsewhere = trace.select("forwarded", vm) or trace.select("duplicate", vm)
    complete = bool(run_elsewhere) or _check_attempt_count(
        request_fields, attempts, report, vm
    )
    ran = [line for line in attempts if may_have_run(line)]
    if outcome == "not-run" and ran:
        servers = ", ".join(str(line.fields.get("server")) for line in ran)
        report("contradiction", f"told not-run, but may have run on {servers}", vm)
    if outcome == "answered" and complete and not run_elsewhere:
        _check_answer(vm, request_fields, attempts, report)


def _check_attempt_count(request_fields, attempts, report, vm):
    """Return whether the log of a VM has a line for each of its attempts."""
    reported = get_number(request_fields, "attempts")
    if reported is None or reported == len(attempts):
        return True
    if reported < len(attempts):
        text = f"told {reported:g} attempts, but the log has {len(attempts)}"
        report("contradiction", text, vm)
        return True
    text = f"{reported - len(attempts):g} of {reported:g} attempt lines are missing"
    report("unknown", text, vm)
    return False


def _check_answer(vm, request_fields, attempts, report):
    """Check that the response to the caller matches that of an attempt."""
    answers = [
        line.fields
        for line in attempts
        if line.fields.get("status") in _RESPONSE_STATUSES
    ]
    if not answers and attempts:
        report("contradiction", "told answered, but no attempt brought a response", vm)
    elif not answers and request_fields.get("route"):
        text = "told answered without an attempt; a forwarded or duplicate line is "
        report("unknown", text + "missing", vm)
    if not answers:
        return
    answer = answers[-1]
    for key, name in (("status", "http_status"), ("server", "server")):
        reported, actual = request_fields.get(key), answer.get(name)
        if reported is not None and actual not in (None, "0") and reported != actual:
            text = f"told {key} {reported}, but the attempt on {answer.get('server')} "
            report("contradiction", f"{text}says {actual}", vm)


def _check_decisions(trace, report):
    decisions = {
        (line.vm, line.fields.get("attempt")): line.fields.get("server")
        for line in trace.select("decision")
    }
    for line in trace.select("attempt"):
        number, server = line.fields.get("attempt"), line.fields.get("server")
        if (line.vm, number) not in decisions:
            text = f"the decision line of attempt {number} is missing"
            report("unknown", text, line.vm)
        elif decisions[line.vm, number] != server:
            text = f"attempt {number} went to {server}, but the decision names "
            text += str(decisions[line.vm, number])
            report("contradiction", text, line.vm)


def _check_forwards(trace, coverage, report):
    for line in trace.select("forwarded"):
        owners = trace.list_owners(line)
        request_lines = [
            request_line
            for vm in owners
            for request_line in trace.select("request", vm)
        ]
        for sender_line in trace.select("request", line.vm):
            for request_line in request_lines:
                _compare_owner(sender_line, request_line, report)
        if request_lines or _failed_before_send(trace, line.vm):
            continue
        missing = [vm for vm in owners if vm not in coverage]
        text = f"forwarded to {' or '.join(missing or owners)}, whose log "
        text += "is missing" if missing else "has no request line for it"
        if not owners:
            text = "forwarded to a successor, but the handover line is missing"
        report("unknown", text, line.vm)


def _failed_before_send(trace, vm):
    """Return whether a sender logged that it sent no byte to the owner."""
    request_lines = trace.select("request", vm)
    return any(
        request_line.fields.get("reason") == "owner-connect-failed"
        for request_line in request_lines
    )


def _compare_owner(sender_line, owner_line, report):
    """Check that a sender passed on the response of the key's owner unchanged."""
    sender_fields, owner_fields = sender_line.fields, owner_line.fields
    # A failure between sender and owner has its own reasons.
    same_reason = sender_fields.get("reason") == owner_fields.get("reason")
    names = ["outcome"]
    if same_reason or sender_fields.get("outcome") == "answered":
        names += ["status", "bytes", "body_digest"]
    elif sender_fields.get("outcome") == "unknown":
        text = (
            f"the outcome {owner_fields.get('outcome')} of the owner {owner_line.vm} "
            "did not "
        )
        report("unknown", text + f"reach {sender_line.vm}", owner_line.vm)
        return
    for name in names:
        if sender_fields.get(name) != owner_fields.get(name):
            text = (
                f"told {name} {sender_fields.get(name)}, but the owner {owner_line.vm} "
                "told "
            )
            report("contradiction", text + str(owner_fields.get(name)), sender_line.vm)


def _compare_caller(trace, record, report):
    if record.outcome == "not-run" and trace.count_possible_runs():
        text = "the caller was told not-run, but an attempt may have run"
        report("contradiction", text, record.vm)
    if trace.response_line is None:
        return
    response_fields, vm = trace.response_line.fields, trace.response_line.vm
    if record.outcome not in OUTCOMES:
        text = (
            f"the caller received no complete response, so the outcome "
            f"{response_fields.get('outcome')} is not confirmed"
        )
        report("unknown", text, vm)
        return
    pairs = [
        ("vm", vm, record.vm or None),
        ("outcome", response_fields.get("outcome"), record.outcome),
        ("status", response_fields.get("status"), record.status),
        ("bytes", response_fields.get("bytes"), record.bytes),
    ]
    if response_fields.get("key"):  # a key without effect is not logged
        pairs.append(
            (
                "key",
                response_fields["key"],
                _digest_key(record.key, response_fields["key"]),
            )
        )
    if response_fields.get("body_digest"):
        digest = record.body_digest[: len(response_fields["body_digest"])]
        pairs.append(("body_digest", response_fields["body_digest"], digest or None))
    for name, logged, seen in pairs:
        if seen is not None and logged != str(seen):
            text = f"{name}: the account says {logged}, the caller says {seen}"
            report("disagreement", text, vm)


def _digest_key(key, logged):
    """Return a caller's key as its digest in the log."""
    if not key or key == logged:
        return key or None
    return hashlib.sha256(key.encode(errors="replace")).hexdigest()[:KEY_DIGEST_LENGTH]
