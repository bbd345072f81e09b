"""Background tasks that outlast errors, and limits on the time of a call."""

import contextlib
import traceback

import eventlet

#: Delay before a background task that failed runs again.
RESTART_DELAY_S = 0.2


@contextlib.contextmanager
def limit_time(seconds, error):
    """
    Raise an error in a block that takes longer than some seconds.

    A timeout that the calling code has set passes through.

    >>> with limit_time(0.01, ValueError("late")):
    ...     eventlet.sleep(1)
    Traceback (most recent call last):
    ValueError: late
    """
    timeout = eventlet.Timeout(seconds)
    try:
        with timeout:
            yield
    except eventlet.Timeout as raised:
        if raised is not timeout:
            raise
        raise error from raised


def describe_error(error):
    """Return the end of an error's traceback, for the log."""
    return "".join(traceback.format_exception(error)[-3:])


def run_until_done(run, clock, record_event):
    """
    Run a background task; after an error, log it and run the task again.

    :param run: callable without arguments; the task ends when it returns.
    """
    while True:
        try:
            run()
            return
        except Exception as error:
            record_event(
                "task_failed",
                task=getattr(run, "__qualname__", repr(run)),
                detail=describe_error(error),
            )
            clock.sleep(RESTART_DELAY_S)
