"""Starts an entry process from a source checkout."""

import gc
import pathlib
import sys

# Nothing that the imports make is garbage; looking for it takes 6% of the start. The
# daemon enables the collector once it serves.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from lavendermast.entrydaemon import main  # noqa: E402

main()
