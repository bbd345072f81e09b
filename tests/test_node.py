"""Complete request path over real sockets: responses, rejections, keys, bad input."""

import json

import attrs
import pytest

from lavendermast.logs import digest_bytes
from tests.cluster import Cluster, parse_response


@pytest.fixture(scope="module")
def cluster():
    made = Cluster(3)
    yield made
    made.stop()


def get_token(cluster, number=0):
    path = "/.well-known/lavendermast/addresses"
    answer = json.loads(cluster.request("GET", path, number=number)[2])
    vm = cluster.nodes[number].identity.vm
    return next(item["token"] for item in answer["addresses"] if item["vm"] == vm)


def post(cluster, key, body=b"x", number=0):
    headers = [("Lavendermast-Key", key)]
    return cluster.request("POST", "/orders", headers, body, number)


def count_runs(cluster, key):
    runs = cluster.backends["orders-1"].executions
    return sum(1 for run in runs if run[1] == key)


def test_response_is_complete_and_has_an_outcome(cluster):
    status, headers, body = cluster.request("GET", "/stock/7?n=1")
    assert (status, headers["lavendermast-outcome"]) == (200, "answered")
    assert json.loads(body)["query"] == "n=1"


def test_long_answer_is_streamed_whole(cluster):
    status, headers, body = cluster.request("GET", "/stock/big")
    assert (status, len(body)) == (200, 50_000)
    assert headers["content-length"] == "50000"


def test_bodies_of_all_requests_share_the_memory_of_the_daemon(cluster):
    """
    Guards against uploads, each within its limit, that exceed the memory together.

    What does not fit is refused at once; it has not run and may come again.
    """
    memory = cluster.nodes[0].memory
    others = memory.open()
    assert others.grow(memory.max_bytes - 50)
    key = f"{get_token(cluster)}.memory"
    status, headers, _ = post(cluster, key, b"x" * 60)
    assert (status, headers["lavendermast-reason"]) == (503, "no-memory")
    assert float(headers["retry-after"]) > 0
    assert count_runs(cluster, key) == 0
    status, _, body = cluster.request("GET", "/stock/7")
    assert (status, bool(body)) == (200, True)
    others.release()
    assert post(cluster, key, b"x" * 60)[0] == 200
    assert cluster.request("GET", "/stock/big")[0] == 200
    cluster.wait(lambda: memory.used_bytes == 0)


def test_log_has_outcome_and_size_of_a_streamed_response(cluster):
    """
    Guards against wrong log entries (R8) and leaked queue permits.

    It occurs if the end of a streamed body is not detected.
    """
    headers = [("Lavendermast-Request", "long-answer")]
    cluster.request("GET", "/stock/big", headers)
    rows = cluster.read_log(0, "request")
    (row,) = [row for row in rows if row["request"] == "long-answer"]
    assert (row["outcome"], row["bytes"]) == ("answered", "50000")
    queues = cluster.nodes[0].pools.get("stock").queues
    assert [queue.permits for queue in queues.values()] == [0, 0]


def test_truncated_response_ends_before_its_content_length(cluster):
    """
    Guards against a truncated response that looks complete (R2).

    The server closes the connection early; HTTP/1.0 callers must detect it as well.
    """
    for backend in cluster.backends.values():
        backend.faults.cut = 1.0
    try:
        for version in ("1.0", "1.1"):
            request = f"GET /stock/big HTTP/{version}\r\nHost: a\r\n\r\n"
            answer = cluster.send_raw(request.encode())
            status, headers, body = parse_response(answer)
            assert status != 200 or len(body) < int(headers["content-length"])
    finally:
        for backend in cluster.backends.values():
            backend.faults.cut = 0.0


@pytest.mark.parametrize(
    ("request_bytes", "status", "reason"),
    [
        (b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n", 404, "no-route"),
        (
            b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nshort",
            400,
            "body-cut",
        ),
        (
            b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\n",
            413,
            "body-too-large",
        ),
        (
            b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nLavendermast-Deadline: 1000\r\n\r\n",
            504,
            "deadline-passed",
        ),
        (
            b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nLavendermast-Deadline: soon\r\n\r\n",
            400,
            "bad-deadline",
        ),
        (
            b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nX-Long: " + b"a" * 3000 + b"\r\n\r\n",
            431,
            "headers-too-large",
        ),
    ],
)
def test_bad_request_is_refused_as_not_run(cluster, request_bytes, status, reason):
    answer = parse_response(cluster.send_raw_and_close(request_bytes))
    assert answer[0] == status
    assert answer[1]["lavendermast-reason"] == reason
    assert answer[1]["lavendermast-outcome"] == "not-run"


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"\x00\x01garbage\r\n\r\n",
        b"GET\r\n\r\n",
        b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
        b"POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /stock/%ff%00 HTTP/1.1\r\nHost: a\r\nA: b\x00c\r\n\r\n",
    ],
)
def test_malformed_request_does_not_stop_the_process(cluster, request_bytes):
    cluster.send_raw_and_close(request_bytes)
    assert cluster.request("GET", "/stock/1")[0] == 200


def test_missing_key_is_refused_with_a_token_that_works(cluster):
    status, headers, _ = cluster.request("POST", "/orders", body=b"x")
    assert (status, headers["lavendermast-outcome"]) == (428, "not-run")
    key = headers["lavendermast-token"] + ".after-428"
    assert post(cluster, key)[0] == 200
    assert count_runs(cluster, key) == 1


