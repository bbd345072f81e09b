"""Starts an entry process from a source checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from lavendermast.entrydaemon import main  # noqa: E402

main()
