"""Background tasks that outlast errors."""

import traceback

#: Delay before a background task that failed runs again.
RESTART_DELAY_S = 0.2


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
