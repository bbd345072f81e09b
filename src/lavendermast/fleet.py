"""Fleet membership of this VM: peers, member table, documents and the store."""

import json
import random

import eventlet

from lavendermast.codec import FrameCodec
from lavendermast.coordination import Coordination
from lavendermast.exceptions import SettingsError
from lavendermast.peers import PeerNetwork
from lavendermast.policy import SERVING_STATES
from lavendermast.settings import parse_bundle
from lavendermast.store import StoreClient, StoreReader, is_store_reader
from lavendermast.tasks import run_until_done
from lavendermast.utils import get_fleet_secrets
from lavendermast.vmlist import check_vm_list

READINESS_CHECK_INTERVAL_S = 0.5
#: Key of the version inside each document.
VERSION_KEYS = {"config": "version", "vms": "revision"}


def read_version(name, content):
    """
    Return the version inside a document's content, or ``None`` if there is none.

    >>> read_version("vms", b'{"revision": 3, "vms": []}')
    3
    """
    try:
        version = json.loads(content).get(VERSION_KEYS[name])
    except (ValueError, AttributeError):
        return None
    valid = isinstance(version, int) and not isinstance(version, bool)
    return version if valid and 0 < version < 2**63 else None


class FleetAgent:
    """
    Joins the fleet and keeps its documents current.

    :param settings: the process settings.
    :param budget: the ``DescriptorBudget`` of this process.
    """

    def __init__(self, settings, clock, record_event, budget):
        self.settings = settings
        self._clock = clock
        self._record_event = record_event
        self.codec = FrameCodec.from_settings(settings)
        self.network = PeerNetwork.from_settings(
            settings, self.codec, clock, record_event, budget
        )
        self.network.record_error = self._record_error
        self._coordination = Coordination.from_settings(
            settings,
            self.network,
            clock,
            random.SystemRandom(),
            record_event,
            self._validate,
        )
        self.membership = self._coordination.membership
        self.gossip = self._coordination.gossip
        self.detector = self._coordination.detector
        self.documents = self._coordination.documents
        self.store = StoreClient.from_settings(settings, budget)
        self.bundle = None
        self.ready = False
        self.on_ready = []
        self._tasks = []

    def start(self):
        """Start the tasks that receive, ping peers and read the store."""
        runs = [self.network.run, self.detector.run, self._wait_until_ready]
        for name in VERSION_KEYS:
            reader = StoreReader(
                name,
                self.store,
                lambda name=name: self._is_reader(name),
                lambda content, name=name: self._offer(name, content),
                self._record_event,
            )
            runs.append(reader.run)
        self._tasks = [
            eventlet.spawn(run_until_done, run, self._clock, self._record_event)
            for run in runs
        ]

    def stop(self):
        """Stop all tasks and close the sockets."""
        for task in self._tasks:
            task.kill()
        self.network.close()

    def set_state(self, state, continued_by=0):
        """Change the state of this VM and announce it immediately."""
        self._coordination.set_state(state, continued_by)

    def get_serving_members(self):
        """
        Return the members that may serve callers, suspects included.

        ``Node._get_serving_members`` adds this VM while it is leaving.
        """
        return self.membership.get_members(SERVING_STATES)

    def get_alive_members(self):
        """Return the members to which callers may be sent."""
        return self.membership.get_members(("alive",))

    def reload_keys(self, settings):
        """Sign and verify messages with the fleet keys of new process settings."""
        keys = get_fleet_secrets(settings)
        self.codec.replace_keys(keys, settings.fleet_keys[0].id)

    def apply_vm_list(self, vms):
        """Admit the entry VMs of a VM list as peers."""
        self._coordination.readiness.set_listed(
            {
                vm["name"]: (vm["peer_address"], vm["zone"])
                for vm in vms
                if vm["kind"] == "entry"
            }
        )

    def _validate(self, name, content):
        """Return the findings of a document's content."""
        if name == "vms":
            return check_vm_list(json.loads(content))
        if name != "config":
            return [f"unknown document {name}"]
        try:
            # Only parts that differ from the current bundle are fully checked.
            parse_bundle(content, self.bundle)
        except SettingsError as error:
            return error.findings
        return []

    def _wait_until_ready(self):
        """Ping peers until this VM may serve, then announce it as alive."""
        readiness = self._coordination.readiness
        reported = None
        while True:
            decision = readiness.evaluate()
            if decision.ready:
                break
            if decision.reason != reported:
                reported = decision.reason
                self._record_event("not_ready", reason=reported)
            readiness.contact_peers()
            self._clock.sleep(READINESS_CHECK_INTERVAL_S)
        self.ready = True
        self.set_state("alive")
        for callback in self.on_ready:
            callback(decision.reason)

    def _is_reader(self, name):
        # A starting VM reads the store: without the VM list it knows no peer.
        if not self.ready:
            return True
        local_member = self.membership.local_member
        return is_store_reader(
            name, local_member.vm, local_member.zone, self.get_serving_members()
        )

    def _offer(self, name, content):
        if name == "config":
            self._coordination.readiness.record_store_read()
        version = read_version(name, content)
        if version is not None:
            self.documents.offer(name, version, content, "store")
            return
        self._record_event(
            "config_rejected",
            document=name,
            version=None,
            digest=None,
            source="store",
            findings=f"{VERSION_KEYS[name]} missing or not a positive integer",
        )

    def _record_error(self, error):
        self._record_event("handler_failed", detail=f"{type(error).__name__}: {error}")
