"""Decides what happens to one keyed request: run, join, replay, forward or refuse."""

import hashlib

from lavendermast.exceptions import ForgedTokenError, RequestError, UnknownTokenKeyError
from lavendermast.ledger import Action
from lavendermast.models import Outcome, Reply


def compute_digest(request):
    """Return the digest by which two submissions under one key are compared."""
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.query):
        digest.update(b"%d:%b" % (len(part), part.encode()))
    digest.update(request.body)
    return digest.digest()[:16]


class Submissions:
    """
    Handles keyed requests with tokens, the ledger and forwarding.

    :param forwarder: a :class:`lavendermast.forwarding.Forwarder`.
    """

    def __init__(self, ledger, verifier, forwarder):
        self._ledger = ledger
        self._verifier = verifier
        self._forwarder = forwarder

    def submit(self, request, run, cancellation=None):
        """
        Return the reply to a request with a key.

        :param run: function that makes the attempts and returns the last
            :class:`AttemptResult`; called at most once for a key. It raises
            :class:`RequestError` when it refuses the request before any attempt.
        :param cancellation: passed on when the request is forwarded.
        """
        try:
            token = self._verifier.verify_key(request.key)
        except ForgedTokenError:
            return Reply(Outcome.NOT_RUN, "malformed-key", 400)
        except UnknownTokenKeyError:
            return Reply(Outcome.UNKNOWN, "unknown-key", 504)
        if not self._ledger.owns(token.boot_id):
            return self._forwarder.forward(
                request, token, request.deadline, cancellation
            )
        digest = compute_digest(request)
        decision = self._ledger.begin(request.key, digest, token)
        joined = decision.action is Action.JOIN
        if joined:
            decision = self._ledger.join(request.key, digest, token, request.deadline)
        if decision.action is Action.RUN:
            return self._run(request.key, run)
        action = ""
        if decision.entry is not None:
            replay = "joined" if joined else "replayed"
            action = replay if decision.action is Action.REPLAY else "refused"
        return Reply(
            decision.outcome,
            decision.reason,
            decision.status,
            list(decision.headers),
            decision.body,
            action=action,
        )

    def _run(self, key, run):
        try:
            result = run()
        except RequestError as error:
            self._ledger.mark_not_run(key)
            headers = [("Content-Type", "application/json"), *error.headers]
            return Reply(
                Outcome.NOT_RUN, error.reason, error.status, headers, error.make_body()
            )
        except BaseException:
            self._ledger.mark_unknown(key)
            raise
        return self._record(key, result)

    def _record(self, key, result):
        reason = result.status.value.replace("_", "-")
        if not result.ran:
            self._ledger.mark_not_run(key)
            return Reply(Outcome.NOT_RUN, reason, 503)
        if not result.http_status:
            self._ledger.mark_unknown(key)
            return Reply(Outcome.UNKNOWN, reason, 504)
        body = None if result.stream is not None else result.body
        self._ledger.finish(key, result.http_status, result.headers, body)
        return Reply(
            Outcome.ANSWERED,
            reason,
            result.http_status,
            result.headers,
            result.body,
            result.stream,
        )
