"""Whole-program tests of the gateway against stand-ins for the users' platform.

Each case is named after the property that it checks, as seen by callers, endpoints and the platform.
"""

import argparse
import http.client
import json
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import HOST, KEY, SECOND_KEY, Deployment, wait_until  # noqa: E402


def nothing_is_served_before_a_configuration(bin_folder):
    with Deployment(bin_folder).start(1, configured=False) as deployment:
        gateway = deployment.gateways[0]
        wait_until(lambda: gateway.call("/lookup/1").status == 503, "the gateway to refuse")
        assert not gateway.ready()
        assert float(gateway.call("/lookup/1").headers["Retry-After"]) > 0
        deployment.configure()
        wait_until(gateway.ready, "the gateway to be ready")
        assert gateway.call("/lookup/1").status == 200


def requests_run_by_route_and_key(deployment):
    gateway = deployment.gateways[0]
    for path, key, status in (("/nowhere/1", KEY, 404), ("/lookup/1", "wrong", 401), ("/lookup/1", None, 401),
                              ("/lookup/1", KEY, 200), ("/charge/1", SECOND_KEY, 200), ("/chat/1", KEY, 200)):
        answer = gateway.call(path, key=key, headers={"Tenant": "forged", "Hold": "1"})
        assert answer.status == status, (path, key, answer.status)
        if status != 200:
            assert deployment.runs(answer.request) == 0
            continue
        assert answer.headers["Response-Seal"] == "seal-" + answer.request
        tenants = {endpoint.tenants[answer.request] for endpoint in deployment.endpoints if
                   answer.request in endpoint.tenants}
        assert tenants == {"acme" if key == KEY else "bolt"}, tenants
    assert not any(endpoint.seen_keys for endpoint in deployment.endpoints)


def idempotent_requests_are_tried_elsewhere(deployment):
    failing = deployment.endpoints[0]
    failing.fail = 1.0
    answers = [deployment.gateways[0].call("/lookup/1") for _ in range(10)]
    charges = [deployment.gateways[0].call("/charge/1") for _ in range(10)]
    failing.fail = 0.0
    assert all(answer.status == 200 for answer in answers), [answer.status for answer in answers]
    assert all(deployment.runs(answer.request) == 1 for answer in charges)
    # The endpoint's own error response is forwarded with its seal.
    assert all("Response-Seal" in answer.headers for answer in charges)


def broken_streams_go_on_elsewhere(deployment):
    for endpoint in deployment.endpoints[2:4]:
        endpoint.break_after = 3
    answers = [deployment.gateways[0].call("/match/1") for _ in range(12)]
    chats = [deployment.gateways[0].call("/chat/1") for _ in range(12)]
    for endpoint in deployment.endpoints[2:4]:
        endpoint.break_after = None
    for answer in answers:
        assert answer.status is None or answer.body == b"".join(
            b"id: %d\ndata: %s %d\n\n" % (number, answer.request.encode(), number) for number in range(1, 7))
    assert sum(answer.status == 200 for answer in answers) >= 10, [answer.status for answer in answers]
    # An interrupted stream that must not be resumed never appears complete.
    assert all(answer.status is None or answer.body.count(b"id:") == 6 for answer in chats)
    assert all(deployment.runs(answer.request) == 1 for answer in chats)


def leaving_endpoint_gets_no_new_requests(deployment):
    leaving = deployment.endpoints[1]
    address = json.loads(deployment.store.value("servers/" + leaving.name))["address"]
    deployment.store.put("servers/" + leaving.name, leaving.entry(address, state="draining"))
    for gateway in deployment.gateways:
        wait_until(lambda g=gateway: any(event["endpoint"] == leaving.name for event in g.events("endpoint_removed")),
                   "the endpoint to be removed")
    leaving.left_at = time.monotonic()
    for gateway in deployment.gateways:
        statuses = [gateway.call("/charge/1").status for _ in range(5)]
        assert statuses == [200] * 5, (gateway.name, statuses)
    assert leaving.arrivals_after_leave == 0
    deployment.store.put("servers/" + leaving.name, leaving.entry(address))


