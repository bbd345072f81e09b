"""Wires the components of one VM together."""

import json
import os

import attrs
import eventlet

from lavendermast.addresses import AddressBook
from lavendermast.admin import AdminApplication
from lavendermast.callers import DisconnectWatcher
from lavendermast.clock import SystemClock
from lavendermast.descriptors import DescriptorBudget
from lavendermast.dispatch import Dispatcher
from lavendermast.drain import Drainer
from lavendermast.exceptions import RequestError, SettingsError
from lavendermast.fleet import FleetAgent
from lavendermast.gateway import Gateway
from lavendermast.idempotency import IdempotencyGuard
from lavendermast.judging import ServerMonitor
from lavendermast.listeners import HttpListener
from lavendermast.logs import EventLog
from lavendermast.memory import MemoryBudget
from lavendermast.messages_model import Handover, HandoverReply
from lavendermast.metrics import MetricsRegistry
from lavendermast.nodemetrics import register_metrics
from lavendermast.owners import OwnerTable
from lavendermast.policy import Policy
from lavendermast.retries import RetryController
from lavendermast.services import ServicePools
from lavendermast.settings import build_config, load_process_settings
from lavendermast.status import StatusReporter
from lavendermast.tasks import run_until_done
from lavendermast.upstream import Cancellation, Upstream

CLOSE_IDLE_INTERVAL_S = 5.0


@attrs.frozen
class Identity:
    """Identity of this process; the boot id is new at every start."""

    vm: str
    zone: str
    region: str
    boot_id: int


