"""Exceptions raised by lavendermast."""


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


class TokenError(LavendermastError):
    """An idempotency token is malformed, forged or expired."""


class RequestError(LavendermastError):
    """A caller's request is refused before any attempt; it was not run."""

    def __init__(self, status, reason, detail=""):
        self.status = status
        self.reason = reason
        self.detail = detail
        super().__init__(f"{status} {reason} {detail}".strip())


class LogError(LavendermastError):
    """A log that an analyst names cannot be used."""