def endpoint_that_announced_shutdown_gets_no_new_requests(deployment):
    """An endpoint that announces its shutdown in a response gets no new requests, even while listed as ready."""
    # Each gateway prefers the endpoint of its own zone.
    for gateway, leaving in zip(deployment.gateways, deployment.endpoints):
        key = "servers/" + leaving.name
        address = json.loads(deployment.store.value(key))["address"]
        leaving.announces_shutdown = True
        wait_until(lambda: gateway.call("/charge/1").status == 200 and any(
            event["endpoint"] == leaving.name and event["reason"] == "said_to_leave"
            for event in gateway.events("endpoint_removed")), "the endpoint to announce its shutdown")
        leaving.announces_shutdown = False
        leaving.arrivals_after_leave, leaving.left_at = 0, time.monotonic()
        # The announcement takes precedence over the list, also if the endpoint was removed from it in between.
        deployment.store.put(key, leaving.entry(address))
        deployment.store.remove(key)
        deployment.store.put(key, leaving.entry(address))
        statuses = [gateway.call("/charge/1").status for _ in range(20)]
        assert statuses == [200] * 20, (gateway.name, statuses)
        assert leaving.arrivals_after_leave == 0, gateway.name
        leaving.left_at = None
        leaving.started_ms += 1
        deployment.store.put(key, leaving.entry(address))
        runs = sum(leaving.runs.values())
        wait_until(lambda: gateway.call("/charge/1").status == 200 and sum(leaving.runs.values()) > runs,
                   "the restarted endpoint to be used")


def paused_endpoint_gets_no_requests(deployment):
    """A refusal with Retry-After pauses the endpoint for that time, at the entry that received it only."""
    gateway = deployment.gateways[0]
    plain = deployment.endpoints[:2]
    plain[0].retry_after = "3600"
    wait_until(lambda: gateway.call("/charge/1").status == 200 and gateway.events("endpoint_paused"), "a refusal")
    paused_at = time.monotonic()
    plain[0].retry_after, plain[0].left_at, plain[0].arrivals_after_leave = None, paused_at, 0
    assert [gateway.call("/charge/1").status for _ in range(8)] == [200] * 8
    assert plain[0].arrivals_after_leave == 0
    plain[1].retry_after = "1.5"
    # With all endpoints paused, requests are refused at once, with the time until the first pause ends.
    wait_until(lambda: len(gateway.events("endpoint_paused")) == 2 or gateway.call("/charge/1") is None, "a refusal")
    plain[1].retry_after, plain[1].left_at, plain[1].arrivals_after_leave = None, time.monotonic(), 0
    refused = [gateway.call("/charge/1") for _ in range(3)]
    assert [answer.status for answer in refused] == [503] * 3, [answer.status for answer in refused]
    assert all(0 < float(answer.headers["Retry-After"]) <= 1.6 for answer in refused)
    assert not any(deployment.runs(answer.request) for answer in refused)
    assert plain[0].arrivals_after_leave == plain[1].arrivals_after_leave == 0
    plain[1].left_at = None
    wait_until(lambda: gateway.call("/charge/1").status == 200, "the pause to end")
    # A pause does not apply to a later incarnation of the endpoint.
    plain[0].left_at = None
    address = json.loads(deployment.store.value("servers/" + plain[0].name))["address"]
    plain[0].started_ms += 1
    deployment.store.put("servers/" + plain[0].name, plain[0].entry(address))
    runs = sum(plain[0].runs.values())
    wait_until(lambda: gateway.call("/charge/1").status == 200 and sum(plain[0].runs.values()) > runs,
               "the restarted endpoint to be used")


def configuration_takes_effect(deployment):
    deployment.routes[0]["prefix"] = "/moved/"
    deployment.tenants[1]["api_keys"] = []
    version = deployment.configure()
    for gateway in deployment.gateways:
        wait_until(lambda g=gateway: any(event["version"] == version for event in g.events("config_in_force")),
                   "the configuration to be in force")
        assert gateway.call("/moved/1").status == 200
        assert gateway.call("/lookup/1").status == 404
        assert gateway.call("/charge/1", key=SECOND_KEY).status == 401


def bad_settings_keep_the_former(deployment):
    gateway = deployment.gateways[0]
    good = gateway.settings
    gateway.settings = {"node_name": 5}
    gateway.write_settings()
    gateway.signal(signal.SIGHUP)
    wait_until(lambda: gateway.events("settings_rejected"), "the settings to be rejected")
    assert gateway.call("/charge/1").status == 200
    gateway.settings = dict(good, bounds=dict(good["bounds"], retry_slack=60))
    gateway.write_settings()  # reloaded without a signal
    wait_until(lambda: gateway.events("settings_reloaded"), "the settings to be reloaded")


