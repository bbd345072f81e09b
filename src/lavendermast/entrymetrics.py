"""Metrics of an entry VM."""

import contextlib

from lavendermast.answers import send_response
from lavendermast.descriptors import count_open_descriptors, get_descriptor_limit
from lavendermast.metrics import MetricsRegistry
from lavendermast.zonefleet import get_capacity

#: Histogram bounds in seconds, from a fast refusal to the longest route timeout.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0)


def build_metrics(node):
    """Return the metrics registry of an :class:`~lavendermast.entrynode.EntryNode`."""
    registry = MetricsRegistry()
    application, sync = node.application, node.sync
    application.latencies = registry.add_histogram(
        "lavendermast_entry_request_seconds",
        "Time from a request's arrival to its final answer, by route.",
        LATENCY_BUCKETS_S,
    )
    registry.add_counter(
        "lavendermast_entry_requests_total",
        "Final answers by outcome and reason.",
        lambda: [
            ({"outcome": outcome, "reason": reason}, count)
            for (outcome, reason), count in application.outcomes.items()
        ],
    )
    registry.add_counter(
        "lavendermast_entry_attempts_total",
        "Attempts at servers by service and status.",
        lambda: [
            ({"service": service, "status": status}, count)
            for (service, status), count in node.runner.attempt_counts.items()
        ],
    )
    registry.add_counter(
        "lavendermast_entry_connections_total",
        "Connections opened to servers.",
        lambda: [({}, node.upstream.connections_opened)],
    )
    registry.add_counter(
        "lavendermast_entry_store_calls_total",
        "Calls of the store.",
        lambda: [({}, sync.calls)],
    )
    registry.add_counter(
        "lavendermast_entry_peer_bytes_total",
        "Bytes exchanged with other VMs by direction, kind and scope: zone, region, "
        "other regions, or unknown for VMs that are not known yet.",
        lambda: [
            ({"direction": direction, "kind": kind, "scope": scope}, count)
            for (direction, kind, scope), count in (
                node.network.counts.scoped_bytes.items()
            )
        ],
    )
    registry.add_counter(
        "lavendermast_entry_server_bytes_total",
        "Bytes of requests to servers and their responses, by direction and scope.",
        lambda: [
            ({"direction": direction, "scope": scope}, count)
            for (direction, scope), count in node.upstream.traffic.items()
        ],
    )
    registry.add_gauge(
        "lavendermast_entry_capacity",
        "Requests per second that this VM is meant to serve.",
        lambda: [({}, get_capacity(node.fleet.local_vm))],
    )
    registry.add_gauge(
        "lavendermast_entry_link_use",
        "Share of this VM's link that requests use; 0 if the link is not known.",
        lambda: [({}, round(node.link.used_share, 3))],
    )
    registry.add_counter(
        "lavendermast_entry_peer_drops_total",
        "Messages of other VMs that were dropped, by reason.",
        lambda: [
            ({"reason": reason}, count)
            for reason, count in node.network.count_drops().items()
        ],
    )
    registry.add_counter(
        "lavendermast_entry_log_lines_dropped_total",
        "Log lines that were not written.",
        lambda: [({}, node.log.count_dropped())],
    )
    registry.add_gauge(
        "lavendermast_entry_in_flight",
        "Requests without a final answer.",
        lambda: [({}, application.in_flight)],
    )
    registry.add_gauge(
        "lavendermast_entry_config_version",
        "Version of the configuration in force.",
        lambda: [({}, node.catalog.config_version)],
    )
    registry.add_gauge(
        "lavendermast_entry_store_era",
        "Era of the store that the configuration and servers in use are from.",
        lambda: [({}, node.catalog.era)],
    )
    registry.add_gauge(
        "lavendermast_entry_store_revision",
        "Revision of the store that the configuration and servers in use are from.",
        lambda: [({}, node.catalog.revision)],
    )
    registry.add_gauge(
        "lavendermast_entry_store_reachable",
        "Whether the last call of the store succeeded.",
        lambda: [({}, int(sync.store_reachable))],
    )
    registry.add_gauge(
        "lavendermast_entry_store_age_seconds",
        "Time since the store confirmed that configuration and servers are the newest.",
        lambda: [({}, round(sync.get_confirmed_age_ms() / 1000, 3))],
    )
    _add_account_metrics(registry, node.authorizer)
    registry.add_gauge(
        "lavendermast_entry_servers",
        "Listed servers by service.",
        lambda: [
            ({"service": service}, count)
            for service, count in node.catalog.count_servers().items()
        ],
    )
    registry.add_gauge(
        "lavendermast_entry_limited_servers",
        "Servers that name a rate limit.",
        lambda: [({}, node.rate_limits.count_limited())],
    )
    registry.add_counter(
        "lavendermast_entry_allowance_refusals_total",
        "Requests that were refused because their account is over its allowance.",
        lambda: [({}, node.allowances.refusals)],
    )
    registry.add_gauge(
        "lavendermast_entry_accounts_over_allowance",
        "Accounts that are over their allowance at this VM.",
        lambda: [({}, node.allowances.count_exceeded())],
    )
    registry.add_gauge(
        "lavendermast_entry_allowance_states",
        "Accounts with a limit that were in use lately.",
        lambda: [({}, node.allowances.count_states())],
    )
    registry.add_gauge(
        "lavendermast_entry_leaving_servers",
        "Listed servers that said in a response that they are leaving.",
        lambda: [({}, node.notices.count_leaving())],
    )
    registry.add_gauge(
        "lavendermast_entry_paused_servers",
        "Servers that turned a request away and want none for a while.",
        lambda: [({}, node.notices.count_paused())],
    )
    registry.add_counter(
        "lavendermast_entry_server_crashes_total",
        "Crashes of servers under attempts of this VM.",
        lambda: [({}, node.crashes.crashes)],
    )
    registry.add_gauge(
        "lavendermast_entry_crash_suspects",
        "Requests that were in flight when servers crashed, and those that are held.",
        lambda: _count_suspects(node.crash_tracker),
    )
    node.admission.waits = registry.add_histogram(
        "lavendermast_entry_admission_wait_seconds",
        "Time for which requests waited for a slot, without those that did not wait.",
        LATENCY_BUCKETS_S,
    )
    registry.add_gauge(
        "lavendermast_entry_admission_waiting",
        "Requests that wait for a slot, by service.",
        lambda: [
            ({"service": service}, count)
            for service, count in node.admission.count_waiting().items()
        ],
    )
    registry.add_counter(
        "lavendermast_entry_admission_refusals_total",
        "Requests refused because no slot gets free in time, by service.",
        lambda: [
            ({"service": service}, count)
            for service, count in node.admission.count_refusals().items()
        ],
    )
    registry.add_gauge(
        "lavendermast_entry_vms",
        "Live VMs that this one knows, without itself.",
        lambda: [({}, len(node.fleet.vms))],
    )
    registry.add_gauge(
        "lavendermast_entry_active_vms",
        "VMs that callers are directed to, by zone.",
        lambda: [
            ({"zone": item.zone}, len(node.fleet.get_active(item.zone)))
            for item in node.settings.zones
        ],
    )
    registry.add_gauge(
        "lavendermast_entry_error_likelihood_ratio",
        "Factor by which an error response changes the odds of a sick server.",
        lambda: [({}, node.evidence.error_rates.likelihood_ratio)],
    )
    registry.add_gauge(
        "lavendermast_entry_descriptors",
        "File descriptors that are open, and how many may be.",
        _count_descriptors,
    )
    registry.add_gauge(
        "lavendermast_entry_body_bytes",
        "Memory of bodies of requests and responses, and its bound.",
        lambda: [
            ({"state": "used"}, node.memory.used_bytes),
            ({"state": "limit"}, node.memory.max_bytes),
        ],
    )
    registry.add_counter(
        "lavendermast_entry_memory_refusals_total",
        "Bodies that were refused or not buffered for lack of memory.",
        lambda: [({}, node.memory.refusals)],
    )
    registry.add_counter(
        "lavendermast_entry_accept_errors_total",
        "Connections that could not be accepted, by listener.",
        lambda: [
            ({"listener": name}, listener.accept_errors)
            for name, listener in node.listeners.items()
        ],
    )
    return registry


