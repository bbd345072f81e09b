"""Composes an entry VM from its components and runs it."""

import collections
import os
import random

import eventlet

from lavendermast.accounts import Authorizer, ProofKeeper, StateProofs
from lavendermast.admission import Admission
from lavendermast.allowances import Allowances, AllowanceSharing
from lavendermast.attempts import AttemptRunner
from lavendermast.catalog import Catalog
from lavendermast.catalogsync import CatalogSync
from lavendermast.clock import SystemClock
from lavendermast.codec import FrameCodec
from lavendermast.crashes import CrashTracker
from lavendermast.crashsharing import CrashSharing
from lavendermast.denials import DenialRules
from lavendermast.descriptors import DescriptorBudget
from lavendermast.directory import Directory
from lavendermast.entry import (
    DirectoryApplication,
    EntryApplication,
    ReadyApplication,
)
from lavendermast.entrymetrics import MetricsApplication, build_metrics
from lavendermast.evidenceregistry import EvidenceRegistry
from lavendermast.evidencesharing import EvidenceSharing
from lavendermast.exceptions import SettingsError
from lavendermast.hostroutes import HostRouter
from lavendermast.linkcapacity import BYTES_PER_S_AND_MBPS, LinkCapacity
from lavendermast.listeners import HttpListener
from lavendermast.logs import EventLog
from lavendermast.losstracker import LossTracker
from lavendermast.memory import MemoryBudget
from lavendermast.notices import ServerNotices
from lavendermast.peers import PeerNetwork
from lavendermast.ratelimits import INACTIVE_SHARE, RateLimits
from lavendermast.regions import RegionPolicy
from lavendermast.retries import WindowedRetryBudget, compute_slack_share
from lavendermast.selection import ServerSelector
from lavendermast.settings import load_entry_settings
from lavendermast.tasks import run_until_done
from lavendermast.upstream import Upstream
from lavendermast.utils import parse_address
from lavendermast.zonefleet import MIN_ACTIVE_VMS, ZoneFleet

#: Responses up to this size are buffered before they are passed on, so that the request
#: can be retried on another server when a response is truncated.
MAX_BUFFERED_BYTES = 1024 * 1024
CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_CONNECTIONS = 12
MAINTENANCE_INTERVAL_S = 1.0
#: Share of the fleet's retry budget that is used. The rest is a margin, because the VMs
#: count retries over windows that do not align.
RETRY_BUDGET_SHARE = 0.92
#: Time after SIGTERM in which requests are still served. Callers cache a directory
#: response for 1 s, and some callers for 3 s; requests that are accepted later might
#: not end within the grace period.
SERVE_AFTER_STOP_S = 2.7
#: Time after SERVE_AFTER_STOP_S in which new requests are refused immediately as not
#: run.
REFUSE_AFTER_STOP_S = 0.8
#: The process exits at the latest this long before the end of the grace period, so that
#: a VM that runs slowly still exits in time.
EXIT_MARGIN_S = 0.5
#: Time constant of the moving average of the request rate.
RATE_TIME_CONSTANT_S = 2.0
#: Not a secret, since the platform provides none: it only serves to detect damaged
#: frames.
_FRAME_KEY = {1: b"lavendermast-entry-frames"}


