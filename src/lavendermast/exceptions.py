"""Exceptions raised by lavendermast."""

import json

from lavendermast.models import Outcome


class LavendermastError(Exception):
    """Base class of all errors raised by this package."""


class SettingsError(LavendermastError):
    """
    Settings were rejected.

    :param findings: every finding, each with its file, path and line.
    """

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class MessageError(LavendermastError):
    """A peer message could not be decoded; ``reason`` is the metric label."""

    def __init__(self, reason, detail=""):
        self.reason = reason
        super().__init__(f"{reason}: {detail}" if detail else reason)


class PeerError(LavendermastError):
    """A peer did not respond or responded with an error."""


class StoreError(LavendermastError):
    """The configuration service did not respond or responded with an error."""


class HistoryLostError(StoreError):
    """The store no longer has the changes after a revision; a full read is needed."""


class StoreLagError(StoreError):
    """The store delivers no changes to this VM, but does to others."""


class StoreShortageError(StoreError):
    """This process lacks descriptors for a call; the store is not at fault."""


class DocumentError(LavendermastError):
    """A document of the store is invalid; the last valid one stays in effect."""


class TokenError(LavendermastError):
    """An idempotency token was rejected."""


class ForgedTokenError(TokenError):
    """A token is malformed or forged, so no VM can have accepted it."""


class UnknownTokenKeyError(TokenError):
    """A token has an unknown key or format, but another VM may have accepted it."""


class LedgerError(LavendermastError):
    """A ledger operation that its state does not allow, such as a second successor."""


class RequestError(LavendermastError):
    """
    A request of a caller is rejected.

    :param outcome: what the caller may conclude; ``not-run`` unless given.
    :param retry_after: seconds of the ``Retry-After`` header, 0 for no header.
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
        """Return the JSON body that gives the caller the reason."""
        return json.dumps({"reason": self.reason, "detail": self.detail}).encode()


class UpstreamError(LavendermastError):
    """A backend server's response could not be used."""


class TruncatedResponseError(UpstreamError):
    """A response ended, timed out or was cancelled before its end."""


class FramingError(UpstreamError):
    """A response is malformed or does not match its declared length."""


class ShortageError(LavendermastError):
    """This process lacks descriptors, buffers or ports; no peer is at fault."""


class LogError(LavendermastError):
    """A log file given for analysis cannot be used."""
