"""
Randomized soak test of entry processes with injected faults.

    python -W ignore -m bench.soak --seeds 1 50 --seconds 20

Each seed starts a store, servers and entry processes on loopback, sends requests and
injects overlapping series of faults. Proxies delay data, block one or both directions
and reset connections. Processes are stopped, paused, killed and restarted. The store
refuses calls, drops its history or is restored from a copy. Servers hang, shed,
truncate responses, leave, are replaced under another name, and name rate limits that
change. They ask for pauses, say that they leave before the store knows, and crash, some
under a request that comes again. The entry processes don't use the wall clock for
decisions and write no files, so clock and disk faults are not injected. The checks use
only what callers and servers observed. Findings are printed with their seed.
"""

import argparse
import collections
import pathlib
import random
import sys
import tempfile
import time

import eventlet

eventlet.monkey_patch()

from bench.soakchecks import Account, check_account  # noqa: E402
from bench.soakworld import SERVERS, VMS_PER_ZONE, SoakWorld  # noqa: E402

CALLERS = 24
#: Time that the fleet may take to recover after the last fault ends, the recovery time
#: (recovery_s) that the users require.
RECOVERY_S = 15.0
#: Requests that must all get status 200 after the recovery.
FINAL_REQUESTS = 20
#: Bounds of the number of concurrent fault series in a run, and of the events in each.
SERIES_RANGE = (5, 9)
EVENTS_RANGE = (1, 4)


