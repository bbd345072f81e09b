"""State of each service in this VM: servers, health, balancer and queues."""

import collections
import random

import attrs

from lavendermast.admission import AdmissionQueue
from lavendermast.balancer import TwoChoiceBalancer
from lavendermast.classes import WorkClassCheck
from lavendermast.health import HealthTracker
from lavendermast.models import Server, ServerState


@attrs.define
class ServicePool:
    """
    One service's servers with their health, load and admission queues.

    :param queues: admission queues by class of work.
    :param class_check: checks the work classes of the routes.
    :param has_long_routes: whether a route of the service has long work.
    :param limits: limits of the configuration that the queues use.
    :param attempts: counts of attempts by status.
    :param listed: this service's servers in the VM list, by name.
    """

    name: str
    service: object
    tracker: object
    balancer: object
    queues: dict
    class_check: object
    has_long_routes: bool
    limits: object
    attempts: collections.Counter = attrs.Factory(collections.Counter)
    listed: dict = attrs.Factory(dict)

    @classmethod
    def from_config(cls, name, config, has_long_routes, settings, clock, record_event):
        """Return the pool of one service without servers."""
        service = config.services[name]
        tracker = HealthTracker.from_config(name, service, clock, record_event)
        balancer = TwoChoiceBalancer.from_config(
            name,
            service,
            clock,
            random.Random(f"{settings.vm}/{name}"),
            tracker.get_weight,
            settings.region,
            has_long_routes,
        )
        queues = {
            work: AdmissionQueue.from_config(config.limits, balancer, work, clock)
            for work in ("short", "long")
        }
        class_check = WorkClassCheck(clock, record_event)
        return cls(
            name,
            service,
            tracker,
            balancer,
            queues,
            class_check,
            has_long_routes,
            config.limits,
        )

    def apply_service(self, service, has_long_routes, limits):
        """
        Apply changed settings in place if possible, which keeps the pool's state.

        Only the floor and the detection settings can be changed in place.

        :return: whether they were applied; otherwise the pool must be rebuilt.
        """
        updated = attrs.evolve(
            self.service, floor=service.floor, detection=service.detection
        )
        unchanged = (self.has_long_routes, self.limits) == (has_long_routes, limits)
        if not unchanged or updated != service:
            return False
        if service != self.service:
            self.service = service
            self.tracker.replace_service(service)
        return True

    def replace_servers(self, servers):
        """
        Apply the servers of the VM list.

        :param servers: list of ``Server``, including leaving ones.
        """
        if self.listed == {server.name: server for server in servers}:
            return
        self.listed = {server.name: server for server in servers}
        self.tracker.replace_servers(servers)
        self.balancer.replace_servers(servers)
        for server in servers:
            if server.state is ServerState.LEAVING:
                self.tracker.mark_leaving(server.name, "list")


def read_servers(vms):
    """
    Return the backend servers of a VM list by service.

    :param vms: the ``vms`` array of the list.
    """
    servers = {}
    for item in vms:
        if item["kind"] != "server":
            continue
        server = Server(
            name=item["name"],
            service=item["service"],
            region=item["region"],
            zone=item["zone"],
            address=item["address"],
            state=ServerState(item["state"]),
        )
        servers.setdefault(server.service, []).append(server)
    return servers


class ServicePools:
    """
    All service pools of this VM, kept across configuration changes.

    :param settings: the process settings.

    ``trackers`` holds the health trackers by service name and is updated in place.
    """

    def __init__(self, settings, clock, record_event):
        self._settings = settings
        self._clock = clock
        self._record_event = record_event
        self._pools = {}
        self._servers = {}
        self.trackers = {}

    def __iter__(self):
        return iter(self._pools.values())

    def get(self, name):
        """Return the pool of a service, or ``None``."""
        return self._pools.get(name)

    def apply_config(self, config):
        """Add, remove and rebuild pools; keep the state of a pool where possible."""
        long_services = {
            route.service for route in config.routes.values() if route.work == "long"
        }
        pools = {}
        for name, service in config.services.items():
            has_long = name in long_services
            pool = self._pools.get(name)
            if pool is None or not pool.apply_service(service, has_long, config.limits):
                dependencies = (self._settings, self._clock, self._record_event)
                pool = ServicePool.from_config(name, config, has_long, *dependencies)
                pool.replace_servers(self._servers.get(name, []))
            pools[name] = pool
        self._pools = pools
        self.trackers.clear()
        self.trackers.update((name, pool.tracker) for name, pool in pools.items())

    def apply_vm_list(self, vms):
        """Apply the backend servers of a VM list."""
        self._servers = read_servers(vms)
        for name, pool in self._pools.items():
            pool.replace_servers(self._servers.get(name, []))
