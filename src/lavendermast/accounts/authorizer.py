"""Decides which requests may run by their keys."""

import collections

from lavendermast.accounts.directory import AccountDirectory
from lavendermast.denials import RETRY_AFTER_S, Denial
from lavendermast.exceptions import RequestError

#: Part of ``key_removal_ms`` for which a proof of the state counts. The rest covers the
#: time from the last check until the server has the request.
PROOF_SHARE = 0.9
#: Findings of one version that are logged.
MAX_LOGGED_FINDINGS = 10
UNKNOWN_KEY = "unknown-key"


class Authorizer:
    """
    Admits requests with a key in force while this VM's state is known to be recent.

    Designed for 430,000 requests per second at 3,600 VMs: a check is one look-up and a
    comparison of times.

    :param keeper: the :class:`~lavendermast.accounts.proofkeeper.ProofKeeper`.
    :param get_confirmed_age_s: function that returns the age of the state by
        heartbeats, which counts if the removal of keys is not enforced.
    :param proofs: the :class:`~lavendermast.accounts.proofs.StateProofs` of this VM.
    :param removal_s: seconds within which the removal of a key takes effect, 0.0 if
        that is not enforced.
    :param lag_s: seconds within which a new configuration has to be in force.
    """

    def __init__(
        self, keeper, get_confirmed_age_s, proofs, record_event, removal_s, lag_s
    ):
        self._keeper = keeper
        self._get_confirmed_age_s = get_confirmed_age_s
        self._proofs = proofs
        self._record_event = record_event
        self._removal_s = removal_s
        self._lag_s = lag_s
        self._was_fenced = False
        self.directory = AccountDirectory()
        #: Refused requests by reason.
        self.refusals = collections.Counter()
        keeper.on_tick.append(self.update_fence)

    @classmethod
    def from_settings(cls, settings, keeper, proofs, sync, record_event):
        """Return an authorizer with the settings of an entry VM."""
        return cls(
            keeper,
            lambda: (sync.get_confirmed_age_ms() - 1) / 1000,
            proofs,
            record_event,
            settings.key_removal_ms / 1000,
            settings.config_lag_ms / 1000,
        )

    @property
    def _is_enforced(self):
        return self._removal_s > 0 and self.directory.in_force

    def apply_config(self, config):
        """Put the accounts of a configuration in force."""
        was_in_force = self.directory.in_force
        findings = self.directory.replace(config.accounts)
        if self._is_enforced != (was_in_force and self._removal_s > 0):
            self._keeper.set_active(self._is_enforced)
        if not (self.directory.in_force or was_in_force):
            return
        findings = config.account_findings + findings
        self._record_event(
            "accounts_accepted",
            config_version=config.version,
            in_force=self.directory.in_force,
            accounts=self.directory.count,
            keys=self.directory.count_keys(),
            findings=len(findings),
            detail="; ".join(findings[:MAX_LOGGED_FINDINGS]) or None,
        )

    def authorize(self, key, route):
        """
        Return the account of a request, ``None`` if it needs no key.

        May wait shortly for a proof of this VM's state.

        :param key: value of the caller's header, empty without one.
        :raises RequestError: when the request is refused.
        """
        if not self.directory.in_force or route.public:
            return None
        if not key:
            self._refuse(401, UNKNOWN_KEY)
        digest = self.directory.compute_digest(key)
        if self.directory.find(digest) is None and not self._wait_until_current():
            self._refuse(503, Denial.KEYS_UNCONFIRMED.value)
        account = self.directory.find(digest)
        if account is not None and not self._wait_until_proven():
            self._refuse(503, Denial.KEYS_UNCONFIRMED.value)
        # The configuration may have changed while the request waited.
        if not self.directory.in_force:
            return None
        account = self.directory.find(digest)
        if account is None:
            self._refuse(401, UNKNOWN_KEY)
        return account

    def make_credential(self, key, account):
        """
        Return what :meth:`may_run` needs to check an authorized request again.

        :param account: what :meth:`authorize` returned.
        :return: the digest of the key, empty if the route is public, ``None`` if there
            were no accounts.
        """
        if not self.directory.in_force:
            return None
        return self.directory.compute_digest(key) if account is not None else b""

    def may_run(self, request):
        """Return whether a request may be sent to a server now; never waits."""
        if not self.directory.in_force:
            return True
        if request.credential is None:
            # It was accepted before there were accounts, so its headers may hold a key.
            return False
        if not request.credential:
            return True
        account = self.directory.find(request.credential)
        # A key that moved to another account would run under the wrong name.
        if account is None or account.name != request.account.name:
            return False
        return self._is_proven()

    def is_fenced(self):
        """Return whether this VM refuses requests with keys as its state is old."""
        return self._is_enforced and not self._is_proven()

    def update_fence(self):
        """Log when this VM starts or stops to refuse requests with keys."""
        fenced = self.is_fenced()
        if fenced != self._was_fenced:
            self._was_fenced = fenced
            age_ms = self.get_proven_age_ms()
            event = "keys_fenced" if fenced else "keys_resumed"
            self._record_event(event, age_ms=age_ms)

    def get_proven_age_ms(self):
        """Return the age of the proven state in milliseconds, ``None`` without one."""
        age_s = self._proofs.get_age_s()
        return round(age_s * 1000) if age_s != float("inf") else None

    def _is_proven(self):
        if not self._removal_s:
            return True
        return self._keeper.is_younger(PROOF_SHARE * self._removal_s)

    def _wait_until_proven(self):
        if not self._removal_s:
            return True
        return self._keeper.wait_until_younger(PROOF_SHARE * self._removal_s)

    def _wait_until_current(self):
        """Return whether a key that was added would be known by now."""
        if not self._removal_s:
            return self._get_confirmed_age_s() < self._lag_s
        return self._keeper.wait_until_younger(
            min(self._lag_s, PROOF_SHARE * self._removal_s)
        )

    def _refuse(self, status, reason):
        self.refusals[reason] += 1
        retry_after = RETRY_AFTER_S if status == 503 else 0
        raise RequestError(status, reason, retry_after=retry_after)
