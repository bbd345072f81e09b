"""One entry VM on the users' platform, composed from its parts."""

import os
import random
import traceback

import eventlet

from lavendermast.attempts import AttemptRunner
from lavendermast.catalog import Catalog
from lavendermast.catalogsync import CatalogSync
from lavendermast.clock import SystemClock
from lavendermast.codec import FrameCodec
from lavendermast.coverage import Coverage
from lavendermast.entry import (
    DirectoryApplication,
    EntryApplication,
    ReadyApplication,
)
from lavendermast.entrymeasures import MetricsApplication, build_board
from lavendermast.evidencebook import EvidenceBook
from lavendermast.evidencesharing import EvidenceSharing
from lavendermast.exceptions import SettingsError
from lavendermast.hostroutes import HostRouter
from lavendermast.listeners import HttpListener
from lavendermast.logs import EventLog
from lavendermast.peers import PeerNetwork
from lavendermast.retries import WindowedRetryBudget
from lavendermast.selection import ServerSelector
from lavendermast.settings import load_entry_settings
from lavendermast.upstream import Upstream
from lavendermast.utils import parse_address
from lavendermast.zonefleet import MIN_ACTIVE, ZoneFleet

#: Answers up to this size are read whole before they are passed on, so that a cut one
#: can still be asked for elsewhere.
BUFFER_BYTES = 1024 * 1024
CONNECT_TIMEOUT_S = 0.4
IDLE_CONNECTIONS = 12
EXPIRE_INTERVAL_S = 1.0
#: Part of the fleet's further attempts that is used: windows of VMs do not match.
RETRY_PART_USED = 0.85
#: Time after SIGTERM in which requests are still served. Callers keep an address answer
#: for 1 s, some three times as long; what is taken later could miss the grace period.
SERVE_AFTER_STOP_S = 2.7
#: Time after that in which requests are told at once that they did not run.
REFUSE_AFTER_STOP_S = 0.8
#: Time before the end of the grace period at which the process ends in any case; a
#: slowed VM still gets there.
END_MARGIN_S = 0.5
#: Rates of requests are averaged over about this time.
RATE_WINDOW_S = 2.0
TASK_RETRY_S = 0.2
#: The platform hands out no secret; the code detects damaged frames only.
_FRAME_KEY = {1: b"lavendermast-entry-frames"}


