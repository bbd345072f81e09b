"""Service pools: kept or rebuilt on a configuration change."""

import attrs
import pytest

from lavendermast.clock import ManualClock
from lavendermast.services import ServicePools
from lavendermast.settings_model import Config
from tests.cluster import BASE

SETTINGS = type("Settings", (), {"vm": "a", "zone": "z", "region": "r"})
SERVERS = [
    {
        "name": f"stock-{number}",
        "kind": "server",
        "service": "stock",
        "region": "r",
        "zone": "z",
        "address": "127.0.0.1:1",
        "state": "live",
    }
    for number in (1, 2)
]


@pytest.fixture
def pools():
    made = ServicePools(SETTINGS, ManualClock(), lambda event, **fields: None)
    made.apply_config(Config.from_config(BASE))
    made.apply_vm_list(SERVERS)
    return made


def change_service(**changes):
    config = Config.from_config(BASE)
    service = attrs.evolve(config.services["stock"], **changes)
    return attrs.evolve(config, services={**config.services, "stock": service})


def test_changed_floor_keeps_the_pool_and_its_evidence(pools):
    """Guards against lost health evidence when the floor changes every 7 s."""
    before = pools.get("stock")
    pools.apply_config(change_service(floor=0.1))
    assert pools.get("stock") is before
    assert before.service.floor == 0.1


@pytest.mark.parametrize("change", ["slots", "limits", "routes"])
def test_changed_limits_and_classes_take_effect(pools, change):
    """Guards against an outdated queue length, slot count or work class."""
    before = pools.get("stock")
    config = change_service(slots=9) if change == "slots" else Config.from_config(BASE)
    if change == "limits":
        config = attrs.evolve(
            config, limits=attrs.evolve(config.limits, queue_length=3)
        )
    if change == "routes":
        routes = {
            name: attrs.evolve(route, work="long")
            for name, route in config.routes.items()
        }
        config = attrs.evolve(config, routes=routes)
    pools.apply_config(config)
    after = pools.get("stock")
    assert after is not before
    assert set(after.listed) == {"stock-1", "stock-2"}
    assert pools.trackers["stock"] is after.tracker
