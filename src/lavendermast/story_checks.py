"""Checks a request's account against itself and against its callers."""

import hashlib

from .loglines import get_number
from .models import Outcome
from .stories import Issue, may_have_run

OUTCOMES = frozenset(outcome.value for outcome in Outcome)
_ANSWERING = frozenset({"ok", "error"})
KEY_DIGEST_LENGTH = 16


def check_story(story, coverage):
    """
    Return the issues of one story.

    :param coverage: ``Coverage`` of each VM whose log was read, by name.
    """
    found = []

    def report(kind, text, vm=""):
        found.append(Issue(kind, story.request, vm, text))

    _check_presence(story, coverage, report)
    for vm in sorted({line.vm for line in story.select("request")}):
        _check_vm(story, vm, report)
    _check_decisions(story, report)
    _check_forwards(story, coverage, report)
    runs = story.count_possible_runs()
    if story.get_field("key") and runs > 1:
        report("contradiction", f"a keyed request may have run {runs} times")
    for record in story.callers:
        _compare_caller(story, record, report)
    return found


def _check_presence(story, coverage, report):
    if story.told is not None:
        return
    for record in story.callers:
        if record.vm and record.vm not in coverage:
            report("unknown", f"the log of {record.vm} is missing", record.vm)
        elif record.vm and not coverage[record.vm].covers(record.sent_at):
            text = f"the log of {record.vm} has no lines around that time"
            report("unknown", text, record.vm)
    if not story.lines:
        report("unknown", "the caller's request id is never seen in the logs")
        return
    text = "the request line is missing, so the outcome told is not in the logs"
    report("unknown", text, story.lines[-1].vm)


def _check_vm(story, vm, report):
    ends = story.select("request", vm)
    end, attempts = ends[-1].fields, story.select("attempt", vm)
    if len(ends) > 1:
        report("contradiction", f"{len(ends)} request lines on one VM differ", vm)
    outcome = end.get("outcome")
    if outcome not in OUTCOMES:
        report("contradiction", f"outcome {outcome} is none that the fleet tells", vm)
    # The attempts of a forwarded or joined request belong to another line.
    elsewhere = story.select("forwarded", vm) or story.select("duplicate", vm)
    complete = bool(elsewhere) or _check_attempt_count(end, attempts, report, vm)
    ran = [line for line in attempts if may_have_run(line)]
    if outcome == "not-run" and ran:
        where = ", ".join(str(line.fields.get("server")) for line in ran)
        report("contradiction", f"told not-run, but may have run on {where}", vm)
    if outcome == "answered" and complete and not elsewhere:
        _check_answer(vm, end, attempts, report)


def _check_attempt_count(end, attempts, report, vm):
    """Return whether all attempts of a VM are in its log."""
    told = get_number(end, "attempts")
    if told is None or told == len(attempts):
        return True
    if told < len(attempts):
        text = f"told {told:g} attempts, but the log has {len(attempts)}"
        report("contradiction", text, vm)
        return True
    text = f"{told - len(attempts):g} of {told:g} attempt lines are missing"
    report("unknown", text, vm)
    return False


def _check_answer(vm, end, attempts, report):
    """Check that the response told comes from an attempt that brought one."""
    answers = [
        line.fields for line in attempts if line.fields.get("status") in _ANSWERING
    ]
    if not answers and attempts:
        report("contradiction", "told answered, but no attempt brought a response", vm)
    elif not answers and end.get("route"):
        text = "told answered without an attempt; a forwarded or duplicate line is "
        report("unknown", text + "missing", vm)
    if not answers:
        return
    answer = answers[-1]
    for key, name in (("status", "http_status"), ("server", "server")):
        told, seen = end.get(key), answer.get(name)
        if told is not None and seen not in (None, "0") and told != seen:
            text = f"told {key} {told}, but the attempt on {answer.get('server')} "
            report("contradiction", f"{text}says {seen}", vm)


def _check_decisions(story, report):
    decisions = {
        (line.vm, line.fields.get("attempt")): line.fields.get("server")
        for line in story.select("decision")
    }
    for line in story.select("attempt"):
        number, server = line.fields.get("attempt"), line.fields.get("server")
        if (line.vm, number) not in decisions:
            text = f"the decision line of attempt {number} is missing"
            report("unknown", text, line.vm)
        elif decisions[line.vm, number] != server:
            text = f"attempt {number} went to {server}, but the decision names "
            text += str(decisions[line.vm, number])
            report("contradiction", text, line.vm)


def _check_forwards(story, coverage, report):
    for line in story.select("forwarded"):
        owners = story.list_owners(line)
        ends = [end for vm in owners for end in story.select("request", vm)]
        for sender in story.select("request", line.vm):
            for end in ends:
                _compare_owner(sender, end, report)
        if ends or _never_sent(story, line.vm):
            continue
        missing = [vm for vm in owners if vm not in coverage]
        text = f"forwarded to {' or '.join(missing or owners)}, whose log "
        text += "is missing" if missing else "has no request line for it"
        if not owners:
            text = "forwarded to a successor, but the handover line is missing"
        report("unknown", text, line.vm)


def _never_sent(story, sender):
    """Return whether a sender states that no byte left for the owner."""
    ends = story.select("request", sender)
    return any(end.fields.get("reason") == "owner-connect-failed" for end in ends)


def _compare_owner(sender, owner, report):
    """Check that a sender passed on what the key's owner told."""
    passed, told = sender.fields, owner.fields
    # Failures of the hop have reasons of their own.
    same = passed.get("reason") == told.get("reason")
    names = ["outcome"]
    if same or passed.get("outcome") == "answered":
        names += ["status", "bytes", "body_digest"]
    elif passed.get("outcome") == "unknown":
        text = f"the outcome {told.get('outcome')} of the owner {owner.vm} did not "
        report("unknown", text + f"reach {sender.vm}", owner.vm)
        return
    for name in names:
        if passed.get(name) != told.get(name):
            text = f"told {name} {passed.get(name)}, but the owner {owner.vm} told "
            report("contradiction", text + str(told.get(name)), sender.vm)


def _compare_caller(story, record, report):
    if record.outcome == "not-run" and story.count_possible_runs():
        text = "the caller was told not-run, but an attempt may have run"
        report("contradiction", text, record.vm)
    if story.told is None:
        return
    told, vm = story.told.fields, story.told.vm
    if record.outcome not in OUTCOMES:
        text = (
            f"the caller received no complete response, so the outcome "
            f"{told.get('outcome')} is not confirmed"
        )
        report("unknown", text, vm)
        return
    pairs = [
        ("vm", vm, record.vm or None),
        ("outcome", told.get("outcome"), record.outcome),
        ("status", told.get("status"), record.status),
        ("bytes", told.get("bytes"), record.bytes),
    ]
    if told.get("key"):  # it is not logged where it has no effect
        pairs.append(("key", told["key"], _digest_key(record.key, told["key"])))
    if told.get("body_digest"):
        digest = record.body_digest[: len(told["body_digest"])]
        pairs.append(("body_digest", told["body_digest"], digest or None))
    for name, logged, seen in pairs:
        if seen is not None and logged != str(seen):
            text = f"{name}: the account says {logged}, the caller says {seen}"
            report("disagreement", text, vm)


def _digest_key(key, logged):
    """Return a caller's key as the log writes it."""
    if not key or key == logged:
        return key or None
    return hashlib.sha256(key.encode(errors="replace")).hexdigest()[:KEY_DIGEST_LENGTH]
