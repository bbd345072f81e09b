"""Tests for an entry VM process between a caller, backend servers and a store."""

import json
import os
import signal
import subprocess
import sys
import time

import eventlet
import pytest

from standins.entryworld import (
    BOOK_RULE,
    ENTRY_SCRIPT,
    HOST,
    READ_RULE,
    EntryWorld,
    make_config,
    make_rule,
)


@pytest.fixture
def world(tmp_path):
    world = EntryWorld(tmp_path / "entry.json")
    yield world
    world.stop()


def test_request_is_served_and_logged(world):
    """
    Guards the whole path of a request: directory, route, server, response, log and
    metrics.
    """
    world.add("s1")
    world.wait_ready(1)
    url = f"http://127.0.0.1:{world.ports['directory']}/resolve?name={HOST}&zone=a"
    answer = json.loads(world.http.request("GET", url).data)
    assert answer["addresses"] == [f"127.0.0.1:{world.ports['caller']}"]
    reply = world.send("/stock/7")
    assert (reply.status, reply.data) == (200, b"s1 /stock/7")
    assert reply.headers["Server-Signature"] == "s1.1"
    assert reply.headers["Request-Id"] == "id-1"
    assert world.send("/none/").status == 404
    big = {f"X-{number}": "x" * 3000 for number in range(6)}
    assert world.send("/stock/7", headers=big).status == 431
    metrics = world.read_metrics()
    assert "lavendermast_entry_request_seconds_bucket" in metrics
    assert 'lavendermast_entry_active_vms{zone="a"} 1' in metrics
    assert "lavendermast_entry_error_likelihood_ratio 8" in metrics
    eventlet.sleep(0.2)
    log = world.stop()
    lines = [line for line in log.splitlines() if "request=id-1 " in line]
    assert [line.split()[1] for line in lines] == [
        "event=decision",
        "event=attempt",
        "event=request",
    ]


def test_hanging_server_delays_reads_little_and_writes_run_once(world):
    """
    Guards against idempotent requests that wait for a hanging server instead of being
    tried on another one, and against a non-idempotent request that runs twice (R4).
    """
    world.add("s1", "hang")
    world.add("s2")
    world.wait_ready(2)
    for _ in range(12):
        started = time.monotonic()
        assert world.send("/stock/7").status == 200
        assert time.monotonic() - started < 1.4
    statuses = [world.send("/book/1", "POST").status for _ in range(4)]
    assert set(statuses) <= {200, 504}
    runs = [run for server in world.servers.values() for run in server.runs]
    request_ids = [run[0] for run in runs if run[1] == "/book/1"]
    assert len(request_ids) == len(set(request_ids)) == 4


@pytest.mark.parametrize("mode", ["cut", "unsigned"])
def test_truncated_or_unsigned_response_never_reaches_a_caller(world, mode):
    """
    Guards against passing on part of a response, or one that no server signed (R2).
    """
    world.add("s1", mode)
    world.wait_ready(1)
    assert world.send("/book/1", "POST").status == 502
    world.add("s2")
    world.wait_ready(2)
    assert world.send("/stock/7").data == b"s2 /stock/7"


def test_refusal_by_all_servers_is_reported_as_not_run(world):
    """
    Guards against an unclear outcome when all servers refuse a request, and against a
    missing Retry-After header (R3).
    """
    server = world.add("s1", "shed")
    world.wait_ready(1)
    reply = world.send("/book/1", "POST")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert server.runs == []


def test_server_that_says_it_is_leaving_gets_no_further_request(world):
    """
    Guards against work for a server that leaves while the store does not know (DRAIN).

    The server gets requests again once it has restarted.
    """
    leaving, other = world.add("s1"), world.add("s2")
    world.wait_ready(2)
    leaving.leaving = True
    world.wait_for(lambda: world.send().data.startswith(b"s1"))
    arrivals = len(leaving.arrivals)
    world.store.failure = 503
    for _ in range(30):
        assert world.send().status == 200
        assert world.send("/book/1", "POST").status == 200
    assert len(leaving.arrivals) == arrivals
    world.store.failure = None
    other.mode = "shed"
    assert world.send().status == 503
    leaving.leaving, leaving.born = False, 2000
    world.store.put("servers/s1", leaving.make_entry())
    world.wait_for(lambda: world.send().data.startswith(b"s1"))


