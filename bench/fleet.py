"""A fleet of real daemons with stand-ins on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from bench import layouts

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.05


def call(address, path, body=None, method=None, timeout=5.0):
    """Return the body of an HTTP call to a stand-in or an admin listener."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method
    )
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return response.read()


class LocalFleet:
    """
    Daemons, backend servers and the configuration service as child processes.

    :param deployment: ``mauritius`` or ``latvia``.
    :param vm_count: number of daemons.
    :param change_base: callable that edits the base settings in place, or ``None``.
    :param options: any of the following.

        - ``overlays``: settings overlays by site; by default those of the deployment.
        - ``short``, ``long``: ``work_ms`` and ``body_bytes`` of the backend servers for
          short and long routes.
        - ``server_queue``: queue length of each backend server.
        - ``seed``: seed of the backend servers.
        - ``daemon_module``: module that runs one daemon.
        - ``service``: service whose servers ``NaiveFleet`` uses; ignored by other
          fleets.
    """

    def __init__(self, deployment, vm_count, change_base=None, **options):
        self.deployment = deployment
        self.base = layouts.load_base(deployment)
        self.overlays = options.get("overlays", layouts.load_overlays(deployment))
        if change_base:
            change_base(self.base)
        self.version = 1
        self.revision = 0
        self.vms = layouts.make_vms(deployment, vm_count)
        self.states = {vm.name: "live" for vm in self.vms}
        self.servers = layouts.make_servers(deployment, self.base)
        self.store_address = layouts.take_addresses(1)[0]
        self._options = options
        self._daemon_module = options.get("daemon_module", "lavendermast.daemon")
        self._folder = tempfile.TemporaryDirectory(prefix="lavendermast-bench-")
        self.folder = pathlib.Path(self._folder.name)
        self._daemons = {}
        self._stand_ins = []

    def __enter__(self):
        try:
            self._start_stand_ins()
            self.publish_vms()
            self.publish_config()
            for vm in self.vms:
                self.start_vm(vm.name)
            self.wait_ready()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exception):
        processes = [*self._daemons.values(), *self._stand_ins]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        self._folder.cleanup()

    def get_vm(self, name):
        """Return an entry VM by name."""
        return next(vm for vm in self.vms if vm.name == name)

    def get_log(self, name):
        """Return the path of a VM's decision log."""
        return self.folder / f"{name}.log"

    def get_logs(self):
        """Return the paths of all decision logs."""
        return sorted(self.folder.glob("*.log"))

    def get_pid(self, name):
        """Return the process id of a daemon."""
        return self._daemons[name].pid

    def get_exit_code(self, name):
        """Return the exit code of a daemon, ``None`` while it runs."""
        return self._daemons[name].poll()

    def _start_stand_ins(self):
        self._spawn_stand_in("standins.platform", "--listen", self.store_address)
        services = {}
        for server in self.servers:
            services.setdefault(server["service"], []).append(server)
        for service, servers in services.items():
            options = self.base["services"][service]
            process = self._spawn_stand_in("standins.backend")
            description = {
                "servers": servers,
                "slots": options.get("slots", 6),
                "queue": self._options.get("server_queue", 6),
                "connections": options.get("connections", 360),
                "seed": self._options.get("seed", 1),
                "work": layouts.make_work(
                    self.base, self._options.get("short"), self._options.get("long")
                ),
            }
            process.stdin.write(json.dumps(description).encode() + b"\n")
            process.stdin.flush()
        for process in self._stand_ins:
            process.stdout.readline()

    def _spawn_stand_in(self, module, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", module, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._stand_ins.append(process)
        return process

    def start_vm(self, name):
        """Start or restart the daemon of a VM."""
        vm = self.get_vm(name)
        settings = vm.make_settings(self.store_address, str(self.get_log(name)))
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        errors = (self.folder / f"{name}.stderr").open("ab")
        self._daemons[name] = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", self._daemon_module]
            + ["--settings", str(path)],
            stderr=errors,
            env={**os.environ, "LAVENDERMAST_FAULTS": str(self._get_faults_path(name))},
        )

    def block(self, name, drop_from=(), drop_to=()):
        """
        Drop a VM's traffic by address; needs ``bench.faulty_daemon``.

        :param drop_from: addresses whose peer messages to the VM are dropped.
        :param drop_to: addresses that the VM cannot reach.
        """
        value = {"drop_from": list(drop_from), "drop_to": list(drop_to)}
        path = self._get_faults_path(name)
        path.with_suffix(".new").write_text(json.dumps(value))
        path.with_suffix(".new").rename(path)

    def partition(self, regions):
        """
        Partition the VMs of some regions from everything in the other regions.

        The VMs of these regions also lose the store; the other VMs keep it. Needs
        ``bench.faulty_daemon``.
        """
        inside = {vm.name for vm in self.vms if vm.region in regions}
        for vm in self.vms:
            other = [v for v in self.vms if (v.name in inside) != (vm.name in inside)]
            servers = [
                server["address"]
                for server in self.servers
                if (server["region"] in regions) != (vm.name in inside)
            ]
            peers = [item.peer_address for item in other]
            callers = [item.caller_address for item in other]
            store = [self.store_address] if vm.name in inside else []
            self.block(vm.name, peers, peers + callers + servers + store)

    def heal(self):
        """End all partitions."""
        for vm in self.vms:
            self.block(vm.name)

    def _get_faults_path(self, name):
        return self.folder / f"{name}.faults"

    def signal_vm(self, name, number):
        """Send a signal to a daemon."""
        self._daemons[name].send_signal(number)

    def wait_exit(self, name, timeout=STOP_TIMEOUT_S):
        """Wait for a daemon to exit and return its exit code."""
        return self._daemons[name].wait(timeout)

    def wait_ready(self, names=None, timeout=START_TIMEOUT_S):
        """Wait until daemons serve callers; all daemons if ``names`` is empty."""
        deadline = time.monotonic() + timeout
        for name in names or [vm.name for vm in self.vms]:
            while not self.is_ready(name):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} is not ready: {self.read_errors(name)}")
                time.sleep(POLL_INTERVAL_S)

    def is_ready(self, name):
        """Return whether a daemon serves callers."""
        try:
            call(self.get_vm(name).admin_address, "/healthz")
        except (urllib.error.URLError, OSError):
            return False
        return True

    def read_errors(self, name):
        """Return the tails of a daemon's standard error and decision log."""
        paths = (self.folder / f"{name}.stderr", self.get_log(name))
        return "".join(path.read_text()[-1000:] for path in paths if path.exists())

    def get_status(self, name):
        """Return the status mapping of a daemon."""
        return json.loads(call(self.get_vm(name).admin_address, "/status"))

    def get_metrics(self, name):
        """Return the metrics of a daemon as a mapping from series to value."""
        text = call(self.get_vm(name).admin_address, "/metrics").decode()
        lines = [line for line in text.splitlines() if line and line[0] != "#"]
        return {key: float(value) for key, value in (x.rsplit(" ", 1) for x in lines)}

    def publish_config(self, change=None):
        """
        Publish the configuration.

        :param change: callable that edits the base settings in place; the version is
            then increased. ``None`` publishes the current version again.
        """
        if change:
            change(self.base)
            self.version += 1
        bundle = {
            "version": self.version,
            "base": self.base,
            "overlays": self.overlays,
        }
        self._publish("config", bundle)

    def publish_vms(self):
        """Publish the VM list with the next revision."""
        self.revision += 1
        entries = [layouts.describe_vm(vm, self.states[vm.name]) for vm in self.vms]
        value = {"revision": self.revision, "vms": entries + self.servers}
        self._publish("vms", value)

    def _publish(self, name, value):
        content = json.dumps(value).encode()
        call(self.store_address, f"/_control/values/{name}", content, "PUT")

    def control_store(self, **change):
        """Set ``down`` or ``stale`` of the store and return the store's call counts."""
        body = json.dumps(change).encode()
        return json.loads(call(self.store_address, "/_control", body, "POST"))

    def control_server(self, name, **faults):
        """Set the faults of a backend server."""
        call(
            self._get_server(name)["address"], "/_control", json.dumps(faults).encode()
        )

    def get_executions(self, name):
        """Return the requests that a backend server ran, with its counters."""
        return json.loads(call(self._get_server(name)["address"], "/_executions"))

    def _get_server(self, name):
        return next(server for server in self.servers if server["name"] == name)

    def stop_all(self):
        """Stop all daemons gracefully and return their exit codes by VM."""
        for process in self._daemons.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        return {name: self.wait_exit(name) for name in self._daemons}
