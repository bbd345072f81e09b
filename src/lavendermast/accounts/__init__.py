"""Client accounts: which requests carry a valid key, and how old that knowledge is."""

from lavendermast.accounts.authorizer import Authorizer
from lavendermast.accounts.directory import AccountDirectory
from lavendermast.accounts.proofkeeper import ProofKeeper, compute_read_timeouts
from lavendermast.accounts.proofs import StateProofs

__all__ = [
    "AccountDirectory",
    "Authorizer",
    "ProofKeeper",
    "StateProofs",
    "compute_read_timeouts",
]
