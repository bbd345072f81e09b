"""What operators see of a running VM: status, explanations and metrics."""

import collections

from lavendermast.floors import EjectionBudget


class StatusReporter:
    """
    Describes a node.

    :param node: the running ``node.Node``.
    """

    def __init__(self, node):
        self._node = node

    def get_status(self):
        """Return the status mapping that ``lavendermast status`` shows."""
        node = self._node
        own = node.fleet.membership.own
        return {
            "vm": own.vm,
            "zone": own.zone,
            "region": own.region,
            "state": own.state,
            "ready": node.policy.ready,
            "boot_id": f"{own.boot_id:016x}",
            "documents": self._describe_documents(),
            "members": [
                {
                    "vm": member.vm,
                    "zone": member.zone,
                    "state": member.state,
                    "incarnation": member.incarnation,
                }
                for member in node.fleet.membership.get_members()
            ],
            "services": {pool.name: describe_pool(pool) for pool in node.pools},
        }

    def explain(self, method, path):
        """Return where a request would go now and why."""
        node = self._node
        if not node.policy.ready:
            return {"error": "this VM has no configuration yet"}
        found = node.policy.router.find_route(method, path)
        if found is None:
            return {"error": f"no route matches {method} {path}"}
        name, route = found
        wanted = node.policy.get_service_set(route.service)
        choice = node.pools.get(route.service).balancer.choose(route)
        described = None
        if choice is not None:
            described = {
                "server": choice.server.name,
                "reason": choice.reason,
                "candidates": choice.candidates,
            }
        return {
            "route": name,
            "service": route.service,
            "in_set": node.identity.vm in wanted,
            "choice": described,
            "config_version": node.policy.version,
        }

    def _describe_documents(self):
        return {
            item.name: {
                "version": item.version,
                "digest": item.digest.hex()[:16],
                "age_s": round(self._node.get_document_age(item.name), 3),
            }
            for item in self._node.fleet.documents.get_versions()
        }


def describe_pool(pool):
    """Return the servers of a service pool with their weights."""
    servers = [
        {
            "server": server.name,
            "weight": round(pool.tracker.get_weight(server.name), 3),
            "in_flight": pool.balancer.get_in_flight(server.name, "short")
            + pool.balancer.get_in_flight(server.name, "long"),
            "state": server.state.value,
        }
        for server in pool.listed.values()
    ]
    return {
        "servers": servers,
        "floor": EjectionBudget.from_config(pool.service).keep,
        "available": sum(1 for server in servers if server["weight"] > 0),
    }


def add_metrics(board, node):
    """Add the metrics of a node to a board."""

    def count_members():
        states = collections.Counter(
            member.state for member in node.fleet.membership.get_members()
        )
        return [({"state": state}, count) for state, count in states.items()]

    def count_outcomes():
        return [
            ({"outcome": outcome, "reason": reason}, count)
            for (outcome, reason), count in node.gateway.outcomes.items()
        ]

    def count_available():
        return [
            ({"service": pool.name}, describe_pool(pool)["available"])
            for pool in node.pools
        ]

    def count_control(counter):
        return lambda: [
            ({"direction": direction, "kind": kind}, count)
            for (direction, kind), count in counter.items()
        ]

    counts = node.fleet.network.counts
    board.add_counter(
        "lavendermast_requests_total", "Requests by outcome and reason.", count_outcomes
    )
    board.add_gauge("lavendermast_members", "Members by state.", count_members)
    board.add_gauge(
        "lavendermast_available_servers",
        "Servers above the ejected level by service.",
        count_available,
    )
    board.add_gauge(
        "lavendermast_floor_servers",
        "Servers that ejection never goes below, by service.",
        lambda: [
            ({"service": pool.name}, EjectionBudget.from_config(pool.service).keep)
            for pool in node.pools
        ],
    )
    board.add_gauge(
        "lavendermast_queue_length",
        "Requests that wait for admission, by service and class of work.",
        lambda: [
            ({"service": pool.name, "work": work}, queue.waiting)
            for pool in node.pools
            for work, queue in pool.queues.items()
        ],
    )
    board.add_gauge(
        "lavendermast_document_version",
        "Version in force by document.",
        lambda: [
            ({"document": item.name}, item.version)
            for item in node.fleet.documents.get_versions()
        ],
    )
    board.add_gauge(
        "lavendermast_config_age_seconds",
        "Seconds since the document was last accepted, by document.",
        lambda: [
            ({"document": item.name}, node.get_document_age(item.name))
            for item in node.fleet.documents.get_versions()
        ],
    )
    board.add_counter(
        "lavendermast_control_messages_total",
        "Control messages by direction and kind.",
        count_control(counts.messages),
    )
    board.add_counter(
        "lavendermast_control_bytes_total",
        "Control bytes by direction and kind.",
        count_control(counts.bytes),
    )
    board.add_counter(
        "lavendermast_control_drops_total",
        "Dropped peer messages by reason.",
        lambda: [({"reason": reason}, n) for reason, n in counts.drops.items()],
    )
    board.add_counter(
        "lavendermast_store_calls_total",
        "Calls to the configuration service.",
        lambda: [({}, node.fleet.store.calls)],
    )
    board.add_counter(
        "lavendermast_log_dropped_total",
        "Log lines dropped because the writer was behind.",
        lambda: [({}, node.log.dropped)],
    )
