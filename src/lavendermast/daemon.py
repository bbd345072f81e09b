"""Command ``lavendermastd``: runs one VM as a daemon."""

import signal
import sys
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import defopt  # noqa: E402

from lavendermast.exceptions import SettingsError  # noqa: E402
from lavendermast.node import Node  # noqa: E402
from lavendermast.settings import load_process_settings  # noqa: E402


def run_daemon(*, settings: str):
    """
    Serve callers until SIGTERM or SIGINT.

    The first signal starts a graceful stop; a second one exits immediately. SIGHUP
    reloads the fleet keys from the settings.

    :param settings: JSON file with the settings of this process.
    """
    try:
        checked = load_process_settings(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    try:
        node = Node(checked)
    except OSError as error:
        print(
            f"cannot listen: {error}; check the addresses in {settings}",
            file=sys.stderr,
        )
        sys.exit(1)
    stop_requested = eventlet.event.Event()

    def handle_signal(number, frame):
        if stop_requested.ready():
            eventlet.spawn_n(node.abort)
            return
        stop_requested.send(signal.Signals(number).name)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_signal)
    signal.signal(
        signal.SIGHUP,
        lambda number, frame: eventlet.spawn_n(node.reload_keys, settings),
    )
    node.start()
    node.stop(stop_requested.wait())


def main():
    """Run the daemon from the command line."""
    defopt.run(run_daemon, no_negated_flags=True)


if __name__ == "__main__":
    main()
