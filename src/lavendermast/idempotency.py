"""Runs non-idempotent requests, at most once for each caller's key."""

from lavendermast.exceptions import RequestError
from lavendermast.forwarding import Forwarder
from lavendermast.ledger import Ledger
from lavendermast.logs import digest_bytes
from lavendermast.models import Outcome
from lavendermast.submissions import Submissions
from lavendermast.tokens import TokenIssuer, TokenVerifier
from lavendermast.utils import get_fleet_secrets

TOKEN_HEADER = "Lavendermast-Token"
RETRY_AFTER_S = 1


class IdempotencyGuard:
    """
    Runs a non-idempotent request under its key, or without one where that is allowed.

    Keys of this process are recorded in its ledger; others are forwarded to the owner.

    :param dispatcher: sends requests to servers.
    :param find_owner: callable that returns the caller address of a token's owner, or
        ``None``.
    :param dependencies: ``clock``, ``record_event`` and ``check_route``, which raises
        ``RequestError`` when another VM serves the route.
    """

    def __init__(self, settings, boot_id, dispatcher, find_owner, **dependencies):
        self._settings = settings
        self._boot_id = boot_id
        self._dispatcher = dispatcher
        self._find_owner = find_owner
        self._clock = dependencies["clock"]
        self._record_event = dependencies["record_event"]
        self._check_route = dependencies["check_route"]
        self._submissions = None
        self._forwarder = None
        self._verifier = TokenVerifier.from_settings(settings)
        self.ledger = None
        self.issuer = None

    def apply_config(self, config):
        """Use the limits of a configuration; the first one creates the ledger."""
        if self.ledger is None:
            self._create(config)
            return
        self.ledger.apply_config(config)
        self.issuer.apply_config(config)
        self._forwarder.apply_config(config)

    def reload_keys(self, settings):
        """Sign and verify tokens with the fleet keys of new process settings."""
        keys = get_fleet_secrets(settings)
        self._verifier.replace_keys(keys)
        signing = settings.fleet_keys[0]
        if self.issuer is not None:
            self.issuer.replace_key(signing.id, signing.secret.encode())

    def close_idle(self):
        """Close idle connections to other VMs."""
        if self._forwarder is not None:
            self._forwarder.close_idle()

    def run(self, request, route_name, route, cancellation):
        """
        Return the reply to a non-idempotent request.

        :raises RequestError: when it is refused and certainly did not run.
        """
        if request.key:
            return self._run_keyed(request, route_name, route, cancellation)
        if route.key == "required":
            token = self.issuer.issue(self.ledger.get_unix_ms())
            detail = f"append a dot and a part of your own to {TOKEN_HEADER}"
            raise RequestError(
                428, "key-required", detail, headers=[(TOKEN_HEADER, token)]
            )
        return self._dispatcher.run(request, route_name, route, cancellation)

    def _create(self, config):
        self.ledger = Ledger.from_config(config, self._clock, self._boot_id)
        self.issuer = TokenIssuer.from_config(config, self._settings, self._boot_id)
        self._forwarder = Forwarder.from_config(
            config,
            self._clock,
            self._settings.vm,
            self._find_owner,
            self._record_event,
        )
        self._submissions = Submissions(self.ledger, self._verifier, self._forwarder)

    def _run_keyed(self, request, route_name, route, cancellation):
        last_attempt = None

        def run():
            nonlocal last_attempt
            self._check_route(route)
            last_attempt = self._dispatcher.run_attempts(
                request, route_name, route, cancellation, keyed=True
            )
            return last_attempt.result

        reply = self._submissions.submit(request, run, cancellation)
        if reply.action:
            self._record_event(
                "duplicate",
                request=request.id,
                key=digest_bytes(request.key.encode()),
                action=reply.action,
            )
        if last_attempt is not None:
            reply.server = last_attempt.result.server
            reply.attempts = last_attempt.attempts
        if reply.outcome is Outcome.NOT_RUN:
            reply.retry_after = RETRY_AFTER_S
        return reply
