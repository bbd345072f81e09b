"""Checks all requests with the same idempotency key for contradictions."""

import json
import math

from .traces import Issue, may_have_run


def format_key_use(trace):
    """
    Return how one request used its idempotency key, as a line of JSON.

    :param trace: a ``RequestTrace``.
    :return: the JSON text, or ``None`` for a request without a key.
    """
    key = trace.get_field("key")
    if not key:
        return None
    ran_on = [line.vm for line in trace.select("attempt") if may_have_run(line)]
    replays = [
        line.vm
        for line in trace.select("duplicate")
        if line.fields.get("action") in ("joined", "replayed")
    ]
    answering_vm = (ran_on + replays or [None])[0]
    ends = trace.select("request", answering_vm) if answering_vm else []
    end = ends[0].fields if ends else {}
    return json.dumps(
        {
            "key": key,
            "request": trace.request,
            "ran_on": ran_on,
            "replayed_by": replays[:1],
            "told": [line.fields.get("outcome") for line in trace.select("request")],
            "answer": [end.get("status"), end.get("bytes"), end.get("body_digest")]
            if end.get("outcome") == "answered"
            else None,
        }
    )


def check_key_uses(uses, timeline):
    """
    Yield the issues of all requests with one idempotency key.

    :param uses: mappings parsed from the output of ``format_key_use``, sorted by
        request.
    :param timeline: gives the ledger handovers that the logs show.
    """
    key = uses[0]["key"]
    ran = [use for use in uses if use["ran_on"]]
    if not ran:
        return
    runs = sum(len(use["ran_on"]) for use in ran)
    requests = ", ".join(use["request"] for use in ran)
    if len(ran) > 1:
        text = f"key {key} may have run {runs} times, in {requests}"
        yield Issue("contradiction", ran[0]["request"], "", text)
    for use in uses:
        if "not-run" in use["told"] and not use["ran_on"]:
            text = f"told not-run, but key {key} may have run in {requests}"
            yield Issue("contradiction", use["request"], "", text)
        if use["replayed_by"] and len(ran) == 1:
            yield from _check_replayed_response(use, ran[0], timeline)


def _check_replayed_response(use, first, timeline):
    vm, origin = use["replayed_by"][0], first["ran_on"][0]
    if use["answer"] and first["answer"] and use["answer"] != first["answer"]:
        text = f"replayed another response than that of {first['request']}"
        yield Issue("contradiction", use["request"], vm, text)
    owners = {item.successor for item in timeline.find_handovers(origin, math.inf)}
    if vm not in owners | {origin}:
        text = f"replayed what ran on {origin}, but no handover to {vm} is in the logs"
        yield Issue("unknown", use["request"], vm, text)
