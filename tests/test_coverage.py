"""The share of lost requests that decides whether the floor is kept."""

import pytest

from lavendermast.coverage import MAX_SICKNESS, Coverage
from lavendermast.durations import Durations
from lavendermast.suspicion import Ending, ServerEvidence

NOW = 100.0


@pytest.fixture
def durations():
    return Durations(2.0)


def make_coverage(durations, succeeded, lost, repeatable=False):
    """Return the coverage of ten servers that share some ended attempts."""
    servers = {f"s{n}": ServerEvidence() for n in range(10)}
    for number in range(succeeded + lost):
        evidence = servers[f"s{number % 10}"]
        attempt = evidence.start(NOW - 1.0, durations, repeatable)
        ending = Ending.SUCCEEDED if number >= lost else Ending.FAILED
        evidence.finish(attempt, NOW - 0.5, ending)
    return Coverage(servers.__getitem__, 0.7), servers


@pytest.mark.parametrize(
    ("succeeded", "lost", "repeatable", "bound"),
    [
        (38, 2, False, None),
        (36, 4, False, MAX_SICKNESS),
        (34, 6, False, 1.0),
        (28, 12, True, MAX_SICKNESS),
        (32, 8, True, None),
        (9, 1, False, None),
    ],
)
def test_lost_requests_decide_which_servers_need_some(
    durations, succeeded, lost, repeatable, bound
):
    """Guards against work for sick servers while few requests fail."""
    coverage, servers = make_coverage(durations, succeeded, lost, repeatable)
    assert coverage.find_max_sickness("stock", servers, NOW) == bound


def test_requests_of_other_regions_count_while_they_are_fresh(durations):
    """Guards against a floor that starts by the chance of one region's few requests."""
    coverage, servers = make_coverage(durations, 36, 4)
    coverage.note_losses("south", "stock", 60, 1, NOW)
    coverage.note_losses("south", "other", 60, 60, NOW)
    assert coverage.find_max_sickness("stock", servers, NOW) is None
    later, servers = make_coverage(durations, 36, 4)
    later.note_losses("south", "stock", 60, 1, NOW - 3.0)
    assert later.find_max_sickness("stock", servers, NOW) == MAX_SICKNESS


def test_callers_that_leave_early_do_not_start_the_floor(durations):
    """Guards against work for sick servers because callers gave up."""
    coverage, servers = make_coverage(durations, 36, 0)
    for evidence in servers.values():
        for _ in range(2):
            attempt = evidence.start(NOW - 1.0, durations, False)
            evidence.finish(attempt, NOW - 0.7, Ending.ABANDONED)
    assert coverage.find_max_sickness("stock", servers, NOW) is None


def test_booking_that_ran_into_its_deadline_is_lost(durations):
    """Guards against a share that misses requests which nobody answered."""
    coverage, servers = make_coverage(durations, 36, 0)
    for evidence in list(servers.values())[:4]:
        attempt = evidence.start(NOW - 2.0, durations, False)
        evidence.finish(attempt, NOW - 0.1, Ending.ABANDONED)
    assert coverage.find_max_sickness("stock", servers, NOW) == MAX_SICKNESS
