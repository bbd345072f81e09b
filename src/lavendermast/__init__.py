"""
Coordination of a fleet of proxies in front of servers that may be slow or sick.

The names below are imported on first use, because the daemon has to patch the
standard library before other modules are imported.

>>> import lavendermast
>>> lavendermast.rank_members("stock-1", ["a"])
['a']
"""

import importlib

__version__ = "0.1.0"

_MODULES = {
    "AdmissionQueue": "admission",
    "Client": "client",
    "Coordination": "coordination",
    "DocumentStore": "documents",
    "EjectionBudget": "floors",
    "HealthTracker": "health",
    "Judge": "evidence",
    "LavendermastError": "exceptions",
    "Ledger": "ledger",
    "ManualClock": "clock",
    "Membership": "membership",
    "Outcome": "models",
    "PeerNetwork": "peers",
    "RetryPolicy": "retries",
    "Server": "models",
    "SystemClock": "clock",
    "TokenIssuer": "tokens",
    "TokenVerifier": "tokens",
    "TwoChoiceBalancer": "balancer",
    "Upstream": "upstream",
    "load_bundle": "settings",
    "rank_members": "hashing",
}
__all__ = ["__version__", *_MODULES]


def __getattr__(name):
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULES[name]}"), name)


def __dir__():
    return sorted([*globals(), *_MODULES])
