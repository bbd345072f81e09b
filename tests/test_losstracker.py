"""
The share of lost requests that decides whether the floor is kept.

The floor is the share of a service's healthy servers that have to get requests while
many requests fail.
"""

import pytest

from lavendermast.durations import Durations
from lavendermast.losstracker import MAX_SICK_PROBABILITY, LossTracker
from lavendermast.suspicion import AttemptOutcome, ServerEvidence

NOW = 100.0


@pytest.fixture
def durations():
    return Durations(2.0)


def make_loss_tracker(durations, succeeded, lost, retryable=False):
    """Return a loss tracker and its ten servers, which have finished attempts."""
    servers = {f"s{n}": ServerEvidence() for n in range(10)}
    for number in range(succeeded + lost):
        evidence = servers[f"s{number % 10}"]
        attempt = evidence.start(NOW - 1.0, durations, retryable)
        outcome = AttemptOutcome.SUCCEEDED if number >= lost else AttemptOutcome.FAILED
        evidence.finish(attempt, NOW - 0.5, outcome)
    return LossTracker(servers.__getitem__, 0.7), servers


@pytest.mark.parametrize(
    ("succeeded", "lost", "retryable", "bound"),
    [
        (38, 2, False, None),
        (36, 4, False, MAX_SICK_PROBABILITY),
        (34, 6, False, 1.0),
        (28, 12, True, MAX_SICK_PROBABILITY),
        (32, 8, True, None),
        (9, 1, False, None),
    ],
)
def test_share_of_lost_requests_sets_the_sick_probability_bound(
    durations, succeeded, lost, retryable, bound
):
    """Guards against sending requests to sick servers while few requests fail."""
    loss_tracker, servers = make_loss_tracker(durations, succeeded, lost, retryable)
    assert loss_tracker.find_max_sick_probability("stock", servers, NOW) == bound


def test_requests_of_other_regions_count_while_they_are_fresh(durations):
    """
    Guards against activating the floor for chance losses in one region.

    Also guards against using reports of other regions that are too old.
    """
    loss_tracker, servers = make_loss_tracker(durations, 36, 4)
    loss_tracker.apply_losses("south", "stock", 60, 1, NOW)
    loss_tracker.apply_losses("south", "other", 60, 60, NOW)
    assert loss_tracker.find_max_sick_probability("stock", servers, NOW) is None
    later, servers = make_loss_tracker(durations, 36, 4)
    later.apply_losses("south", "stock", 60, 1, NOW - 3.0)
    assert (
        later.find_max_sick_probability("stock", servers, NOW) == MAX_SICK_PROBABILITY
    )


def test_abandoned_requests_do_not_activate_the_floor(durations):
    """Guards against sending requests to sick servers because callers disconnected."""
    loss_tracker, servers = make_loss_tracker(durations, 36, 0)
    for evidence in servers.values():
        for _ in range(2):
            attempt = evidence.start(NOW - 1.0, durations, False)
            evidence.finish(attempt, NOW - 0.7, AttemptOutcome.ABANDONED)
    assert loss_tracker.find_max_sick_probability("stock", servers, NOW) is None


def test_non_idempotent_request_that_timed_out_is_lost(durations):
    """Guards against a share of losses that misses requests without a response."""
    loss_tracker, servers = make_loss_tracker(durations, 36, 0)
    for evidence in list(servers.values())[:4]:
        attempt = evidence.start(NOW - 2.0, durations, False)
        evidence.finish(attempt, NOW - 0.1, AttemptOutcome.ABANDONED)
    assert (
        loss_tracker.find_max_sick_probability("stock", servers, NOW)
        == MAX_SICK_PROBABILITY
    )
