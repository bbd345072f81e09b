"""Status and routing explanations of a running VM for operators."""

from lavendermast.floors import EjectionBudget


class StatusReporter:
    """
    Builds the status of a node.

    :param node: the running ``node.Node``.
    """

    def __init__(self, node):
        self._node = node

    def get_status(self):
        """Return the status mapping that ``lavendermast status`` shows."""
        node = self._node
        local_member = node.fleet.membership.local_member
        return {
            "vm": local_member.vm,
            "zone": local_member.zone,
            "region": local_member.region,
            "state": local_member.state,
            "ready": node.policy.ready,
            "boot_id": f"{local_member.boot_id:016x}",
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
        """Return the route, service and server for a request, and the reason."""
        node = self._node
        if not node.policy.ready:
            return {"error": "this VM has no configuration yet"}
        found = node.policy.router.find_route(method, path)
        if found is None:
            return {"error": f"no route matches {method} {path}"}
        name, route = found
        service_set = node.policy.get_service_set(route.service)
        choice = node.pools.get(route.service).balancer.choose(route)
        choice_fields = None
        if choice is not None:
            choice_fields = {
                "server": choice.server.name,
                "reason": choice.reason,
                "candidates": choice.candidates,
            }
        return {
            "route": name,
            "service": route.service,
            "in_set": node.identity.vm in service_set,
            "choice": choice_fields,
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
    """Return the servers of a service pool with their weights and loads."""
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
        "floor": EjectionBudget.from_config(pool.service).min_available,
        "available": sum(1 for server in servers if server["weight"] > 0),
    }
