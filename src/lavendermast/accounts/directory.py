"""Finds the client account of a key."""

import hashlib
import secrets

DIGEST_BYTES = 16


class AccountDirectory:
    """
    The accounts in force, by a keyed hash of their keys.

    The hash key is random for each process, so callers cannot choose keys that collide,
    and the time of a look-up says nothing about keys that are similar.

    Designed for 100,000 accounts: a look-up is one hash and one dictionary access.

    >>> from lavendermast.entrymodel import Account
    >>> directory = AccountDirectory()
    >>> directory.replace((Account("a", ("k",)),))
    ()
    >>> directory.find(directory.compute_digest("k")).name
    'a'
    """

    def __init__(self):
        self._hash_key = secrets.token_bytes(32)
        self._by_digest = {}
        self._digests = {}
        self.count = 0
        #: Whether the configuration has accounts, even if the list is empty.
        self.in_force = False

    def compute_digest(self, key):
        """Return the digest under which the account of a key is found."""
        data = key.encode(errors="surrogateescape")
        return hashlib.blake2b(
            data, digest_size=DIGEST_BYTES, key=self._hash_key
        ).digest()

    def find(self, digest):
        """Return the account in force for the digest of a key, or ``None``."""
        return self._by_digest.get(digest)

    def count_keys(self):
        """Return the number of different keys in force."""
        return len(self._by_digest)

    def replace(self, accounts):
        """
        Put the accounts of a configuration in force.

        A key that several accounts hold belongs to the first of them.

        :param accounts: tuple of accounts; ``None`` if no request needs a key.
        :return: one text for each account that lost a key to an earlier one; no text
            contains a key.
        """
        by_digest, digests, findings = {}, {}, []
        for account in accounts or ():
            # Most accounts are as in the version before.
            known = self._digests.get(account.keys)
            if known is None:
                known = tuple(self.compute_digest(key) for key in account.keys)
            digests[account.keys] = known
            lost = 0
            for digest in known:
                holder = by_digest.setdefault(digest, account)
                lost += holder is not account
            if lost:
                findings.append(
                    f"account {account.name}: {lost} keys of earlier accounts; ignored"
                )
        self._by_digest, self._digests = by_digest, digests
        self.count = len(accounts or ())
        self.in_force = accounts is not None
        return tuple(findings)
