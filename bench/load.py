"""Open-loop load generator with seeded arrivals and one record for each request.

Reads a plan as one JSON line on standard input and writes records as JSON lines:
`{"addresses": [...], "zones": [...], "routes": {...}, "steps": [[seconds, rate], ...],
"seed": 1, "callers": 50, "repeat_share": 0.0, "repeat_delay_s": 0.0, "ask": true,
"output": "FILE"}`. Half of the repeats under a key are delayed by up to
`repeat_delay_s`.
"""

import hashlib
import json
import random
import sys
import time
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import attrs  # noqa: E402
import urllib3  # noqa: E402

#: Time that a caller waits for the response beyond the route's timeout.
TIMEOUT_MARGIN_S = 2.0
DIGEST_CHARACTERS = 16
CONNECTIONS_PER_VM = 200


@attrs.define
class Caller:
    """A caller with its cached addresses and tokens."""

    name: str
    zone: str
    addresses: list = attrs.Factory(list)
    tokens: dict = attrs.Factory(dict)
    use_until: float = 0.0


class LoadGenerator:
    """
    Sends the requests of a plan.

    :param plan: mapping as in the module's description.
    """

    def __init__(self, plan):
        self._plan = plan
        self._random = random.Random(plan["seed"])
        self._pools = {}
        self._output = open(plan["output"], "w")
        zones = plan["zones"]
        self._callers = [
            Caller(f"caller-{plan['seed']}-{number}", zones[number % len(zones)])
            for number in range(plan["callers"])
        ]
        self._routes = list(plan["routes"].items())
        self._weights = [route["share"] for _, route in self._routes]
        self._number = 0

    def run(self):
        """Send all requests and wait until they have ended."""
        pool = eventlet.GreenPool(20_000)
        start = time.time() + 0.2
        offset = 0.0
        for seconds, rate in self._plan["steps"]:
            end = offset + seconds
            while rate > 0 and offset < end:
                offset += self._random.expovariate(rate)
                pool.spawn_n(
                    self._send_with_repeat, start + offset, *self._draw_request()
                )
            offset = end
            if rate > 0:
                continue
        pool.waitall()
        self._output.close()

    def _draw_request(self):
        self._number += 1
        name, route = self._random.choices(self._routes, self._weights)[0]
        caller = self._random.choice(self._callers)
        has_repeat = self._random.random() < self._plan.get("repeat_share", 0.0)
        delay = 0.0
        if (
            has_repeat
            and self._plan.get("repeat_delay_s")
            and self._random.random() < 0.5
        ):
            delay = self._random.uniform(0.0, self._plan["repeat_delay_s"])
        return self._number, name, route, caller, has_repeat, delay

    def _send_with_repeat(
        self, scheduled, number, name, route, caller, has_repeat, delay
    ):
        eventlet.sleep(max(0.0, scheduled - time.time()))
        nonce = f"{self._plan['seed']}-{number}"
        key = ""
        address = self._get_address(caller)
        if not route["idempotent"]:
            key = f"{caller.tokens.get(address, '')}.{nonce}"
        self._send_once(scheduled, nonce, name, route, caller, key, address, 0)
        if has_repeat and key:
            others = [item for item in caller.addresses if item != address]
            other = self._random.choice(others or [address])
            eventlet.sleep(delay)
            self._send_once(time.time(), nonce, name, route, caller, key, other, 1)

    def _get_address(self, caller):
        now = time.time()
        if self._plan.get("ask", True) and caller.use_until <= now:
            self._refresh_addresses(caller)
        if not caller.addresses:
            return self._random.choice(self._plan["addresses"])
        return self._random.choice(caller.addresses)

    def _refresh_addresses(self, caller):
        candidates = caller.addresses + self._plan["addresses"]
        for address in candidates[:1] + self._random.sample(
            candidates, min(4, len(candidates))
        ):
            path = f"/.well-known/lavendermast/addresses?zone={caller.zone}"
            path += f"&caller={caller.name}"
            try:
                response = self._get_pool(address).request("GET", path, timeout=2.0)
                answer = response.json()
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            if response.status != 200:
                continue
            caller.addresses = [item["address"] for item in answer["addresses"]]
            caller.use_until = answer["use_until"] / 1000
            caller.tokens = {
                item["address"]: item["token"] for item in answer["addresses"]
            }
            return

    def _get_pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            host, port = address.rsplit(":", 1)
            pool = urllib3.HTTPConnectionPool(
                host, int(port), maxsize=CONNECTIONS_PER_VM, retries=False
            )
            self._pools[address] = pool
        return pool

    def _send_once(
        self, scheduled, nonce, name, route, caller, key, address, repeat_number
    ):
        request_id = f"load-{nonce}-{repeat_number}"
        headers = {
            "Lavendermast-Request": request_id,
            "Lavendermast-Customer": caller.name,
        }
        if key:
            headers["Lavendermast-Key"] = key
        body = b'{"nonce": "%s"}' % nonce.encode() if key else None
        record = {
            "request": request_id,
            "scheduled_at": scheduled,
            "sent_at": time.time(),
            "route": name,
            "work": route["work"],
            "idempotent": route["idempotent"],
            "key": key,
            "nonce": nonce,
            "repeat": repeat_number,
            "vm": address,
        }
        path = route["path"].replace("*", nonce) + f"?n={nonce}"
        try:
            response = self._get_pool(address).request(
                route["method"],
                path,
                body=body,
                headers=headers,
                timeout=route["timeout_ms"] / 1000 + TIMEOUT_MARGIN_S,
                redirect=False,
            )
            record.update(check_response(response, nonce, path, body))
        except urllib3.exceptions.HTTPError as error:
            record.update(
                outcome="no-answer",
                status=0,
                reason=type(error).__name__,
                body_digest="",
                bytes=0,
                check="none",
            )
        record["ended_at"] = time.time()
        self._output.write(json.dumps(record) + "\n")


def check_response(response, nonce, path, body):
    """
    Return the record fields of a complete response, with a check of its content.

    ``check`` is ``none`` if the status is not 200, ``cut`` if the body is not valid
    JSON, ``ok`` if the query and the body digest in it are those of this request, and
    ``foreign`` if they are not.
    """
    content = response.data
    record = {
        "outcome": response.headers.get("Lavendermast-Outcome", "none"),
        "status": response.status,
        "reason": response.headers.get("Lavendermast-Reason", ""),
        "body_digest": hashlib.sha256(content).hexdigest()[:DIGEST_CHARACTERS],
        "bytes": len(content),
        "server": "",
        "check": "none",
    }
    if response.status != 200:
        return record
    try:
        answer = json.loads(content)
    except ValueError:
        return {**record, "check": "cut"}
    received = hashlib.sha256(body or b"").hexdigest()
    matches = answer["query"] == f"n={nonce}" and answer["received"] == received
    return {
        **record,
        "server": answer["server"],
        "check": "ok" if matches else "foreign",
    }


def main():
    """Run the plan from standard input."""
    plan = json.loads(sys.stdin.readline())
    LoadGenerator(plan).run()


if __name__ == "__main__":
    main()