def usage_is_reported_once_and_complete(deployment):
    runs = sum(sum(endpoint.runs.values()) for endpoint in deployment.endpoints)
    begun = {request for endpoint in deployment.endpoints for request in endpoint.runs}

    def reported():
        return sum(sum(counts.values()) for counts in deployment.reports.windows.values())
    try:
        wait_until(lambda: reported() >= len(begun), f"usage of {len(begun)} requests in {runs} runs")
    except AssertionError:
        raise AssertionError(f"usage of {len(begun)} requests, reported {deployment.reports.windows}") from None
    assert reported() == len(begun), (reported(), len(begun))
    assert not deployment.reports.conflicts
    assert all(len(holders) == 1 for holders in deployment.reports.holders.values())


def answers_without_end_are_given_up(deployment):
    """An endless response is neither buffered nor read to its end, and the caller gets the correct status."""
    gateway = deployment.gateways[0]
    plain, model = deployment.endpoints[:2], deployment.endpoints[2:]
    most = gateway.settings["limits"]["memory_mb"] * 1024 * 1024 // 2
    for mode, endpoints, path, status in (
            ("head", plain, "/charge/1", 502), ("heads", plain, "/charge/1", 502), ("no_http", plain, "/charge/1", 502),
            ("chunk_line", plain, "/charge/1", 502), ("trailer", plain, "/charge/1", 502),
            ("body", plain, "/charge/1", 502), ("foreign", plain, "/charge/1", 502),
            ("refusal_body", plain, "/charge/1", 503), ("chunk_line", model, "/chat/1", 502),
            ("event", model, "/chat/1", 502)):
        for endpoint in endpoints:
            endpoint.endless, endpoint.endless_bytes = mode, []
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(gateway.call(path))) for _ in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for endpoint in endpoints:
            endpoint.endless = None
        assert {answer.status for answer in answers} == {status}, (mode, [answer.status for answer in answers])
        expected = 0 if status == 503 else 1
        assert all(deployment.runs(answer.request) == expected for answer in answers), mode
        wait_until(lambda: sum(len(endpoint.endless_bytes) for endpoint in endpoints) >= 6, "the connections to close")
        assert all(sent < most for endpoint in endpoints for sent in endpoint.endless_bytes), mode
        # Failed responses eject endpoints; the next mode needs all of them available.
        wait_until(lambda: all(gateway.call(path).status == 200 for _ in range(4)), "the endpoints to be used again")
    assert gateway.peak_memory() < most, gateway.peak_memory()


def stalled_stream_ends_with_its_time(deployment):
    """A stream that receives only a few bytes at intervals ends at the deadline of its request."""
    model = deployment.endpoints[2:]
    for endpoint in model:
        endpoint.endless, endpoint.endless_pause_s, endpoint.endless_bytes = "event", 0.2, []
    answer = deployment.gateways[0].call("/chat/1", timeout=1.5)
    for endpoint in model:
        endpoint.endless, endpoint.endless_pause_s = None, 0
    assert answer.status in (None, 502, 504), answer.status
    wait_until(lambda: any(endpoint.endless_bytes for endpoint in model), "the stream to be closed")


def callers_without_end_are_closed(deployment):
    """A request line or header without an end is neither buffered nor executed as a request."""
    gateway = deployment.gateways[0]
    head = f"POST /charge/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: endless\r\n"
    for start in ("X-Filler: ", "Transfer-Encoding: chunked\r\n\r\n5;", "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: "):
        sent = 0
        with socket.create_connection((gateway.ip, gateway.ports[0]), timeout=5) as connection:
            try:
                connection.sendall((head + start).encode())
                while sent < 64 * 1024 * 1024:
                    connection.sendall(b"f" * 8192)
                    sent += 8192
            except OSError:
                pass
        assert sent < 16 * 1024 * 1024, (start, sent)
    assert gateway.call("/charge/1").status == 200
    assert deployment.runs("endless") == 0


def metrics_are_served(deployment):
    text = deployment.gateways[0].metrics()
    for name in ("requests_total", "first_event_seconds_bucket", "config_version", "view_age_seconds"):
        assert "wisteriayard_gateway_" + name in text, name