class EntryNode:
    """
    The parts of an entry VM, wired together.

    :param settings: checked ``EntrySettings``.
    :param platform: object with ``calls``, ``protocol``, ``source``, ``decode``,
        ``directory_path``, ``ready_path``, ``read_query`` and ``make_answer``.
    """

    def __init__(self, settings, platform, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.platform = platform
        self.log = EventLog.from_settings(settings, self.clock)
        record = self.log.record
        self.config = None
        self.router = None
        self.leaving = False
        self.refusing = False
        self._budgets = {}
        self._routes = {}
        self._rate = 0.0
        self._counted = 0
        self._regions = {item.zone: item.region for item in settings.zones}
        boot_id = int(self.clock.time() * 1000)
        self.network = PeerNetwork.from_settings(
            settings, FrameCodec(_FRAME_KEY, 1), self.clock
        )
        self.network.record_error = self._record_error
        self.catalog = Catalog(platform.decode, self.clock, record, settings.lapse_s)
        self.catalog.on_config.append(self._apply_config)
        self.catalog.on_server.append(self._apply_server)
        self.fleet = ZoneFleet(
            settings,
            boot_id,
            self.network,
            self.clock,
            record,
            self._describe,
            lambda: self._rate,
        )
        self.sync = CatalogSync(
            self.catalog, platform.source, self.fleet, self.network, self.clock, record
        )
        self.evidence = EvidenceBook(self.clock, self._find_route)
        self._coverage = Coverage(self.evidence.get, settings.floor_share)
        self.sharing = EvidenceSharing(
            settings,
            self._regions,
            self.evidence,
            self._coverage,
            self.catalog,
            self.fleet,
            self.network,
            self.clock,
        )
        self.upstream = Upstream(
            self.clock, BUFFER_BYTES, {}, platform.protocol, CONNECT_TIMEOUT_S
        )
        selector = ServerSelector(
            self.catalog,
            self.evidence.get,
            settings.zone,
            settings.region,
            self.clock,
            random.Random(),
            self._coverage,
            self.upstream.has_connection,
            self._count_region_vms(),
        )
        self.runner = AttemptRunner(
            self.upstream,
            selector,
            self.evidence,
            self._get_budget,
            self.clock,
            record,
        )
        self.application = EntryApplication(
            platform.calls, self, self.runner, self.clock, record
        )
        self._metrics = HttpListener(
            settings.metrics_address, MetricsApplication(build_board(self))
        )
        self._callers = HttpListener(settings.caller_address, self.application)
        self._ready = HttpListener(
            settings.ready_address,
            ReadyApplication(platform.ready_path, self.is_ready),
        )
        self._directory = HttpListener(
            settings.directory_address,
            DirectoryApplication(platform.directory_path, self._answer_directory),
        )

    def start(self):
        """Join the fleet and serve callers."""
        self.log.record(
            "started", boot_id=self.fleet.own.boot_id, region=self.settings.region
        )
        for run in (
            self.network.run,
            self.sync.run,
            self.fleet.run,
            self.sharing.run_reports,
            self.sharing.run_summaries,
            self._maintain,
        ):
            eventlet.spawn(self._run_task, run)
        self._metrics.start()
        self._ready.start()
        self._directory.start()
        self._callers.start()

    def _run_task(self, run):
        """Run a task for ever; an error in it is logged and it starts again."""
        while True:
            try:
                run()
                return
            except Exception as error:
                self.log.record(
                    "task_failed",
                    task=run.__qualname__,
                    detail="".join(traceback.format_exception(error)[-3:]),
                )
                self.clock.sleep(TASK_RETRY_S)

    def stop(self, reason):
        """Stop gracefully: callers leave, work ends, the process ends."""
        now = self.clock.monotonic()
        end = now + self.settings.grace_s - END_MARGIN_S
        self.log.record("leaving", reason=reason, in_flight=self.application.in_flight)
        self.leaving = True
        self.fleet.set_state("leaving")
        self.clock.sleep(min(SERVE_AFTER_STOP_S, self.settings.grace_s / 2))
        self.refusing = True
        self.clock.sleep(REFUSE_AFTER_STOP_S)
        self._callers.stop_accepting()
        while self.application.in_flight and self.clock.monotonic() < end:
            self.clock.sleep(0.05)
        self.log.record("stopped", reason=reason, aborted=self.application.in_flight)
        self.log.close()
        os._exit(0)

    def reload(self, path):
        """Read the settings file again; addresses stay as they are until a restart."""
        try:
            settings = load_entry_settings(path)
        except SettingsError as error:
            self.log.record("reload_rejected", findings=str(error))
            return
        self.settings = settings
        self.fleet.seeds = settings.seeds
        self._coverage.floor_share = settings.floor_share
        self._budgets.clear()
        self.log.record(
            "reloaded",
            seeds=",".join(settings.seeds),
            floor_share=settings.floor_share,
        )

    def is_ready(self):
        """Return whether callers should be sent here."""
        return self.config is not None and not self.leaving

    def _describe(self):
        return (
            self.catalog.config_version,
            self.catalog.revision,
            self.sync.reachable,
        )

    def _count_region_vms(self):
        """Return the fewest active VMs that the region has with all its zones."""
        regions = list(self._regions.values())
        return max(regions.count(self.settings.region), 1) * MIN_ACTIVE

    def _find_route(self, name):
        return self._routes.get(name)

    def _apply_config(self, config):
        self._routes = {route.name: route for route in config.routes}
        self.router = HostRouter(config)
        self.upstream.set_idle_limits(dict.fromkeys(config.services, IDLE_CONNECTIONS))
        first = self.config is None
        self.config = config
        if first and not self.leaving:
            self.fleet.set_state("alive")
            self.log.record("ready", config_version=config.version)

    def _apply_server(self, name):
        listed = self.catalog.get_server(name)
        if listed is None:
            self.evidence.forget(name)
            self.upstream.close_server(name)

    def _get_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = self._budgets[service] = WindowedRetryBudget(
                settings.retry_share * RETRY_PART_USED,
                self._compute_slack(),
                settings.retry_window_s,
                self.clock,
            )
        return budget

    def _compute_slack(self):
        """Return this VM's part of the slack that the fleet's active VMs share."""
        active = sum(len(self.fleet.get_active(zone)) for zone in self._regions)
        # A zone that is not known yet has at least the fewest active VMs.
        active = max(active, len(self._regions) * MIN_ACTIVE)
        return self.settings.retry_slack * RETRY_PART_USED / active

    def _answer_directory(self, query):
        region, zone = self.platform.read_query(query)
        vms = self._choose_vms(region, zone)
        if not vms:
            return None
        port = parse_address(self.settings.caller_address)[1]
        addresses = [f"{parse_address(vm.peer_address)[0]}:{port}" for vm in vms]
        return self.platform.make_answer(addresses, self.settings.caller_hold_s)

    def _choose_vms(self, region, zone):
        """Return the VMs for callers of a zone, from the nearest zone with any."""
        vms = self.fleet.get_active(zone)
        if vms:
            return vms
        near = [z for z, r in self._regions.items() if r == region and z != zone]
        for zones in (near, self._regions):
            vms = [vm for z in zones for vm in self.fleet.get_active(z)]
            if vms:
                return vms
        return []

    def _maintain(self):
        while True:
            self.clock.sleep(EXPIRE_INTERVAL_S)
            self.evidence.expire()
            self.upstream.close_idle()
            started = self.application.started
            share = EXPIRE_INTERVAL_S / RATE_WINDOW_S
            rate = (started - self._counted) / EXPIRE_INTERVAL_S
            self._rate += (rate - self._rate) * share
            self._counted = started
            self._fit_budgets()

    def _fit_budgets(self):
        """Divide the fleet's slack among the VMs that are active now."""
        slack = self._compute_slack()
        for budget in self._budgets.values():
            budget.set_slack(slack)

    def _record_error(self, error):
        self.log.record("peer_error", detail=f"{type(error).__name__}: {error}")