def test_repeat_at_another_vm_is_forwarded_and_replayed(cluster):
    """
    Guards against running a submission twice (R4).

    The caller sends the same key to two VMs.
    """
    key = get_token(cluster) + ".twice"
    first = post(cluster, key)
    second = post(cluster, key, number=1)
    assert first[0] == second[0] == 200
    assert first[2] == second[2]
    assert second[1]["lavendermast-reason"] == "replayed"
    assert count_runs(cluster, key) == 1
    key = digest_bytes(key.encode())
    rows = [cluster.read_log(number, "duplicate") for number in (0, 1)]
    rows = [[row["action"] for row in part if row["key"] == key] for part in rows]
    assert rows == [["replayed"], []]


def test_key_of_a_terminated_process_gives_unknown(cluster):
    """
    Guards against a wrong outcome (R3) and a second run (R4).

    The process that owned the key is gone, so no VM knows whether the request ran.
    """
    issuer = cluster.nodes[0].idempotency_guard.issuer
    token = issuer.issue_for("vm-9", 12345, cluster.nodes[0].clock.get_unix_ms())
    status, headers, _ = post(cluster, token + ".gone")
    assert (status, headers["lavendermast-outcome"]) == (504, "unknown")


def test_completed_key_is_never_not_run_at_a_vm_outside_the_service_set(
    cluster, monkeypatch
):
    """
    Guards against a wrong ``not-run`` (R3).

    It occurs if a retry is rejected with ``wrong-vm`` before its key is checked.
    """
    node = cluster.nodes[0]
    key, fresh = (get_token(cluster) + part for part in (".moved", ".fresh"))
    assert post(cluster, key)[0] == 200
    monkeypatch.setattr(node.policy, "get_service_set", lambda name: ["vm-9"])
    assert post(cluster, key)[1]["lavendermast-outcome"] == "answered"
    status, headers, body = post(cluster, fresh)
    assert (status, headers["lavendermast-outcome"]) == (421, "not-run")
    assert json.loads(body)["reason"] == "wrong-vm"
    assert count_runs(cluster, fresh) == 0


def test_leaving_vm_serves_callers_that_cached_its_address(cluster):
    """
    Guards against errors during a graceful stop (R6).

    It occurs if callers are rejected until they request addresses again.
    """
    fleet = cluster.nodes[2].fleet
    fleet.set_state("leaving")
    try:
        assert cluster.request("GET", "/stock/1", number=2)[0] == 200
    finally:
        fleet.set_state("alive")


def test_draining_server_is_replaced_by_another(cluster):
    cluster.backends["stock-1"].faults.draining = True
    try:
        answers = [cluster.request("GET", "/stock/2")[0] for _ in range(20)]
        assert set(answers) == {200}
        health_tracker = cluster.nodes[0].pools.get("stock").tracker
        assert health_tracker.get_weight("stock-1") == 0.0
    finally:
        cluster.backends["stock-1"].faults.draining = False


def test_every_vm_applies_newer_versions_and_rejects_older_ones(cluster):
    """
    Guards against a return to an older configuration (R7).

    A stale store publishes an older version after a newer one.
    """
    value = json.loads(cluster.store.values["config"][1])
    newer = {**value, "version": 7}
    cluster.publish("config", newer)
    cluster.wait(lambda: all(node.policy.version == 7 for node in cluster.nodes))
    cluster.publish("config", {**value, "version": 6})
    cluster.publish("config", {**value, "version": 8, "base": {"routes": 1}})
    cluster.publish("config", {**value, "version": 9})
    cluster.wait(lambda: all(node.policy.version == 9 for node in cluster.nodes))
    for number in range(len(cluster.nodes)):
        accepted = [
            row["version"]
            for row in cluster.read_log(number, "config_accepted")
            if row["document"] == "config"
        ]
        assert accepted == ["1", "7", "9"]


def test_leaving_vm_outside_its_service_sets_serves_callers(cluster):
    """
    Guards against 421 responses during a graceful stop.

    A leaving VM is in no service set, but callers still use its address.
    """
    node = cluster.nodes[0]
    node.fleet.set_state("leaving")
    status, headers, _ = cluster.request("GET", "/stock/1")
    assert (status, headers["lavendermast-outcome"]) == (200, "answered")
    node.fleet.set_state("alive")
    cluster.wait(lambda: node.identity.vm in node.policy.get_service_set("stock"))


def test_status_and_metrics_describe_the_vm(cluster):
    application = cluster.nodes[0].admin_listener._application
    seen = []
    body = application(
        {"PATH_INFO": "/status"}, lambda status, headers: seen.append(status)
    )
    status = json.loads(b"".join(body))
    assert status["ready"] and len(status["members"]) == 3
    text = b"".join(application({"PATH_INFO": "/metrics"}, lambda *args: None))
    assert b"lavendermast_requests_total" in text


def test_head_keeps_the_length_that_get_would_have(cluster):
    status, headers, body = cluster.request("HEAD", "/stock/9")
    assert (status, body) == (200, b"")
    assert int(headers["content-length"]) > 0


def test_fleet_keys_are_replaced_without_a_restart(cluster, tmp_path):
    """
    Guards against a fleet restart for every key change.

    Old tokens stay valid, and invalid settings leave the keys unchanged.
    """
    node = cluster.nodes[0]
    settings = attrs.asdict(node.settings)
    settings["fleet_keys"] = [
        {"id": 2, "secret": "another-fleet-secret"},
        *settings["fleet_keys"],
    ]
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(settings))
    old_token = get_token(cluster)
    node.reload_keys(path)
    assert post(cluster, get_token(cluster) + ".new")[0] == 200
    assert post(cluster, old_token + ".old")[0] == 200
    path.write_text("{}")
    node.reload_keys(path)
    assert node.settings.fleet_keys[0].id == 2