def shutdown_cuts_no_request(deployment):
    gateway = deployment.gateways[1]
    for endpoint in deployment.endpoints:
        endpoint.delay_s = 0.3
    answers = []

    def chat():
        answers.append(gateway.call("/chat/1", timeout=10))
    idle = http.client.HTTPConnection(gateway.ip, gateway.ports[0], timeout=5)
    assert gateway.call_on(idle, "/charge/1").status == 200
    threads = [threading.Thread(target=chat) for _ in range(4)]
    for thread in threads:
        thread.start()
    wait_until(lambda: sum(sum(e.runs.values()) for e in deployment.endpoints) and gateway.alive(), "work to begin")
    time.sleep(0.2)
    gateway.signal(signal.SIGTERM)
    wait_until(lambda: not gateway.ready(), "the gateway to be not ready")
    # A caller on a persistent connection is asked to close it.
    assert gateway.call_on(idle, "/charge/1").headers.get("Connection") == "close"
    for thread in threads:
        thread.join()
    assert [answer.status for answer in answers] == [200] * 4, [answer.status for answer in answers]
    assert gateway.process.wait(30) == 0


def role(gateway):
    changes = gateway.events("view_role_changed")
    return changes[-1]["role"] if changes else None


def gateways_with_role(gateways, name):
    return [gateway for gateway in gateways if role(gateway) == name]


def view_reads(gateway):
    """Store calls that a gateway has made since its start to keep its views current."""
    lines = [line for line in gateway.metrics().splitlines() if line.startswith("wisteriayard_gateway_view_reads_total{")]
    return sum(float(line.split()[-1]) for line in lines)


def wait_in_force(gateways, version):
    for gateway in gateways:
        wait_until(lambda g=gateway: any(event["version"] == version for event in g.events("config_in_force")),
                   f"version {version} to be in force at {gateway.name}")


def changes_reach_all_entries_of_a_region(bin_folder):
    """Followers receive changes from observers, and still receive them if the observers are paused or killed."""
    with Deployment(bin_folder).start(7) as deployment:
        gateways = deployment.gateways
        wait_until(lambda: len(gateways_with_role(gateways, "observer")) == 2
                   and len(gateways_with_role(gateways, "follower")) == 5, "two observers")
        observers, followers = gateways_with_role(gateways, "observer"), gateways_with_role(gateways, "follower")
        before = [view_reads(gateway) for gateway in followers]
        leaving = deployment.endpoints[1]
        address = json.loads(deployment.store.value("servers/" + leaving.name))["address"]
        deployment.store.put("servers/" + leaving.name, leaving.entry(address, state="draining"))
        for gateway in gateways:
            wait_until(lambda g=gateway: any(event["endpoint"] == leaving.name
                                             for event in g.events("endpoint_removed")), "the endpoint to be removed")
        assert [view_reads(gateway) for gateway in followers] == before, "followers read the store for a change"
        wait_in_force(gateways, deployment.configure())
        # A change of a configuration that does not fit into a datagram is relayed as a difference.
        deployment.routes += [{"name": f"many{number}", "prefix": f"/many{number}/", "kind": "idempotent",
                               "service": "plain"} for number in range(400)]
        wait_in_force(gateways, deployment.configure())
        before = [view_reads(gateway) for gateway in followers]
        wait_in_force(gateways, deployment.configure())
        assert [view_reads(gateway) for gateway in followers] == before, "followers read a large configuration"
        for gateway in observers:
            gateway.signal(signal.SIGSTOP)
        wait_in_force(followers, deployment.configure())
        for gateway in observers:
            gateway.signal(signal.SIGCONT)
        wait_in_force(gateways, deployment.configure())
        for gateway in observers:
            gateway.stop()
        wait_in_force(followers, deployment.configure())
        wait_until(lambda: len(gateways_with_role(followers, "observer")) >= 2, "other observers")
        wait_in_force(followers, deployment.configure())
        assert all(gateway.call("/charge/1").status == 200 for gateway in followers)
    print("passed: changes_reach_all_entries_of_a_region", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    bin_folder = parser.parse_args().bin
    nothing_is_served_before_a_configuration(bin_folder)
    changes_reach_all_entries_of_a_region(bin_folder)
    with Deployment(bin_folder).start(2) as deployment:
        for case in (requests_run_by_route_and_key, idempotent_requests_are_tried_elsewhere,
                     broken_streams_go_on_elsewhere, answers_without_end_are_given_up,
                     stalled_stream_ends_with_its_time, callers_without_end_are_closed,
                     leaving_endpoint_gets_no_new_requests, endpoint_that_announced_shutdown_gets_no_new_requests,
                     paused_endpoint_gets_no_requests, configuration_takes_effect,
                     bad_settings_keep_the_former, metrics_are_served, usage_is_reported_once_and_complete,
                     shutdown_cuts_no_request):
            case(deployment)
            print("passed:", case.__name__, flush=True)


main()
