"""Test configuration: eventlet patching and derandomized Hypothesis examples."""

import eventlet

# The daemon runs with patched modules. Collecting doctests imports the daemon, so all
# tests run with them.
eventlet.monkey_patch()

from hypothesis import settings  # noqa: E402

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
