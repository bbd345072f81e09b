"""Exceptions raised by lavendermast."""

import json

from lavendermast.models import Outcome


class LavendermastError(Exception):
    """Root of all errors raised by this package."""


class SettingsError(LavendermastError):
    """
    Settings were refused.

    :param findings: every finding, each with its place.
    """

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class MessageError(LavendermastError):
    """A peer message could not be read; ``reason`` names the metric label."""

    def __init__(self, reason, detail=""):
        self.reason = reason
        super().__init__(f"{reason}: {detail}" if detail else reason)


class PeerError(LavendermastError):
    """A peer did not answer or answered with an error."""


class StoreError(LavendermastError):
    """The configuration service did not answer or answered with an error."""


class HistoryLostError(StoreError):
    """The store no longer has the changes after a revision; read everything again."""


class DocumentError(LavendermastError):
    """A document of the store cannot be read; the last good one stays in force."""


class TokenError(LavendermastError):
    """An idempotency token was not accepted."""


class ForgedTokenError(TokenError):
    """A token is malformed or forged, so no VM ever accepted it."""


class UnknownKeyError(TokenError):
    """A token was made under a key or format not known here; it may have been used."""


class LedgerError(LavendermastError):
    """A handover of the ledger breaks the rule of one successor."""


class RequestError(LavendermastError):
    """
    A caller's request is refused.

    :param outcome: what the caller may conclude; ``not-run`` unless given.
    :param retry_after: seconds after which a repeat makes sense, 0 for none.
    """

    def __init__(self, status, reason, detail="", **options):
        self.status = status
        self.reason = reason
        self.detail = detail
        self.outcome = options.get("outcome", Outcome.NOT_RUN)
        self.retry_after = options.get("retry_after", 0)
        self.headers = options.get("headers", ())
        super().__init__(f"{status} {reason} {detail}".strip())

    def make_body(self):
        """Return the JSON body that tells a caller why."""
        return json.dumps({"reason": self.reason, "detail": self.detail}).encode()


class UpstreamError(LavendermastError):
    """A backend server's response could not be used."""


class TruncatedResponseError(UpstreamError):
    """A response ended, timed out or was cancelled before its end."""


class FramingError(UpstreamError):
    """A response is malformed or contradicts its own length."""


class LogError(LavendermastError):
    """A log that an analyst names cannot be used."""
