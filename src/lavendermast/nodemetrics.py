"""The metrics of a running VM, each with the function that collects its values."""

import collections

import attrs

from lavendermast.floors import EjectionBudget
from lavendermast.status import describe_pool

WORK_CLASSES = ("short", "long")


@attrs.frozen
class Metric:
    """
    One metric of a VM.

    :param kind: ``counter`` or ``gauge``.
    :param collect: callable that takes a node and returns pairs of labels and value.
    """

    name: str
    kind: str
    help_text: str
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


def _get_floor_servers(node):
    for pool in node.pools:
        yield (
            {"service": pool.name},
            EjectionBudget.from_config(pool.service).min_available,
        )


def _count_queued(node):
    for pool in node.pools:
        for work, queue in pool.queues.items():
            yield {"service": pool.name, "work": work}, queue.waiting


def _count_admitted(node):
    for pool in node.pools:
        for work, queue in pool.queues.items():
            yield {"service": pool.name, "work": work}, queue.permits


def _get_request_limits(node):
    for pool in node.pools:
        for work in WORK_CLASSES:
            yield {"service": pool.name, "work": work}, pool.balancer.get_capacity(work)


def _get_document_versions(node):
    for item in node.fleet.documents.get_versions():
        yield {"document": item.name}, item.version


def _get_config_ages(node):
    for item in node.fleet.documents.get_versions():
        yield {"document": item.name}, node.get_document_age(item.name)


def _count_ledger_entries(node):
    ledger = node.idempotency_guard.ledger
    yield {}, len(ledger) if ledger is not None else 0


def _count_body_bytes(node):
    yield {"state": "used"}, node.memory.used_bytes
    yield {"state": "limit"}, node.memory.max_bytes


def _count_memory_refusals(node):
    yield {}, node.memory.refusals


def _make_traffic_collector(attribute):
    def collect(node):
        counter = getattr(node.fleet.network.counts, attribute)
        for (direction, kind), count in counter.items():
            yield {"direction": direction, "kind": kind}, count

    return collect


def _count_drops(node):
    for reason, count in node.fleet.network.count_drops().items():
        yield {"reason": reason}, count


METRICS = (
    Metric(
        "requests_total",
        "counter",
        "Callers' requests by outcome and reason.",
        _count_outcomes,
    ),
    Metric(
        "attempts_total",
        "counter",
        "Attempts at servers by service and status.",
        _count_attempts,
    ),
    Metric(
        "available_servers",
        "gauge",
        "Servers above the ejected level by service.",
        _count_available,
    ),
    Metric("ejected_servers", "gauge", "Ejected servers by service.", _count_ejected),
    Metric(
        "floor_servers",
        "gauge",
        "Servers that ejection never goes below, by service.",
        _get_floor_servers,
    ),
    Metric(
        "queue_length",
        "gauge",
        "Requests that wait for admission, by service and class of work.",
        _count_queued,
    ),
    Metric(
        "admitted_requests",
        "gauge",
        "Requests admitted and not ended, by service and class of work.",
        _count_admitted,
    ),
    Metric(
        "request_limit",
        "gauge",
        "Requests that may be in flight now, by service and class of work.",
        _get_request_limits,
    ),
    Metric("members", "gauge", "Members by state.", _count_members),
    Metric(
        "document_version",
        "gauge",
        "Version in force by document.",
        _get_document_versions,
    ),
    Metric(
        "config_age_seconds",
        "gauge",
        "Seconds since the version in force was accepted, by document.",
        _get_config_ages,
    ),
    Metric(
        "ledger_entries",
        "gauge",
        "Idempotency keys that are remembered.",
        _count_ledger_entries,
    ),
    Metric(
        "body_bytes",
        "gauge",
        "Memory of bodies of requests and responses, and its bound.",
        _count_body_bytes,
    ),
    Metric(
        "memory_refusals_total",
        "counter",
        "Bodies that were refused or not buffered for lack of memory.",
        _count_memory_refusals,
    ),
    Metric(
        "control_messages_total",
        "counter",
        "Control messages by direction and kind.",
        _make_traffic_collector("messages"),
    ),
    Metric(
        "control_bytes_total",
        "counter",
        "Control bytes by direction and kind.",
        _make_traffic_collector("bytes"),
    ),
    Metric(
        "control_drops_total",
        "counter",
        "Dropped peer messages by reason.",
        _count_drops,
    ),
    Metric(
        "store_calls_total",
        "counter",
        "Calls to the configuration service.",
        lambda node: [({}, node.fleet.store.calls)],
    ),
    Metric(
        "log_dropped_total",
        "counter",
        "Log lines dropped because the writer was behind.",
        lambda node: [({}, node.log.dropped)],
    ),
)


def register_metrics(registry, node):
    """Register all metrics of a node."""
    for metric in METRICS:
        add = registry.add_counter if metric.kind == "counter" else registry.add_gauge
        add(
            f"lavendermast_{metric.name}",
            metric.help_text,
            lambda metric=metric: metric.collect(node),
        )


def render_metrics_reference():
    """Return the metrics reference as a Markdown table."""
    lines = ["| metric | kind | meaning |", "|---|---|---|"]
    lines += [
        f"| `lavendermast_{metric.name}` | {metric.kind} | {metric.help_text} |"
        for metric in METRICS
    ]
    return "\n".join(lines) + "\n"
