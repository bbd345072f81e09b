"""The metrics of a running VM, each with the function that collects it."""

import collections

import attrs

from lavendermast.floors import EjectionBudget
from lavendermast.status import describe_pool

WORKS = ("short", "long")


@attrs.frozen
class Measure:
    """
    One metric.

    :param kind: ``counter`` or ``gauge``.
    :param collect: callable from a node to pairs of labels and value.
    """

    name: str
    kind: str
    doc: str
    collect: object


def _count_outcomes(node):
    for (outcome, reason), count in node.gateway.outcomes.items():
        yield {"outcome": outcome, "reason": reason}, count


def _count_attempts(node):
    for pool in node.pools:
        for status, count in pool.attempts.items():
            yield {"service": pool.name, "status": status}, count


def _count_members(node):
    members = node.fleet.membership.get_members()
    states = collections.Counter(member.state for member in members)
    for state, count in states.items():
        yield {"state": state}, count


def _count_available(node):
    for pool in node.pools:
        yield {"service": pool.name}, describe_pool(pool)["available"]


def _count_ejected(node):
    for pool in node.pools:
        yield {"service": pool.name}, pool.tracker.count_ejected()


def _get_floors(node):
    for pool in node.pools:
        yield {"service": pool.name}, EjectionBudget.from_config(pool.service).keep


def _get_queues(node):
    for pool in node.pools:
        for work, queue in pool.queues.items():
            yield {"service": pool.name, "work": work}, queue.waiting


def _get_permits(node):
    for pool in node.pools:
        for work, queue in pool.queues.items():
            yield {"service": pool.name, "work": work}, queue.permits


def _get_capacities(node):
    for pool in node.pools:
        for work in WORKS:
            yield {"service": pool.name, "work": work}, pool.balancer.get_capacity(work)


def _get_versions(node):
    for item in node.fleet.documents.get_versions():
        yield {"document": item.name}, item.version


def _get_ages(node):
    for item in node.fleet.documents.get_versions():
        yield {"document": item.name}, node.get_document_age(item.name)


def _get_ledger(node):
    ledger = node.guard.ledger
    yield {}, len(ledger) if ledger is not None else 0


def _count_traffic(attribute):
    def collect(node):
        counter = getattr(node.fleet.network.counts, attribute)
        for (direction, kind), count in counter.items():
            yield {"direction": direction, "kind": kind}, count

    return collect


def _count_drops(node):
    for reason, count in node.fleet.network.counts.drops.items():
        yield {"reason": reason}, count


MEASURES = (
    Measure(
        "requests_total",
        "counter",
        "Callers' requests by outcome and reason.",
        _count_outcomes,
    ),
    Measure(
        "attempts_total",
        "counter",
        "Attempts at servers by service and status.",
        _count_attempts,
    ),
    Measure(
        "available_servers",
        "gauge",
        "Servers above the ejected level by service.",
        _count_available,
    ),
    Measure("ejected_servers", "gauge", "Ejected servers by service.", _count_ejected),
    Measure(
        "floor_servers",
        "gauge",
        "Servers that ejection never goes below, by service.",
        _get_floors,
    ),
    Measure(
        "queue_length",
        "gauge",
        "Requests that wait for admission, by service and class of work.",
        _get_queues,
    ),
    Measure(
        "admitted_requests",
        "gauge",
        "Requests admitted and not ended, by service and class of work.",
        _get_permits,
    ),
    Measure(
        "request_limit",
        "gauge",
        "Requests that may be in flight now, by service and class of work.",
        _get_capacities,
    ),
    Measure("members", "gauge", "Members by state.", _count_members),
    Measure(
        "document_version", "gauge", "Version in force by document.", _get_versions
    ),
    Measure(
        "config_age_seconds",
        "gauge",
        "Seconds since the version in force was accepted, by document.",
        _get_ages,
    ),
    Measure(
        "ledger_entries", "gauge", "Idempotency keys that are remembered.", _get_ledger
    ),
    Measure(
        "control_messages_total",
        "counter",
        "Control messages by direction and kind.",
        _count_traffic("messages"),
    ),
    Measure(
        "control_bytes_total",
        "counter",
        "Control bytes by direction and kind.",
        _count_traffic("bytes"),
    ),
    Measure(
        "control_drops_total",
        "counter",
        "Dropped peer messages by reason.",
        _count_drops,
    ),
    Measure(
        "store_calls_total",
        "counter",
        "Calls to the configuration service.",
        lambda node: [({}, node.fleet.store.calls)],
    ),
    Measure(
        "log_dropped_total",
        "counter",
        "Log lines dropped because the writer was behind.",
        lambda node: [({}, node.log.dropped)],
    ),
)


def add_measures(board, node):
    """Add all metrics of a node to a board."""
    for measure in MEASURES:
        add = board.add_counter if measure.kind == "counter" else board.add_gauge
        add(
            f"lavendermast_{measure.name}",
            measure.doc,
            lambda measure=measure: measure.collect(node),
        )


def render_reference():
    """Return the metrics as rows of a Markdown table."""
    lines = ["| metric | kind | meaning |", "|---|---|---|"]
    lines += [
        f"| `lavendermast_{measure.name}` | {measure.kind} | {measure.doc} |"
        for measure in MEASURES
    ]
    return "\n".join(lines) + "\n"
