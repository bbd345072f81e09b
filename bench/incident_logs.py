"""Generates decision logs and a callers' log of a fleet from a seed."""

import argparse
import hashlib
import json
import pathlib
import random

import attrs

from lavendermast.logs import format_event

START = 1_700_000_000.0
SERVICES = {"stock": 12, "bookings": 18, "archives": 12}


@attrs.frozen
class GeneratedLogs:
    """
    Log files of one generated incident.

    :param skews: seconds by which each VM's clock is ahead.
    :param forwarded: ids of requests that were forwarded.
    """

    logs: list
    callers: pathlib.Path
    skews: dict
    forwarded: list
    lines: int


class _Generator:
    def __init__(self, directory, vms, seed):
        self.random = random.Random(seed)
        self.vms = [f"vm{number}" for number in range(vms)]
        self.skews = {vm: self.random.uniform(-0.5, 0.5) for vm in self.vms}
        self.logs = [directory / f"{vm}.log" for vm in self.vms]
        self.streams = {
            vm: path.open("w") for vm, path in zip(self.vms, self.logs, strict=True)
        }
        self.callers_path = directory / "callers.jsonl"
        self.callers = self.callers_path.open("w")
        self.forwarded = []
        self.lines = 0

    def write(self, moment, vm, event, **fields):
        number = self.vms.index(vm)
        head = {
            "ts": f"{moment + self.skews[vm]:.6f}",
            "event": event,
            "vm": vm,
            "zone": f"z{number % 2}",
        }
        self.streams[vm].write(format_event({**head, **fields}) + "\n")
        self.lines += 1

    def write_fleet_events(self, moment):
        """Write one ejection and the next configuration version on every VM."""
        server = f"stock-{self.random.randrange(SERVICES['stock'])}"
        version = int(moment - START) + 1
        for vm in self.vms:
            self.write(
                moment,
                vm,
                "ejected",
                service="stock",
                server=server,
                cause="errors",
                source="local",
                score=0.6,
                until=moment + 4 + self.skews[vm],
                budget_left=2,
            )
            fields = {"document": "config", "version": version, "digest": "d"}
            self.write(moment, vm, "config_accepted", source="peer", **fields)

    def write_request(self, number, moment):
        rng = self.random
        vm, service = rng.choice(self.vms), rng.choice(list(SERVICES))
        request = f"{vm}-{number}"
        has_key = service == "bookings"
        key = f"token.{number}" if has_key else ""
        common = {
            "request": request,
            "method": "POST" if has_key else "GET",
            "path": f"/{service}/{number}",
            "route": service,
            "service": service,
            "customer": f"c{number % 20}",
            "key": hashlib.sha256(key.encode()).hexdigest()[:16] if has_key else None,
        }
        body = f"{number}".encode() * rng.randint(1, 40)
        if has_key and rng.random() < 0.2:
            end, response = self.write_forwarded(vm, moment, common, body)
        else:
            end, response = self.write_execution(vm, moment, common, body)
        record = {
            "request": request,
            "sent_at": moment - 0.001,
            "outcome": response["outcome"],
            "status": response["status"],
            "body_digest": response["body_digest"],
            "bytes": response["bytes"],
            "key": key,
            "vm": vm,
        }
        self.callers.write(json.dumps(record) + "\n")

    def write_forwarded(self, vm, moment, common, body):
        owner = self.random.choice([name for name in self.vms if name != vm])
        delay = self.random.choice((0.001, 0.002, 0.02))
        request, key = common["request"], common["key"]
        address = "127.0.0.1:9001"
        self.write(
            moment,
            vm,
            "forwarded",
            request=request,
            key=key,
            owner=owner,
            address=address,
        )
        self.forwarded.append(request)
        end, response = self.write_execution(owner, moment + delay, common, body)
        end += delay
        self.write_request_line(
            vm, moment, end, common, {**response, "attempts": 0, "server": None}
        )
        return end, response

    def write_execution(self, vm, moment, common, body):
        rng, request = self.random, common["request"]
        end, attempts, server = moment, 0, None
        if rng.random() < 0.01:
            return end, self.write_request_line(
                vm, moment, end, common, _make_response("not-run", 503, b"", 0, None)
            )
        statuses = ["shed", "ok"] if rng.random() < 0.03 else ["ok"]
        for attempts, status in enumerate(statuses, 1):
            count = SERVICES[common["service"]]
            server = f"{common['service']}-{rng.randrange(count)}"
            fields = {"request": request, "attempt": attempts, "server": server}
            self.write(
                end,
                vm,
                "decision",
                **fields,
                route=common["route"],
                service=common["service"],
                reason="two choices",
                candidates=f"{server}:1",
                deadline=int((moment + 2) * 1000),
            )
            latency = rng.lognormvariate(2.5, 0.6)
            end += latency / 1000
            self.write(
                end,
                vm,
                "attempt",
                **fields,
                status=status,
                http_status=200 if status == "ok" else 503,
                latency_ms=latency,
                detail=None,
            )
        response = _make_response("answered", 200, body, attempts, server)
        return end, self.write_request_line(vm, moment, end, common, response)

    def write_request_line(self, vm, moment, end, common, response):
        latency = (end - moment) * 1000
        deadline = int((moment + 2) * 1000)
        self.write(
            end,
            vm,
            "request",
            **common,
            **response,
            latency_ms=latency,
            deadline=deadline,
        )
        return response


def _make_response(outcome, status, body, attempts, server):
    return {
        "outcome": outcome,
        "reason": None if outcome == "answered" else "queue-full",
        "status": status,
        "attempts": attempts,
        "server": server,
        "bytes": len(body),
        "body_digest": hashlib.sha256(body).hexdigest()[:16],
    }


def generate_logs(directory, lines, vms=8, seed=1, rate=1000):
    """
    Write decision logs of VMs and one callers' log.

    :param directory: directory to write into.
    :param lines: minimum total number of log lines.
    :param rate: requests per second of log time.
    :return: ``GeneratedLogs``.
    """
    generator = _Generator(pathlib.Path(directory), vms, seed)
    number = 0
    while generator.lines < lines:
        moment = START + number / rate
        if number % (5 * rate) == 0:
            generator.write_fleet_events(moment)
        generator.write_request(number, moment)
        number += 1
    for stream in (*generator.streams.values(), generator.callers):
        stream.close()
    return GeneratedLogs(
        generator.logs,
        generator.callers_path,
        generator.skews,
        generator.forwarded,
        generator.lines,
    )


def main():
    """Write logs into an existing directory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--lines", type=int, default=1000)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    generated = generate_logs(
        arguments.directory, arguments.lines, arguments.vms, arguments.seed
    )
    print(f"{generated.lines} lines, callers' log {generated.callers.name}")


if __name__ == "__main__":
    main()