def test_server_that_asks_for_a_pause_gets_no_request_until_its_end(world):
    """
    Guards against requests to a server that wants none for a while (BUDGET).

    With all servers asking for a pause, callers are refused at once, with its end.
    """
    paused, other = world.add("s1", "shed"), world.add("s2")
    paused.pause_s = 3.0
    world.wait_ready(2)
    world.wait_for(lambda: world.send().status == 200 and paused.arrivals)
    first = paused.arrivals[0][1]
    while time.monotonic() < first + 2.5:
        assert world.send().status == 200
        eventlet.sleep(0.02)
    assert len(paused.arrivals) == 1
    paused.mode, other.mode, other.pause_s = "ok", "shed", 20.0
    world.wait_for(lambda: world.send().data.startswith(b"s1"))
    assert time.monotonic() >= first + 3.0
    paused.mode, paused.pause_s = "shed", 20.0
    world.wait_for(lambda: world.send().status == 503)
    arrivals = len(paused.arrivals) + len(other.arrivals)
    started = time.monotonic()
    reply = world.send("/book/1", "POST")
    assert reply.status == 503
    assert time.monotonic() - started < 1.0
    assert float(reply.headers["Retry-After"]) > 1.0
    assert len(paused.arrivals) + len(other.arrivals) == arrivals


def test_request_that_crashes_servers_is_held_after_the_third_crash(world):
    """Guards against a repeated request that crashes server after server (BUDGET)."""
    for number in range(8):
        world.add_mortal(f"s{number}", down_s=60.0)
    world.wait_ready(8)
    replies = []
    for _ in range(8):
        replies.append(world.send("/stock/deadly"))
        eventlet.sleep(0.3)
    assert sum(server.crashes for server in world.servers.values()) <= 3
    assert [reply.status for reply in replies][-4:] == [503] * 4
    assert float(replies[-1].headers["Retry-After"]) > 1.0
    assert world.send("/stock/7").status == 200
    assert 'crash_suspects{state="held"} 1' in world.read_metrics()


def test_draining_server_and_new_configuration_take_effect(world):
    """
    Guards against requests to a draining server and against an outdated configuration,
    also when the store refuses calls and loses its history in between (R5, R7).
    """
    world.add("s1")
    world.add("s2")
    world.wait_ready(2)
    world.store.failure = 503
    eventlet.sleep(0.3)
    world.store.put("servers/s1", world.servers["s1"].make_entry("draining"))
    world.store.put("op/config", make_config(9, READ_RULE))
    world.store.compact_history()
    world.store.failure = None
    world.wait_for(lambda: world.send("/book/1", "POST").status == 404)
    world.servers["s1"].runs.clear()
    assert [world.send().status for _ in range(10)] == [200] * 10
    assert world.servers["s1"].runs == []
    world.store.put("op/config", make_config(8, READ_RULE, BOOK_RULE))
    eventlet.sleep(0.5)
    assert world.send("/book/1", "POST").status == 404


def test_changed_settings_take_effect_on_sighup(world, tmp_path):
    """Guards against a reload that reports success but keeps the old settings."""
    world.add("s1")
    world.wait_ready(1)
    path = tmp_path / "entry.json"
    settings = json.loads(path.read_text())
    settings |= {"seeds": ["127.0.0.1:9"], "floor_share": 0.5}
    path.write_text(json.dumps(settings))
    world.process.send_signal(signal.SIGHUP)
    assert world.send("/stock/7").status == 200
    eventlet.sleep(0.3)
    log = world.stop()
    assert "event=reloaded" in log
    assert "seeds=127.0.0.1:9 floor_share=0.5" in log


