"""Test configuration: the daemon's patched sockets, the same examples on every run."""

import eventlet

# The daemon runs patched; doctest collection imports it, so every test does.
eventlet.monkey_patch()

from hypothesis import settings  # noqa: E402

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
