"""Entry point of the entry VM daemon."""

import gc
import os
import signal
import sys
import warnings

# All addresses are numeric, and the resolver doubles the import time of eventlet.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

# The process has one thread. With thread=True, eventlet searches all loaded modules for
# locks, which takes a fifth of the start.
eventlet.monkey_patch(os=True, select=True, socket=True, time=True)

from lavendermast.clock import SystemClock  # noqa: E402
from lavendermast.entrynode import EntryNode  # noqa: E402
from lavendermast.exceptions import SettingsError  # noqa: E402
from lavendermast.platform.adapter import Platform, get_settings_path  # noqa: E402
from lavendermast.settings import load_entry_settings  # noqa: E402


def run_entry(path):
    """
    Serve callers until SIGTERM or SIGINT.

    :param path: JSON file with the settings of this process.
    """
    try:
        settings = load_entry_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    clock = SystemClock()
    node = EntryNode(settings, Platform.from_settings(settings, clock), clock)
    stop_requested = eventlet.event.Event()

    def handle_signal(number, frame):
        if not stop_requested.ready():
            stop_requested.send(signal.Signals(number).name)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_signal)
    signal.signal(
        signal.SIGHUP, lambda number, frame: eventlet.spawn_n(node.reload, path)
    )
    node.start()
    # The modules live as long as the process, so the collector need not scan them.
    # deploy/entry.py disables the collector during the imports.
    gc.freeze()
    gc.enable()
    node.stop(stop_requested.wait())


def main():
    """Run an entry VM with the settings file that the platform specifies."""
    run_entry(get_settings_path())


if __name__ == "__main__":
    main()