class Soak:
    """
    One soak run.

    :param seed: determines all faults and the callers' requests.
    :param folder: directory for the settings and logs of the processes.
    :param seconds: approximate duration of the faults; series start in its first half.
    """

    def __init__(self, seed, folder, seconds, vms_per_zone=VMS_PER_ZONE):
        self.seed = seed
        self.seconds = seconds
        self.account = Account()
        self.world = SoakWorld(
            pathlib.Path(folder), self.account, random.Random(seed), vms_per_zone
        )
        self.actions = [
            getattr(self, name) for name in sorted(dir(self)) if name.startswith("do_")
        ]

    def run(self):
        """Run the soak and return its findings, one text for each violation."""
        try:
            self.world.start()
            return self._run()
        finally:
            self.world.kill_processes()

    def _run(self):
        callers = [eventlet.spawn(self.world.run_caller, n) for n in range(CALLERS)]
        count = random.Random(f"{self.seed}/series").randint(*SERIES_RANGE)
        # Each series has its own random generator, so that a seed gives the same faults
        # although the order in which tasks run differs between runs.
        series = [
            eventlet.spawn(self._run_series, random.Random(f"{self.seed}/{number}"))
            for number in range(count)
        ]
        # Generators of their own: a seed's other faults stay those of earlier versions.
        limits_rng = random.Random(f"{self.seed}/limits")
        series.append(eventlet.spawn(self._limit_servers, limits_rng))
        restore_rng = random.Random(f"{self.seed}/restore")
        series.append(eventlet.spawn(self._restore_store, restore_rng))
        notices_rng = random.Random(f"{self.seed}/notices")
        series.append(eventlet.spawn(self._give_notices, notices_rng))
        crashes_rng = random.Random(f"{self.seed}/crashes")
        series.append(eventlet.spawn(self._crash_servers, crashes_rng))
        for task in series:
            task.wait()
        self.world.heal()
        findings = self._check_recovery()
        self.world.stopping = True
        for caller in callers:
            caller.wait()
        return findings + check_account(self.account, self.world)

    def _run_series(self, rng):
        action = rng.choice(self.actions)
        eventlet.sleep(rng.random() * self.seconds / 2)
        for _ in range(rng.randint(*EVENTS_RANGE)):
            start = time.monotonic()
            detail = action(rng)
            self._record_fault(start, action.__name__.removeprefix("do_"), detail)
            eventlet.sleep(rng.expovariate(1.0))

    def _record_fault(self, start, name, detail):
        self.account.faults.append((start, time.monotonic(), name, detail))

    def _restore_store(self, rng):
        """Restore the store from a copy some seconds old, once or twice."""
        for _ in range(rng.randint(1, 2)):
            sleep_random(rng, 0.1, self.seconds / 3)
            copy = self.world.store.copy()
            sleep_random(rng, 0.5, self.seconds / 3)
            start = time.monotonic()
            with self.account.record_outage(""):
                self.world.store.failure = 503
                sleep_random(rng, 0.2, 1.5)
                self.world.store.restore(copy)
                self.world.store.failure = None
                self.world.write_again()
            self._record_fault(start, "restore_store", "")

    def _give_notices(self, rng):
        """Let servers ask for pauses, and say that they leave without their entry."""
        for _ in range(rng.randint(1, 3)):
            sleep_random(rng, 0.1, self.seconds / 4)
            start = time.monotonic()
            server = self._choose_server(rng)
            if rng.random() < 0.5:
                detail = self.world.leave_unlisted(server, rng.uniform(1.0, 5.0))
                self._record_fault(start, "leave_unlisted", detail)
                continue
            server.mode, server.pause_s = "shed", rng.uniform(1.0, 6.0)
            sleep_random(rng, 0.2, 3.0)
            server.mode, server.pause_s = "ok", 0.0
            self._record_fault(start, "pause", server.name)

    def _crash_servers(self, rng):
        """Crash servers, some by a request that comes again at any VM."""
        sleep_random(rng, 0.1, self.seconds / 4)
        start = time.monotonic()
        caller = eventlet.spawn(self.world.run_deadly_caller, self.seconds / 2)
        for _ in range(rng.randint(1, 3)):
            sleep_random(rng, 0.5, self.seconds / 4)
            self.world.crash_server(self._choose_server(rng))
        caller.wait()
        self._record_fault(start, "crash_servers", "")

    def _limit_servers(self, rng):
        """Let most servers of a service name limits that move up and down."""
        eventlet.sleep(rng.random() * self.seconds / 4)
        start = time.monotonic()
        service = rng.choice(sorted(SERVERS))
        servers = [s for s in self.world.servers.values() if s.service == service]
        limited = rng.sample(servers, rng.randint(len(servers) // 2, len(servers)))
        tasks = [
            eventlet.spawn(
                self._move_limit, server, random.Random(f"{self.seed}/{server.name}")
            )
            for server in limited
        ]
        for task in tasks:
            task.wait()
        self._record_fault(start, "limit_servers", f"{len(limited)} of {service}")

    def _move_limit(self, server, rng):
        for _ in range(rng.randint(1, 2)):
            with self.account.record_rate_limit(server, round(rng.uniform(0.5, 6), 1)):
                eventlet.sleep(self.seconds / rng.randint(2, 3))

    def _check_recovery(self):
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until:
            if all(vm.is_ready() for vm in self.world.vms):
                break
            eventlet.sleep(0.1)
        else:
            responses = {vm.name: vm.get_ready_status() for vm in self.world.vms}
            return [
                f"RECOVER: not all VMs ready {RECOVERY_S:g} s after faults: {responses}"
            ]
        eventlet.sleep(max(until - time.monotonic(), 0.0) / 3)
        statuses = collections.Counter(
            self.world.send_once(f"/stock/final-{n}") for n in range(FINAL_REQUESTS)
        )
        if statuses[200] < FINAL_REQUESTS:
            return [f"RECOVER: final requests ended as {dict(statuses)}"]
        return []

    def _choose_server(self, rng):
        return rng.choice(list(self.world.servers.values()))

    def do_kill(self, rng):
        """Kill a process and restart it."""
        vm = rng.choice(self.world.vms)
        self._kill(rng, [vm], 2.0)
        return vm.name

    def do_kill_several(self, rng):
        """Kill all processes but one at once and restart them."""
        vms = rng.sample(self.world.vms, len(self.world.vms) - 1)
        self._kill(rng, vms, 1.0)
        return len(vms)

    def do_pause(self, rng):
        """Pause a process and resume it."""
        vm = rng.choice(self.world.vms)
        vm.pause()
        sleep_random(rng, 0.2, 4.0)
        vm.resume()
        return vm.name

    def do_stop(self, rng):
        """Stop a process gracefully, as in a rolling restart, and restart it."""
        vm = rng.choice(self.world.vms)
        vm.stop()
        vm.start()
        return vm.name

    def do_reload(self, rng):
        """Make a process reload its settings."""
        vm = rng.choice(self.world.vms)
        vm.reload()
        return vm.name

    def do_store_refuse(self, rng):
        """Make the store refuse all calls for a random time."""
        with self.account.record_outage(""):
            self.world.store.failure = rng.choice([429, 503])
            sleep_random(rng, 0.5, 4.0)
            self.world.store.failure = None

    def do_store_forget(self, rng):
        """Make the store drop its history."""
        self.world.store.compact_history()

    def do_store_link(self, rng):
        """Inject a fault into the link between one VM and the store."""
        vm = rng.choice(self.world.vms)
        with self.account.record_outage(vm.name):
            return self._fail_link(rng, vm.store_proxy)

    def do_server_link(self, rng):
        """Inject a fault into the link to one server."""
        return self._fail_link(rng, self._choose_server(rng).proxy)

    def do_server_mode(self, rng):
        """Put a server into a failure mode for a random time."""
        server = self._choose_server(rng)
        server.mode = rng.choice(["hang", "shed", "error", "cut", "unsigned"])
        sleep_random(rng, 0.5, 5.0)
        mode, server.mode = server.mode, "ok"
        return f"{server.name} {mode}"

    def do_server_leave(self, rng):
        """Drain and remove a server; a new one takes over its address."""
        return self.world.replace_server(self._choose_server(rng))

    def do_config(self, rng):
        """Point a route at the other service."""
        return self.world.move_route()

    def _kill(self, rng, vms, longest_s):
        for vm in vms:
            vm.kill()
        sleep_random(rng, 0.1, longest_s)
        for vm in vms:
            vm.start()

    def _fail_link(self, rng, proxy):
        kind = rng.choice(["delay", "in", "out", "both", "reset", "refuse"])
        if kind == "delay":
            proxy.delay_s = rng.uniform(0.01, 0.3)
        elif kind == "reset":
            proxy.reset_all()
        elif kind == "refuse":
            proxy.refusing = True
        else:
            proxy.cut = frozenset({"in", "out"} if kind == "both" else {kind})
        sleep_random(rng, 0.3, 4.0)
        proxy.heal()
        return f"{proxy.target} {kind}"


def sleep_random(rng, low, high):
    """Sleep for a random time between two bounds, in seconds."""
    eventlet.sleep(rng.uniform(low, high))


def run_seed(seed, seconds, folder=None, vms_per_zone=VMS_PER_ZONE):
    """
    Run one seed and return its findings.

    :param folder: directory for settings and logs; a temporary one if ``None``.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as temporary:
            return run_seed(seed, seconds, temporary, vms_per_zone)
    soak = Soak(seed, folder, seconds, vms_per_zone)
    findings = soak.run()
    if findings:
        findings += [
            f"fault {name} {detail or ''} from {start:.2f} to {end:.2f} s"
            for start, end, name, detail in sorted(soak.account.faults, key=str)
        ]
    return findings


def main():
    """Run a range of seeds and print their findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 5))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--vms-per-zone", type=int, default=VMS_PER_ZONE)
    parser.add_argument(
        "--keep", help="directory for settings and logs; kept after the run"
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        folder = None
        if options.keep:
            folder = pathlib.Path(options.keep) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        findings = run_seed(seed, options.seconds, folder, options.vms_per_zone)
        failed += bool(findings)
        print(f"seed {seed}: {len(findings)} findings", flush=True)
        for finding in findings:
            print(f"  {finding}", flush=True)
    print(f"{failed} of {options.seeds[1] - options.seeds[0] + 1} seeds failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
