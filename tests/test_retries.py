"""Retries: the outcome table and the budget."""

import itertools

import pytest
from hypothesis import given, strategies as st

from lavendermast.clock import ManualClock
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.retries import (
    MAX_SAVED_RETRIES,
    RetryBudget,
    RetryContext,
    RetryPolicy,
    WindowedRetryBudget,
    compute_slack_share,
)

# For each status of a first attempt and kind of request: whether it is retried, and the
# outcome and HTTP status if not. Nothing was sent to the caller yet.
TABLE = """
status          idempotent    keyed         unkeyed       outcome   http
error           retry         stop          stop          unknown   502
shed            retry         retry         stop          not-run   503
draining        retry         retry         stop          not-run   503
misdirected     retry         retry         stop          not-run   503
connect_failed  retry         retry         stop          not-run   503
timeout         retry         stop          stop          unknown   504
cut             retry         stop          stop          unknown   502
expired         stop          stop          stop          not-run   503
shortage        stop          stop          stop          not-run   503
denied          stop          stop          stop          not-run   503
cancelled       stop          stop          stop          unknown   499
"""
ROWS = [line.split() for line in TABLE.split("\n")[2:-1]]
KINDS = {"idempotent": (True, False), "keyed": (False, True), "unkeyed": (False, False)}


def decide(status, kind, attempts=1, bytes_sent=0, ran=False, deadline=5.0):
    policy = RetryPolicy(RetryBudget(0.1), 3, ManualClock())
    context = RetryContext(*KINDS[kind], deadline, ran)
    result = AttemptResult("s", AttemptStatus(status), http_status=200)
    return policy.decide(context, result, attempts, bytes_sent)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0])
def test_outcome_table(row):
    """
    Guards against a wrong ``not-run`` (R3) and a second run of a non-idempotent request
    (R4).
    """
    status, *actions, outcome, http = row
    for kind, action in zip(KINDS, actions, strict=True):
        decision = decide(status, kind)
        assert decision.retry == (action == "retry")
        assert (decision.outcome.value, decision.status) == (outcome, int(http))
        after_run = decide(status, kind, ran=True)
        assert after_run.outcome.value == "unknown"
        assert after_run.retry == (kind == "idempotent" and action == "retry")
        begun = decide(status, kind, bytes_sent=1)
        assert (begun.retry, begun.outcome.value, begun.status) == (False, "unknown", 0)
        assert not decide(status, kind, attempts=3).retry
        assert not decide(status, kind, deadline=0.0).retry


def test_table_covers_every_failure():
    """Guards against a new status that the table does not cover."""
    assert {row[0] for row in ROWS} | {"ok"} == {item.value for item in AttemptStatus}
    assert decide("ok", "unkeyed").outcome.value == "answered"


@given(st.lists(st.booleans()), st.floats(0, 1))
def test_retries_stay_within_share_and_reserve(steps, share):
    """Guards the servers against a retry storm."""
    budget = RetryBudget(share)
    for start in (0, len(steps) // 2):  # the bound holds from any moment on
        spent = requests = 0
        for retry in itertools.islice(steps, start, None):
            if retry:
                spent += budget.spend()
            else:
                budget.add_request()
                requests += 1
            assert spent <= share * requests + MAX_SAVED_RETRIES + 1e-6 * requests


def test_no_retry_that_would_make_a_refusal_late():
    """Guards the 50 ms bound on refusals; retries in another region exceeded it."""
    policy = RetryPolicy(RetryBudget(0.1), 3, ManualClock())
    # A latency of 0.001 s is that of a near server; the retry may go to another region,
    # whose shed response takes longer.
    for latency in (0.02, 0.001):
        shed = AttemptResult("s", AttemptStatus.SHED, latency)
        for refuse_by, retry in ((0.01, False), (0.03, True)):
            context = RetryContext(True, False, 5.0, refuse_by=refuse_by)
            assert policy.decide(context, shed, 1).retry == retry
            # Refusals of requests that arrived before the overload was detected were
            # late too.
            context = RetryContext(True, False, 5.0, arrived_at=refuse_by - 0.05)
            assert policy.decide(context, shed, 1).retry == retry


def test_shed_attempts_do_not_spend_the_budget():
    """Guards requests at moderate load, where occasional sheds used up the budget."""
    budget = RetryBudget(0.0)
    policy = RetryPolicy(budget, 3, ManualClock())
    context = RetryContext(True, False, 5.0)
    for _ in range(2 * MAX_SAVED_RETRIES):
        assert policy.decide(context, AttemptResult("s", AttemptStatus.SHED), 2).retry
        assert not policy.decide(
            context, AttemptResult("s", AttemptStatus.SHED), 3
        ).retry
    assert [budget.spend() for _ in range(MAX_SAVED_RETRIES + 1)] == [
        True
    ] * MAX_SAVED_RETRIES + [False]


@pytest.mark.parametrize("reloads", [False, True])
def test_budgets_of_active_and_inactive_vms_stay_within_the_slack_of_the_fleet(reloads):
    """
    Guards against retries beyond the fleet's budget (BUDGET).

    Callers' requests also reach VMs that are not active, and each VM retries as much as
    it may. The settings are reloaded while the window lasts.
    """
    slack, window_s, active, inactive = 60.0, 10.0, 12, 32
    clock = ManualClock(100.0)
    limits = [
        (0.0, slack * compute_slack_share(active, count), window_s)
        for count in [0] * active + [inactive] * inactive
    ]
    budgets = [WindowedRetryBudget(*each, clock) for each in limits]
    retries = 0
    for _ in range(100):
        for budget, each in zip(budgets, limits, strict=True):
            if reloads:
                budget.set_limits(*each)
            retries += budget.spend()
        clock.advance(window_s / 100)
    assert retries <= slack