def _add_account_metrics(registry, authorizer):
    registry.add_gauge(
        "lavendermast_entry_accounts",
        "Client accounts in force.",
        lambda: [({}, authorizer.directory.count)],
    )
    registry.add_gauge(
        "lavendermast_entry_keys_fenced",
        "Whether requests with keys are refused, because the state is not proven.",
        lambda: [({}, int(authorizer.is_fenced()))],
    )
    registry.add_gauge(
        "lavendermast_entry_proven_age_seconds",
        "Time since the state was proven to be the newest; empty before any proof.",
        lambda: _list_known(authorizer.get_proven_age_ms()),
    )
    registry.add_counter(
        "lavendermast_entry_key_refusals_total",
        "Requests that were refused on arrival for their key, by reason.",
        lambda: [
            ({"reason": reason}, count) for reason, count in authorizer.refusals.items()
        ],
    )


def _list_known(age_ms):
    return [] if age_ms is None else [({}, age_ms / 1000)]


def _count_descriptors():
    values = [({"state": "limit"}, get_descriptor_limit())]
    # The platform may not list them, and without a free one the list cannot be read.
    with contextlib.suppress(OSError):
        values.append(({"state": "open"}, count_open_descriptors()))
    return values


def _count_suspects(tracker):
    suspects, held = tracker.count()
    return [({"state": "suspect"}, suspects), ({"state": "held"}, held)]


class MetricsApplication:
    """Serves the metrics in text format."""

    def __init__(self, registry):
        self._registry = registry

    def __call__(self, environ, start_response):
        content = self._registry.render()
        return send_response(start_response, "200 OK", content, "text/plain")
