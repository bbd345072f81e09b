"""
Randomized soak of entry processes: faults from outside, promises checked from outside.

    python -W ignore -m bench.soak --seeds 1 50 --seconds 20

Each seed starts a store, servers and entry processes on loopback, sends requests of
callers, and injects faults in overlapping series: proxies that delay, cut one way,
silence and reset; processes that are stopped, paused, killed and restarted; a store
that refuses or forgets its history; servers that hang, shed, cut, leave and come back
under another name. The entry processes decide nothing by the time of day and write no
files, so clocks and disks are not among the faults. Findings are printed with their
seed.
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
from bench.soakworld import SoakWorld  # noqa: E402

CALLERS = 24
#: Time for which the fleet may still be recovering after the last fault is lifted: the
#: users' recovery_s.
RECOVERY_S = 15.0
#: Requests that must all be served once the fleet has recovered.
FINAL_REQUESTS = 20
#: Series of faults that are active in one run, and events in each of them.
SERIES = (5, 9)
EVENTS = (1, 4)


class Soak:
    """
    One run.

    :param seed: decides all faults and the callers' requests.
    :param folder: directory that receives settings and logs of the processes.
    :param seconds: time for which faults are injected.
    """

    def __init__(self, seed, folder, seconds):
        self.seed = seed
        self.seconds = seconds
        self.account = Account()
        self.world = SoakWorld(pathlib.Path(folder), self.account, random.Random(seed))
        self.actions = [
            getattr(self, name) for name in sorted(dir(self)) if name.startswith("do_")
        ]

    def run(self):
        """Return the findings, one text for each broken promise."""
        try:
            self.world.start()
            return self._run()
        finally:
            self.world.end_processes()

    def _run(self):
        callers = [eventlet.spawn(self.world.call, n) for n in range(CALLERS)]
        count = random.Random(f"{self.seed}/series").randint(*SERIES)
        # Each series has its own numbers, so that a seed gives the same faults although
        # the order of the tasks differs from run to run.
        series = [
            eventlet.spawn(self._run_series, random.Random(f"{self.seed}/{number}"))
            for number in range(count)
        ]
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
        for _ in range(rng.randint(*EVENTS)):
            start = time.monotonic()
            detail = action(rng)
            self.account.faults.append(
                (start, time.monotonic(), action.__name__.removeprefix("do_"), detail)
            )
            eventlet.sleep(rng.expovariate(1.0))

    def _check_recovery(self):
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until:
            if all(vm.is_ready() for vm in self.world.vms):
                break
            eventlet.sleep(0.1)
        else:
            answers = {vm.name: vm.ask_ready() for vm in self.world.vms}
            return [
                f"RECOVER: not all VMs ready {RECOVERY_S:g} s after faults: {answers}"
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
        """Kill a process and start it again."""
        vm = rng.choice(self.world.vms)
        self._kill(rng, [vm], 2.0)
        return vm.name

    def do_kill_several(self, rng):
        """Kill most processes at once."""
        vms = rng.sample(self.world.vms, len(self.world.vms) - 1)
        self._kill(rng, vms, 1.0)
        return len(vms)

    def do_pause(self, rng):
        """Freeze a process and wake it again."""
        vm = rng.choice(self.world.vms)
        vm.pause()
        pause(rng, 0.2, 4.0)
        vm.wake()
        return vm.name

    def do_stop(self, rng):
        """Stop a process as a rolling restart does and start it again."""
        vm = rng.choice(self.world.vms)
        vm.stop()
        vm.start()
        return vm.name

    def do_reload(self, rng):
        """Tell a process that its settings changed."""
        vm = rng.choice(self.world.vms)
        vm.reload()
        return vm.name

    def do_store_refuse(self, rng):
        """Let the store refuse all calls for a while."""
        with self.account.disturb(""):
            self.world.store.failure = rng.choice([429, 503])
            pause(rng, 0.5, 4.0)
            self.world.store.failure = None

    def do_store_forget(self, rng):
        """Let the store drop its history."""
        self.world.store.forget_history()

    def do_store_link(self, rng):
        """Spoil the path between one VM and the store."""
        vm = rng.choice(self.world.vms)
        with self.account.disturb(vm.name):
            return self._spoil(rng, vm.store_proxy)

    def do_server_link(self, rng):
        """Spoil the path to one server."""
        return self._spoil(rng, self._choose_server(rng).proxy)

    def do_server_mode(self, rng):
        """Let a server fail gray for a while."""
        server = self._choose_server(rng)
        server.mode = rng.choice(["hang", "shed", "error", "cut", "unsigned"])
        pause(rng, 0.5, 5.0)
        mode, server.mode = server.mode, "ok"
        return f"{server.name} {mode}"

    def do_server_leave(self, rng):
        """Let a server drain and leave; another one gets its address."""
        return self.world.replace_server(self._choose_server(rng))

    def do_config(self, rng):
        """Send a route to the other service."""
        return self.world.move_route()

    def _kill(self, rng, vms, longest_s):
        for vm in vms:
            vm.kill()
        pause(rng, 0.1, longest_s)
        for vm in vms:
            vm.start()

    def _spoil(self, rng, proxy):
        kind = rng.choice(["delay", "in", "out", "both", "reset", "refuse"])
        if kind == "delay":
            proxy.delay_s = rng.uniform(0.01, 0.3)
        elif kind == "reset":
            proxy.reset_all()
        elif kind == "refuse":
            proxy.refusing = True
        else:
            proxy.cut = frozenset({"in", "out"} if kind == "both" else {kind})
        pause(rng, 0.3, 4.0)
        proxy.heal()
        return f"{proxy.target} {kind}"


def pause(rng, low, high):
    """Wait for a random time between two bounds, in seconds."""
    eventlet.sleep(rng.uniform(low, high))


def run_seed(seed, seconds, folder=None):
    """
    Return the findings of one run.

    :param folder: directory for settings and logs; a temporary one without it.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as temporary:
            return run_seed(seed, seconds, temporary)
    soak = Soak(seed, folder, seconds)
    findings = soak.run()
    if findings:
        findings += [
            f"fault {name} {detail or ''} from {start:.2f} to {end:.2f} s"
            for start, end, name, detail in sorted(soak.account.faults, key=str)
        ]
    return findings


def main():
    """Run seeds and print what they find."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 5))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--keep", help="directory that keeps the logs of failed seeds")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        folder = None
        if options.keep:
            folder = pathlib.Path(options.keep) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        findings = run_seed(seed, options.seconds, folder)
        failed += bool(findings)
        print(f"seed {seed}: {len(findings)} findings", flush=True)
        for finding in findings:
            print(f"  {finding}", flush=True)
    print(f"{failed} of {options.seeds[1] - options.seeds[0] + 1} seeds failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
