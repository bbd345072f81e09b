"""One VM of the fleet, composed from its parts."""

import json
import secrets

import attrs
import eventlet

from lavendermast.addresses import AddressBook
from lavendermast.admin import AdminApplication
from lavendermast.clock import SystemClock
from lavendermast.dispatch import Dispatcher
from lavendermast.gateway import Gateway
from lavendermast.listeners import HttpListener
from lavendermast.logs import EventLog
from lavendermast.metrics import MetricsBoard
from lavendermast.policy import Policy
from lavendermast.retries import RetryPolicy
from lavendermast.services import ServicePools
from lavendermast.settings import build_config
from lavendermast.store import StoreClient, StoreReader
from lavendermast.upstream import Upstream

ADVANCE_INTERVAL_S = 0.1


@attrs.frozen
class Identity:
    """Who this process is; the boot id differs at every start."""

    vm: str
    zone: str
    region: str
    boot_id: int

    @classmethod
    def from_settings(cls, settings):
        """Return a new identity for the VM that the settings name."""
        boot_id = secrets.randbits(64)
        return cls(settings.vm, settings.zone, settings.region, boot_id)


class Node:
    """
    The daemon's parts, wired together.

    :param settings: the checked process settings.
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.identity = Identity.from_settings(settings)
        self.log = EventLog.from_settings(settings, self.clock)
        self.policy = Policy(lambda: [])
        self.pools = ServicePools(settings, self.clock, self.log.record)
        self.store = StoreClient.from_settings(settings)
        self.gateway = None
        self.listeners = []
        self._tasks = []
