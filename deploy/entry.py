"""Starts an entry process from a source checkout."""

import gc
import pathlib
import sys

# The imports create no garbage, and garbage collection takes 6% of the startup time.
# The daemon enables the collector once it serves callers.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from lavendermast.entrydaemon import main  # noqa: E402

main()