def test_shutdown_answers_all_accepted_requests(world):
    """Guards against dropping a request that a stopping process has accepted (R6)."""
    world.add("s1", "hang")
    world.wait_ready(1)
    task = eventlet.spawn(world.send, "/book/1", "POST")
    world.wait_for(lambda: world.servers["s1"].runs)
    world.process.send_signal(signal.SIGTERM)
    assert task.wait().status == 504
    assert world.send("/none/").status == 404
    world.wait_for(lambda: world.process.poll() is not None)
    assert world.process.returncode == 0


def test_request_late_in_a_shutdown_is_refused_and_not_cut(world):
    """
    Guards against a request that is accepted late in a shutdown and cut off at the end
    of the grace period (R6).
    """
    server = world.add("s1")
    world.wait_ready(1)
    world.send("/book/1", "POST")
    world.process.send_signal(signal.SIGTERM)
    assert world.send("/book/1", "POST").status == 200
    eventlet.sleep(3.0)
    runs = len(server.runs)
    reply = world.send("/book/1", "POST")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert len(server.runs) == runs


def test_request_whose_body_ends_late_in_a_shutdown_is_not_passed_on(world):
    """
    Guards against work that a stopping process starts when it cannot end it (LOST).

    The refusal is true, so the caller may send the request again elsewhere.
    """
    server = world.add("s1")
    rule = make_rule("book", "/book/", "non_idempotent", timeout_ms=8000)
    world.store.put("op/config", make_config(4, rule))
    world.wait_ready(1)
    world.wait_for(lambda: "config_version 4" in world.read_metrics())
    head = (
        f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: late\r\n"
        "Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nab"
    )
    with eventlet.connect(("127.0.0.1", world.ports["caller"])) as connection:
        connection.sendall(head.encode())
        eventlet.sleep(0.2)
        world.process.send_signal(signal.SIGTERM)
        eventlet.sleep(3.2)
        connection.sendall(b"cd")
        assert connection.recv(65536).startswith(b"HTTP/1.1 503 ")
    assert server.runs == []


def test_request_at_a_server_that_stops_reporting_ends_whole(world):
    """
    Guards against work that is given up or started again elsewhere because its server
    is silent at the store for a while.
    """
    slow = world.add("s1")
    slow.work_s = 1.0
    world.wait_ready(1)
    task = eventlet.spawn(world.send, "/book/1", "POST")
    world.wait_for(lambda: slow.runs)
    other = world.add("s2")
    world.store.delete("servers/s1")
    reply = task.wait()
    assert (reply.status, reply.data) == (200, b"s1 /book/1")
    assert (len(slow.runs), other.runs) == (1, [])


def test_invalid_settings_are_rejected_with_all_findings(tmp_path):
    """Guards against a process that starts with incomplete settings."""
    path = tmp_path / "entry.json"
    path.write_text('{"vm": "", "zone": "a", "store_address": "nowhere"}')
    done = subprocess.run(
        [sys.executable, "-W", "ignore", str(ENTRY_SCRIPT)],
        env={**os.environ, "LAVENDERMAST_BOOT": str(path)},
        capture_output=True,
        timeout=60,
    )
    assert done.returncode == 2
    text = done.stderr.decode()
    assert "store_address" in text
    assert "peer_address" in text


def test_change_after_the_store_was_restored_from_a_copy_takes_effect(world):
    """Guards against changes that look old because revisions were given out again."""
    world.add("s1")
    world.wait_ready(1)
    copy = world.store.copy()
    world.add("s2")
    changed = make_rule("read", "/stock/", "idempotent", timeout_ms=1400)
    for version in (4, 5):
        world.store.put("op/config", make_config(version, changed, BOOK_RULE))
    world.wait_for(lambda: "config_version 5" in world.read_metrics())
    world.store.restore(copy)
    world.store.put("op/config", make_config(5, changed, BOOK_RULE))
    added = make_rule("added", "/added/", "idempotent")
    world.store.put("op/config", make_config(6, changed, BOOK_RULE, added))
    world.wait_for(lambda: world.send("/added/1").status == 200)
    assert "config_version 6" in world.read_metrics()
