"""One of two machines is lost; the other uses up its descriptors for good."""

import asyncio
import pathlib
import random
import resource
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.world import (  # noqa: E402
    MAX_FDS,
    ZONES,
    Client,
    Instance,
    make_request,
    make_rule,
    run,
)

#: All requests of cercle-gate (SYSTEM.md): 22 + 62.8 + 8.9 + 15.7 a second.
REQUESTS_PER_S = 109.4
LENGTH_S = 50.0
LOSS_AT_S = 5.0
#: contact_ms and the number of clients in RECOVER.
CONTACT_S = 3.0
CLIENTS_THAT_TRY = 7
#: The file descriptors that the clients of this script need.
CLIENT_FDS = 9000


class Load:
    """Clients that each send one request and keep their connection open."""

    def __init__(self, world):
        self.world = world
        self.addresses = {}
        self.failed = {}
        self.clients = []
        self.refused = []
        self.count = 0

    async def resolve(self):
        """Keep the addresses for each zone, from the nearest directory that answers."""
        while True:
            for zone in ZONES:
                nearest = sorted(self.world.machines, key=lambda m: m.zone != zone)
                for machine in nearest:
                    found = await machine.resolve(zone)
                    if found:
                        self.addresses[zone] = found
                        break
            await asyncio.sleep(1.0)

    def _choose(self):
        by_address = {machine.address: machine for machine in self.world.machines}
        now = time.monotonic()
        named = self.addresses.get(random.choice(list(ZONES)), ())
        known = [a for a in named if a in by_address]
        usable = [a for a in known if now - self.failed.get(a, 0.0) > 5.0] or known
        return by_address[random.choice(usable)] if usable else None

    async def send_one(self):
        """Send one request over a new connection, which stays open after it."""
        machine = self._choose()
        if machine is None:
            return
        self.count += 1
        request_id = f"c{self.count:05d}"
        client = Client(machine, self.world.record)
        try:
            await client.connect()
        except (TimeoutError, OSError) as error:
            self.failed[machine.address] = time.monotonic()
            self.refused.append((time.monotonic(), machine))
            self.world.record(
                "not-connected", machine=machine.name, detail=type(error).__name__
            )
            return
        self.clients.append(client)
        data = make_request("GET", f"/stock/{self.count}", request_id)
        await client.send(request_id, data)

    async def run(self, seconds):
        """Send requests at the given rate."""
        end, tasks = time.monotonic() + seconds, set()
        while time.monotonic() < end:
            task = asyncio.create_task(self.send_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        if tasks:
            await asyncio.wait(tasks, timeout=10.0)


async def watch(world, machine, load, found):
    """Note when a ready machine takes no new connection for CONTACT_S."""
    refused_since = None
    while True:
        ready = await machine.ask_ready()
        before = len(load.refused)
        attempts = [probe(machine) for _ in range(CLIENTS_THAT_TRY)]
        accepted = sum(await asyncio.gather(*attempts))
        connections = len([c for c in load.clients if c.writer is not None])
        world.record(
            "check",
            machine=machine.name,
            ready=ready,
            accepted=f"{accepted}/{CLIENTS_THAT_TRY}",
            open_connections=connections,
            failed_before=before,
        )
        now = time.monotonic()
        if accepted or ready != 200:
            refused_since = None
        else:
            refused_since = refused_since or now
            if now - refused_since >= CONTACT_S:
                found.append(now - refused_since)
        await asyncio.sleep(1.0)


async def probe(machine):
    """Return whether a client of the last round gets a connection."""
    client = Client(machine, lambda event, **fields: None)
    try:
        await client.connect()
    except (TimeoutError, OSError):
        return False
    client.close()
    return True


async def main(world, trouble):
    """Return 1 if a ready machine took no new connection for CONTACT_S."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < CLIENT_FDS:
        if hard != resource.RLIM_INFINITY and hard < CLIENT_FDS:
            return 2
        resource.setrlimit(resource.RLIMIT_NOFILE, (CLIENT_FDS, hard))
    instances = [
        Instance(f"i-{number}", "hoopstock", world.record, work_s=0.05)
        for number in range(6)
    ]
    rules = [make_rule("stock", "/stock/", "idempotent", "hoopstock")]
    if not await world.start(instances, rules, machines=2, max_fds=MAX_FDS):
        return 2
    survivor, lost = world.machines
    load, found = Load(world), []
    tasks = [
        asyncio.create_task(load.resolve()),
        asyncio.create_task(watch(world, survivor, load, found)),
    ]
    await asyncio.sleep(1.5)
    sending = asyncio.create_task(load.run(LENGTH_S))
    await asyncio.sleep(LOSS_AT_S)
    if trouble:
        world.record("lost", machine=lost.name)
        await lost.end()
    await sending
    await asyncio.sleep(CONTACT_S + 2.0)
    for task in tasks:
        task.cancel()
    world.record(
        "result",
        running=survivor.is_running,
        ready=await survivor.ask_ready(),
        longest_s=f"{max(found, default=0.0):.1f}",
        requests=load.count,
    )
    return 1 if found else 0


run(main, FOLDER)
