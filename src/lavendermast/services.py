"""The state of one service in this VM."""

import collections
import random

import attrs

from lavendermast.admission import AdmissionQueue
from lavendermast.balancer import TwoChoiceBalancer
from lavendermast.classes import ClassCheck
from lavendermast.health import HealthTracker
from lavendermast.models import Server, ServerState


@attrs.define
class ServicePool:
    """
    Servers of one service with their health and load.

    :param queues: admission queues by class of work.
    :param classes: checks the routes' classes of work.
    :param has_long_routes: whether a route of the service has long work.
    :param limits: limits of the configuration that the queues follow.
    :param attempts: number of attempts by status.
    :param listed: servers of the VM list by name.
    """

    name: str
    service: object
    tracker: object
    balancer: object
    queues: dict
    classes: object
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
        classes = ClassCheck(clock, record_event)
        return cls(
            name,
            service,
            tracker,
            balancer,
            queues,
            classes,
            has_long_routes,
            config.limits,
        )

    def apply_service(self, service, has_long_routes, limits):
        """
        Take over changed settings and keep all evidence, if that can be done.

        :return: whether it was done; otherwise the pool must be built anew.
        """
        same = attrs.evolve(
            self.service, floor=service.floor, detection=service.detection
        )
        kept = (self.has_long_routes, self.limits) == (has_long_routes, limits)
        if not kept or same != service:
            return False
        if service != self.service:
            self.service = service
            self.tracker.replace_service(service)
        return True

    def replace_servers(self, servers):
        """
        Take over the servers of the VM list.

        :param servers: list of Server, the leaving ones included.
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
    All service pools of this VM, kept over configuration changes.

    :param settings: the process settings.

    ``trackers`` holds the health trackers by service name and changes in place.
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
        """Add, drop and rebuild pools; a pool whose settings stay keeps its state."""
        long_services = {
            route.service for route in config.routes.values() if route.work == "long"
        }
        pools = {}
        for name, service in config.services.items():
            has_long = name in long_services
            pool = self._pools.get(name)
            if pool is None or not pool.apply_service(service, has_long, config.limits):
                tools = (self._settings, self._clock, self._record_event)
                pool = ServicePool.from_config(name, config, has_long, *tools)
                pool.replace_servers(self._servers.get(name, []))
            pools[name] = pool
        self._pools = pools
        self.trackers.clear()
        self.trackers.update((name, pool.tracker) for name, pool in pools.items())

    def apply_list(self, vms):
        """Take over the backend servers of a VM list."""
        self._servers = read_servers(vms)
        for name, pool in self._pools.items():
            pool.replace_servers(self._servers.get(name, []))
