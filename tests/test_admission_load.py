"""What callers get at several loads, in a model of a region without a network."""

import pytest

from tests.admission_model import CAPACITY, SLOTS, Model

ACCOUNTS = [(f"{rank}-{number}", (rank, 0)) for rank in range(3) for number in range(4)]
LARGE = ("1-0", (1, 0))


def make_rates(load, large=1.0):
    unit = CAPACITY * load / len(ACCOUNTS)
    return {key: unit * (large if key == LARGE else 1.0) for key in ACCOUNTS}


def compute_served(callers, rank=None, account=None):
    """Return the share of callers that were answered within the goal."""
    chosen = [
        c for c in callers if rank in (None, c.rank[0]) and account in (None, c.account)
    ]
    return sum(caller.result == "served" for caller in chosen) / len(chosen)


def play(load, large=1.0, has_admission=True):
    """Return the callers of a burst, and those after it."""
    model = Model(has_admission)
    model.play(make_rates(0.5), 2.0)
    burst = model.play(make_rates(load, large), 8.0)
    model.play({}, 1.0)
    after = model.play(make_rates(0.5), 3.0)
    model.play({}, 3.0)
    return model, [c for c in burst if c.arrived > 13.0], after


@pytest.mark.parametrize(
    ("load", "large", "ranks", "useful"),
    [
        (0.8, 1, (0.99, 0.99, 0.99), 0.75),
        (1.0, 1, (0.98, 0.95, 0.6), 0.9),
        (1.5, 1, (0.97, 0.5, 0.05), 0.9),
        (3.0, 1, (0.7, 0.02, 0.01), 0.85),
        (0.8, 8, (0.97, 0.6, 0.1), 0.85),
        (1.5, 8, (0.95, 0.15, 0.02), 0.85),
    ],
)
def test_high_ranks_are_served_and_capacity_is_used(load, large, ranks, useful):
    """
    Guards against urgent work that suffers from other work, and against idle slots.

    Also against requests that servers shed, and an overload that outlasts its cause.
    """
    model, burst, after = play(load, large)
    for rank, share in enumerate(ranks):
        assert compute_served(burst, rank) >= share
    served = sum(caller.result == "served" for caller in burst)
    assert served / 7.0 / CAPACITY >= useful
    assert model.sheds < len(model.callers) * 0.04
    assert compute_served(after) > 0.97


def test_refusals_come_at_once_and_few_requests_are_late():
    """Guards against requests that are held although they get no slot in time."""
    _, burst, _ = play(3.0)
    times = sorted(seconds for caller in burst for seconds in caller.refusal_times)
    assert times[int(len(times) * 0.75)] < 0.01
    assert sum(caller.result == "late" for caller in burst) < 0.15 * len(burst)


def test_large_account_does_not_take_the_slots_of_others_of_its_rank():
    """Guards against small accounts that are starved by one at 8 times its use."""
    _, burst, _ = play(1.0, large=8.0)
    others = [compute_served(burst, account=f"1-{number}") for number in (1, 2, 3)]
    assert min(others) > 0.85
    assert compute_served(burst, account="1-0") < 0.6


def test_vms_that_choose_at_once_spread_over_servers():
    """Guards against VMs that all choose the cheapest server until reports arrive."""
    model, *_ = play(0.8)
    starts = [server.started for server in model.servers.values()]
    assert max(starts) < 1.3 * sum(starts) / len(starts)
    assert max(server.running for server in model.servers.values()) <= SLOTS