class EntryNode:
    """
    An entry VM: its components, listeners and background tasks.

    :param settings: validated ``EntrySettings``.
    :param platform: object with ``header_names``, ``protocol``, ``source``, ``decode``,
        ``directory_path``, ``ready_path``, ``read_query`` and ``make_directory_body``.
    """

    def __init__(self, settings, platform, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.platform = platform
        self.log = EventLog.from_settings(settings, self.clock)
        record = self.log.record
        self.descriptors = DescriptorBudget.from_settings(settings, self.clock, record)
        self.memory = MemoryBudget.from_settings(settings)
        self.config = None
        self.router = None
        self.leaving = False
        self.refusing = False
        self._budgets = {}
        self._routes = {}
        self._rate = 0.0
        self._rate_share = 1.0
        self._demand_share = None
        self._counted_requests = 0
        self._regions = {item.zone: item.region for item in settings.zones}
        boot_id = int(self.clock.time() * 1000)
        self.network = PeerNetwork.from_settings(
            settings, FrameCodec(_FRAME_KEY, 1), self.clock, record, self.descriptors
        )
        self.network.record_error = self._record_error
        self.catalog = Catalog(platform.decode, self.clock, record, settings.lapse_s)
        self.catalog.on_server.append(self._apply_server)
        self.fleet = ZoneFleet(
            settings,
            boot_id,
            self.network,
            self.clock,
            record,
            lambda: self.sync.get_store_state(),
            lambda: self._rate,
            self._regions,
        )
        self.directory = Directory(self.fleet, self._regions, self.clock)
        self.sync = CatalogSync(
            self.catalog, platform.source, self.fleet, self.network, self.clock, record
        )
        self.sync.make_room = self.descriptors.make_room
        if settings.link_mbps:
            self.sync.link_bytes_per_s = settings.link_mbps * BYTES_PER_S_AND_MBPS
        self.proofs = StateProofs(self._get_state, self.clock)
        self.proof_keeper = ProofKeeper(
            self.proofs,
            self._get_state,
            self.sync,
            self.fleet,
            self.network,
            self.clock,
            random.Random(),
            settings.key_removal_ms / 1000,
        )
        self.authorizer = Authorizer.from_settings(
            settings, self.proof_keeper, self.proofs, self.sync, record
        )
        self.fleet.is_fenced = self.authorizer.is_fenced
        # First, because an error in a handler hides a configuration from later ones.
        self.catalog.on_config.append(self.authorizer.apply_config)
        self.catalog.on_config.append(self._apply_config)
        self.rate_limits = RateLimits(
            self.clock,
            record,
            self._is_near,
            len(set(self._regions.values())),
            lambda: self._rate_share,
        )
        self.catalog.on_restart.append(self.rate_limits.reset)
        self.evidence = EvidenceRegistry(self.clock, self._find_route, self.rate_limits)
        self._loss_tracker = LossTracker(self.evidence.get, settings.floor_share)
        self.sharing = EvidenceSharing(
            settings,
            self._regions,
            self.evidence,
            self._loss_tracker,
            self.catalog,
            self.fleet,
            self.network,
            self.clock,
        )
        self.upstream = Upstream(
            self.clock,
            MAX_BUFFERED_BYTES,
            {},
            platform.protocol,
            CONNECT_TIMEOUT_S,
            self.descriptors,
        )
        self.link = LinkCapacity(settings.link_mbps, record)
        self.upstream.find_scope = lambda server: self.fleet.find_zone_scope(
            server.zone
        )
        self.upstream.may_run = self.authorizer.may_run
        self.notices = ServerNotices(self.catalog.get_server, self.clock, record)
        selector = ServerSelector(
            self.catalog,
            self.evidence.get,
            settings.zone,
            settings.region,
            self.clock,
            random.Random(),
            self._loss_tracker,
            self.upstream.has_connection,
            self.rate_limits,
            self.notices,
            self._compute_min_region_vms(),
            RegionPolicy.from_settings(settings),
        )
        self.crash_tracker = CrashTracker(self.clock, record)
        self.crashes = CrashSharing(
            self.crash_tracker,
            self.sharing,
            self.upstream,
            self.network,
            self.clock,
            record,
        )
        self.admission = Admission(
            self._has_accounts,
            selector,
            self.evidence,
            self._find_service,
            self.clock,
            record,
            lambda: self._demand_share,
            lambda: self._rate_share,
        )
        self.runner = AttemptRunner(
            self.upstream,
            selector,
            self.evidence,
            self.notices,
            self.crashes,
            DenialRules(self.crashes, lambda: self.refusing, self.authorizer.may_run),
            self._get_budget,
            self.clock,
            record,
            self.admission.open,
        )
        self.application = EntryApplication(
            platform.header_names, self, self.runner, self.memory, self.clock, record
        )
        self.application.authorizer = self.authorizer
        self.allowances = Allowances(
            settings,
            self.clock,
            record,
            random.Random(),
            self._count_region_vms,
            lambda: self.fleet.count_inactive() * len(self._regions),
        )
        self.allowance_sharing = AllowanceSharing(
            settings,
            self.allowances,
            self.sharing,
            self._list_idle_vms,
            self.network,
            self.clock,
        )
        self.application.allowances = self.allowances
        self.runner.count_attempt = self.allowances.count_attempt
        self.application.max_in_flight = self.descriptors.requests_in_flight
        self.listeners = {
            "metrics": self._make_listener(
                settings.metrics_address, MetricsApplication(build_metrics(self))
            ),
            "ready": self._make_listener(
                settings.ready_address,
                ReadyApplication(platform.ready_path, self.is_ready),
            ),
            "directory": self._make_listener(
                settings.directory_address,
                DirectoryApplication(
                    platform.directory_path, self._make_directory_body
                ),
            ),
            "caller": self._make_listener(
                settings.caller_address,
                self.application,
                self.descriptors.caller_connections,
            ),
        }

    def _make_listener(self, address, application, max_connections=None):
        return HttpListener(
            address,
            application,
            self.log.record,
            max_connections or self.descriptors.control_connections,
            self.descriptors,
        )

    def start(self):
        """Start the background tasks and listeners."""
        self.log.record(
            "started", boot_id=self.fleet.local_vm.boot_id, region=self.settings.region
        )
        for run in (
            self.network.run,
            self.sync.run,
            self.proof_keeper.run,
            self.fleet.run,
            self.sharing.run_reports,
            self.sharing.run_summaries,
            self.crashes.run,
            self.allowance_sharing.run,
            self._maintain,
        ):
            eventlet.spawn(run_until_done, run, self.clock, self.log.record)
        for listener in self.listeners.values():
            listener.start()

    def stop(self, reason):
        """Drain callers, let requests in flight finish and exit the process."""
        now = self.clock.monotonic()
        end = now + self.settings.grace_s - EXIT_MARGIN_S
        self.log.record("leaving", reason=reason, in_flight=self.application.in_flight)
        self.leaving = True
        self.fleet.set_state("leaving")
        self.clock.sleep(min(SERVE_AFTER_STOP_S, self.settings.grace_s / 2))
        self.refusing = True
        self.clock.sleep(REFUSE_AFTER_STOP_S)
        self.listeners["caller"].stop_accepting()
        while self.application.in_flight and self.clock.monotonic() < end:
            self.clock.sleep(0.05)
        self.log.record("stopped", reason=reason, aborted=self.application.in_flight)
        self.log.close()
        os._exit(0)

    def reload(self, path):
        """
        Reload the settings file.

        ``seeds``, ``floor_share``, ``retry_share``, ``retry_slack``,
        ``retry_window_s``, ``grace_s`` and ``caller_hold_s`` take effect at once, and
        so does the port of ``caller_address`` in directory responses. All other
        settings, also the listeners' addresses, take effect only after a restart. What
        is left of the retry budgets stays.
        """
        try:
            settings = load_entry_settings(path)
        except SettingsError as error:
            self.log.record("reload_rejected", findings=str(error))
            return
        self.settings = settings
        self.fleet.seeds = settings.seeds
        self._loss_tracker.floor_share = settings.floor_share
        self._update_budgets()
        self.log.record(
            "reloaded",
            seeds=",".join(settings.seeds),
            floor_share=settings.floor_share,
        )

    def is_ready(self):
        """Return whether this VM accepts callers."""
        return self.config is not None and not self.leaving

    def _compute_min_region_vms(self):
        """Return the minimum number of active VMs in all zones of this region."""
        return self._count_region_zones() * MIN_ACTIVE_VMS

    def _count_region_zones(self):
        regions = list(self._regions.values())
        return max(regions.count(self.settings.region), 1)

    def _is_near(self, server_name):
        """Return whether a server is listed in this VM's region."""
        listed = self.catalog.get_server(server_name)
        return listed is not None and listed.server.region == self.settings.region

    def _compute_rate_share(self):
        """Return the part of the region's share of rate limits that this VM uses."""
        inactive = self.fleet.count_inactive()
        if not inactive:
            return 1.0
        return INACTIVE_SHARE / (inactive * self._count_region_zones())

    def _compute_demand_share(self):
        """Return this VM's share of the region's arrivals, ``None`` without any."""
        zones = [z for z, r in self._regions.items() if r == self.settings.region]
        vms = [vm for zone in zones for vm in self.fleet.get_active(zone)]
        others = sum(vm.rate for vm in vms if vm is not self.fleet.local_vm)
        total = others + self._rate
        return self._rate / total if total else None

    def _has_accounts(self):
        return self.config is not None and self.config.accounts is not None

    def _find_service(self, server_name):
        """Return the service of a listed server, or ``None``."""
        listed = self.catalog.get_server(server_name)
        return listed.server.service if listed is not None else None

    def _get_state(self):
        """Return the era and revision of this VM's copy of the store."""
        return self.catalog.era, self.catalog.revision

    def _find_route(self, name):
        return self._routes.get(name)

    def _apply_config(self, config):
        self._routes = {route.name: route for route in config.routes}
        self.router = HostRouter(config)
        self.allowances.apply_config(config)
        self.upstream.set_max_idle_connections(
            dict.fromkeys(config.services, MAX_IDLE_CONNECTIONS)
        )
        callers = self.listeners["caller"].connections
        callers.idle_timeout_s = config.limits.idle_timeout_s
        callers.head_timeout_s = config.limits.head_timeout_s
        first = self.config is None
        self.config = config
        if first and not self.leaving:
            self.fleet.set_state("alive")
            self.log.record("ready", config_version=config.version)

    def _apply_server(self, name):
        listed = self.catalog.get_server(name)
        if listed is None:
            self.evidence.remove_server(name)
            self.rate_limits.remove(name)
            self.notices.remove(name)
            self.upstream.close_server(name)

    def _get_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                *self._compute_budget_limits(), self.clock
            )
        return budget

    def _compute_budget_limits(self):
        """Return share, slack and window of this VM's retry budgets."""
        settings = self.settings
        return (
            settings.retry_share * RETRY_BUDGET_SHARE,
            settings.retry_slack * RETRY_BUDGET_SHARE * self._compute_slack_share(),
            settings.retry_window_s,
        )

    def _count_active_vms(self):
        return sum(self._count_region_vms().values())

    def _count_region_vms(self):
        """Return the number of active VMs by region."""
        counts = collections.Counter()
        for zone, region in self._regions.items():
            counts[region] += len(self.fleet.get_active(zone))
        return counts

    def _list_idle_vms(self):
        """Return the live VMs of this region that callers are not directed to."""
        vms = [vm for vm in self.fleet.vms.values() if self._is_in_region(vm)]
        active = set(self.sharing.get_region_addresses())
        return [(vm.vm, vm.peer_address) for vm in vms if vm.peer_address not in active]

    def _is_in_region(self, vm):
        return self._regions.get(vm.zone) == self.settings.region

    def _compute_slack_share(self):
        """Return this VM's part of ``retry_slack``."""
        # A zone whose VMs are not known yet counts with the minimum of active VMs.
        active = max(self._count_active_vms(), len(self._regions) * MIN_ACTIVE_VMS)
        inactive = self.fleet.count_inactive() * len(self._regions)
        return compute_slack_share(active, inactive)

    def _make_directory_body(self, query):
        region, zone = self.platform.read_query(query)
        vms = self.directory.resolve(region, zone)
        if not vms:
            return None
        port = parse_address(self.settings.caller_address)[1]
        addresses = [f"{parse_address(vm.peer_address)[0]}:{port}" for vm in vms]
        return self.platform.make_directory_body(addresses, self.settings.caller_hold_s)

    def _maintain(self):
        while True:
            self.clock.sleep(MAINTENANCE_INTERVAL_S)
            self.evidence.expire()
            self.allowances.expire()
            self.upstream.close_idle()
            self.listeners["caller"].connections.close_expired()
            started_requests = self.application.started_requests
            share = MAINTENANCE_INTERVAL_S / RATE_TIME_CONSTANT_S
            rate = (started_requests - self._counted_requests) / MAINTENANCE_INTERVAL_S
            self._rate += (rate - self._rate) * share
            self._counted_requests = started_requests
            self.link.observe(
                started_requests,
                sum(self.upstream.traffic.values()),
                MAINTENANCE_INTERVAL_S,
            )
            self.fleet.set_link_capacity(self.link.compute_capacity())
            self._update_budgets()
            self._rate_share = self._compute_rate_share()
            self._demand_share = self._compute_demand_share()

    def _update_budgets(self):
        """Adjust the retry budgets to the settings and the number of active VMs."""
        limits = self._compute_budget_limits()
        for budget in self._budgets.values():
            budget.set_limits(*limits)

    def _record_error(self, error):
        self.log.record("peer_error", detail=f"{type(error).__name__}: {error}")
