"""Background tasks that fail."""

from lavendermast.clock import ManualClock
from lavendermast.tasks import RESTART_DELAY_S, run_until_done


def test_task_that_fails_is_logged_and_runs_again():
    """Guards against a task that ends unseen, whose work nobody does from then on."""
    events, results, clock = [], [ValueError("odd"), None], ManualClock()

    def run():
        result = results.pop(0)
        if result is not None:
            raise result

    def record(event, **fields):
        events.append((event, fields["detail"].splitlines()[-1]))

    run_until_done(run, clock, record)
    assert events == [("task_failed", "ValueError: odd")]
    assert (clock.monotonic(), results) == (RESTART_DELAY_S, [])