class Node:
    """
    One VM with all its components.

    :param settings: the validated process settings.
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.log = EventLog.from_settings(settings, self.clock)
        record_event = self.log.record
        descriptors = DescriptorBudget.from_settings(settings, self.clock, record_event)
        self.memory = MemoryBudget.from_settings(settings)
        self.fleet = FleetAgent(settings, self.clock, record_event, descriptors)
        local_member = self.fleet.membership.local_member
        self.identity = Identity(
            local_member.vm,
            local_member.zone,
            local_member.region,
            local_member.boot_id,
        )
        self.policy = Policy(self._get_serving_members)
        self.pools = ServicePools(settings, self.clock, record_event)
        self.retry_controller = RetryController(self.clock)
        self.upstream = Upstream(self.clock, 0, {}, budget=descriptors)
        self.dispatcher = Dispatcher(
            self.policy, self.pools, self.upstream, self.retry_controller, record_event
        )
        self.owners = OwnerTable(self.fleet.membership, self.clock)
        self.idempotency_guard = IdempotencyGuard(
            settings,
            local_member.boot_id,
            self.dispatcher,
            self.owners.find_owner,
            clock=self.clock,
            record_event=record_event,
            check_route=self._check_service_set,
        )
        self.server_monitor = ServerMonitor(
            self.identity,
            self.pools,
            self.policy,
            self.fleet.membership,
            self.fleet.gossip,
            self.fleet.network,
            clock=self.clock,
            record_event=record_event,
        )
        self.gateway = self._make_gateway(record_event)
        self.caller_listener = HttpListener(
            settings.caller_address,
            self.gateway,
            record_event,
            descriptors.caller_connections,
            descriptors,
        )
        self.admin_listener = HttpListener(
            settings.admin_address,
            self._make_admin(),
            record_event,
            descriptors.control_connections,
            descriptors,
        )
        self.fleet.network.register(Handover, self._handle_handover)
        self.fleet.documents.on_accept.append(self._apply_document)
        self.fleet.on_ready.append(self._mark_ready)
        self.fleet.membership.on_change.append(self._apply_member)
        self._tasks = []

    def start(self):
        """Join the fleet and serve callers."""
        self.log.record("started", boot_id=f"{self.identity.boot_id:016x}")
        self.fleet.start()
        self.admin_listener.start()
        self.caller_listener.start()
        self._tasks = [
            eventlet.spawn(run_until_done, run, self.clock, self.log.record)
            for run in (self.server_monitor.run, self._close_idle)
        ]

    def stop(self, reason):
        """
        Stop gracefully.

        :param reason: reason of the stop, for the log.
        """
        self.log.record("leaving", reason=reason, config_version=self.policy.version)
        Drainer(self).drain()
        self._shut_down(reason, 0)

    def abort(self):
        """Log the requests in flight as aborted and exit the process immediately."""
        for request_id in self.gateway.in_flight:
            self.log.record("aborted", request=request_id)
        self._shut_down("second signal", len(self.gateway.in_flight))
        os._exit(1)

    def reload_keys(self, path):
        """
        Reload the fleet keys from the process settings.

        The current keys stay in use if the settings are invalid.
        """
        try:
            settings = load_process_settings(path)
        except SettingsError as error:
            self.log.record("keys_rejected", findings=str(error))
            return
        self.settings = settings
        self.fleet.reload_keys(settings)
        self.idempotency_guard.reload_keys(settings)
        self.log.record("keys_reloaded", signing=settings.fleet_keys[0].id)

    def get_document_age(self, name):
        """Return the seconds since the current version of a document was accepted."""
        return self.clock.monotonic() - self.fleet.documents.accepted_at[name]

    def _shut_down(self, reason, aborted):
        self.log.record(
            "stopped",
            reason=reason,
            config_version=self.policy.version,
            aborted=aborted,
        )
        self.fleet.stop()
        for task in self._tasks:
            task.kill()
        self.log.close()

    def _make_gateway(self, record_event):
        self.address_book = AddressBook(
            self.policy,
            self.fleet.get_alive_members,
            lambda: self.idempotency_guard.issuer,
            lambda: self.fleet.membership.local_member,
            self.clock,
            record_event,
        )
        return Gateway(
            self.policy,
            self._run_request,
            self.address_book,
            self.identity,
            self.memory,
            self.clock,
            record_event,
        )

    def _make_admin(self):
        registry = MetricsRegistry()
        register_metrics(registry, self)
        reporter = StatusReporter(self)
        return AdminApplication(
            registry, reporter.get_status, reporter.explain, lambda: self.policy.ready
        )

    def _close_idle(self):
        while True:
            self.clock.sleep(CLOSE_IDLE_INTERVAL_S)
            self.upstream.close_idle()
            self.caller_listener.connections.close_expired()
            self.idempotency_guard.close_idle()

    def _run_request(self, request, route_name, route, environ):
        if route.idempotent or not request.key:
            self._check_service_set(route)
        cancellation = Cancellation()
        with DisconnectWatcher(environ["eventlet.input"].get_socket(), cancellation):
            if route.idempotent:
                request.key = ""
                return self.dispatcher.run(request, route_name, route, cancellation)
            return self.idempotency_guard.run(request, route_name, route, cancellation)

    def _get_serving_members(self):
        """
        Return the members that serve callers, as known to this VM.

        Unlike ``FleetAgent.get_serving_members``, it includes this VM while it is
        leaving.
        """
        members = self.fleet.get_serving_members()
        local_member = self.fleet.membership.local_member
        # Callers may use the address of a leaving VM until it stops.
        return [*members, local_member] if local_member.state == "leaving" else members

    def _check_service_set(self, route):
        """Reject a request for a service that this VM does not serve."""
        # A leaving VM is in no service set, but callers may still use its address.
        leaving = self.fleet.membership.local_member.state == "leaving"
        if leaving or self.identity.vm in self.policy.get_service_set(route.service):
            return
        addresses = self.address_book.get_addresses(
            route.service, self.identity.zone, ""
        )
        text = ",".join(item["address"] for item in addresses["addresses"])
        raise RequestError(421, "wrong-vm", text)

    def _apply_document(self, stored):
        value = json.loads(stored.content)
        if stored.name == "vms":
            self.fleet.apply_vm_list(value["vms"])
            self.pools.apply_vm_list(value["vms"])
        else:
            self._apply_config(value)
        self.server_monitor.invalidate()

    def _apply_config(self, bundle):
        self.fleet.bundle = bundle
        config = build_config(bundle, self.settings.site)
        self.policy.apply(config, bundle["version"])
        self.upstream.apply_config(config)
        self.retry_controller.apply_config(config)
        self.pools.apply_config(config)
        self.idempotency_guard.apply_config(config)

    def _mark_ready(self, reason):
        self.policy.ready = True
        self.log.record("ready", config_version=self.policy.version, reason=reason)

    def _handle_handover(self, envelope, address):
        ledger = self.idempotency_guard.ledger
        accepted = ledger is not None and ledger.import_handover(envelope.body)
        return HandoverReply(accepted=accepted)

    def _apply_member(self, update, previous):
        self.owners.apply_update(update)
        if self.policy.apply_member(update, previous):
            self.server_monitor.invalidate()
