"""Helpers of the cases about evacuated zones and allowed regions: load, and checks at the endpoints and in the logs."""

import json
import threading
import time

from platform_deployment import Deployment, wait_until
from platform_standins import Endpoint

# More than the number of entries up to which each one watches the store itself, so that most follow observers.
GATEWAYS = 6
# Time after the store's acknowledgement from which no request may arrive in an evacuated zone.
EVACUATION_S = 5
# Time for a request that was sent before its entry learned of an evacuation to arrive.
ARRIVAL_S = 0.5
CALL_PAUSE_S = 0.03
STREAM_TIMEOUT_MS = 20_000
PREFIX = "op/evacuate/"


class Load:
    """Callers that send lookups and streams to all entries until they are stopped."""

    PATHS = ("/lookup/1", "/charge/1", "/match/1")

    def __init__(self, deployment):
        self.answers, self.stopping = [], threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(gateway, path), daemon=True)
                        for gateway in deployment.gateways for path in self.PATHS]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, gateway, path):
        while not self.stopping.wait(CALL_PAUSE_S):
            if gateway.alive() and gateway.ready():
                self.answers.append((time.monotonic(), gateway.call(path)))

    def statuses(self, since):
        return {answer.status for at, answer in self.answers if at >= since}


def in_zone(deployment, zone):
    return [endpoint for endpoint in deployment.endpoints if endpoint.zone == zone]


def arrivals(deployment, zone, since=0.0, entry=None):
    """Number of requests that arrived at the endpoints of a zone, from one entry or from all."""
    return sum(at >= since and entry in (None, sender) for endpoint in in_zone(deployment, zone)
               for at, sender, _ in list(endpoint.rate_limit.arrivals))


def zones_of(gateway):
    """The evacuated zones, according to the log of this start of the gateway."""
    zones = set()
    with open(gateway.log) as log:
        lines = [json.loads(line) for line in log if line.startswith("{") and line.endswith("}\n")]
    for line in lines:
        if line["name"] == "log_started":
            zones = set()
        elif line["name"] == "zone_evacuated":
            zones.add(line["fields"]["zone"])
        elif line["name"] == "zone_evacuation_withdrawn":
            zones.discard(line["fields"]["zone"])
    return zones


def wait_for_zones(deployment, zones, timeout=EVACUATION_S):
    for gateway in deployment.gateways:
        if gateway.alive():
            wait_until(lambda each=gateway: zones_of(each) == set(zones), f"{gateway.name} to learn of {zones}",
                       timeout)
    time.sleep(ARRIVAL_S)


def wait_for_observers(deployment):
    """Waits until the entries have divided the watches of the store among them, so that most follow observers."""
    def has_role(gateway):
        return any(event["prefix"] == "op/" and event["role"] != "alone"
                   for event in gateway.events("view_role_changed"))
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: has_role(each), f"{gateway.name} to follow an observer or to be one")


def sources(deployment, zone):
    """How the entries learned of the evacuation of a zone."""
    return {event["source"] for gateway in deployment.gateways for event in gateway.events("zone_evacuated")
            if event["zone"] == zone}


def evacuate(deployment, zone, value=""):
    """Requests an evacuation and waits until all entries know of it. @return a time from which it holds"""
    others = {key[len(PREFIX):] for key in list(deployment.store.items) if key.startswith(PREFIX)} - {""}
    deployment.store.put(PREFIX + zone, value)
    wait_for_zones(deployment, others | {zone})
    return time.monotonic()


def code(answer):
    return json.loads(answer.body)["error"]["code"]


def make_zone_deployment(bin_folder, zones=None):
    """Makes a deployment with time for streams that wait for a change. `zones` holds the region of each zone."""
    deployment = Deployment(bin_folder, zones=zones)
    next(route for route in deployment.routes if route["name"] == "match")["timeout_ms"] = STREAM_TIMEOUT_MS
    return deployment


def add_zone(deployment, zone):
    """Adds an endpoint of each service in a zone of the settings, and waits until all entries know them."""
    endpoints = [Endpoint("plain-" + zone, "plain", zone), Endpoint("model-" + zone, "model", zone, events=6)]
    deployment.endpoints += endpoints
    for endpoint in endpoints:
        deployment.store.put("servers/" + endpoint.name, endpoint.entry())
    for endpoint in endpoints:
        for gateway in deployment.gateways:
            wait_until(lambda each=gateway, name=endpoint.name: name in [
                event["endpoint"] for event in each.events("endpoint_added")], f"{endpoint.name} at {gateway.name}")


def broken_stream(deployment, change):
    """Starts a stream in zone b that breaks after a change has taken effect. @return the answer, and the time of the
    change
    """
    model = next(endpoint for endpoint in in_zone(deployment, "b") if endpoint.service == "model")
    model.delay_s, model.break_after = 1.0, 5
    answers = []
    gateway = deployment.gateways[0]
    caller = threading.Thread(target=lambda: answers.append(gateway.call("/match/1", timeout=20)))
    before = sum(model.runs.values())
    caller.start()
    wait_until(lambda: sum(model.runs.values()) > before, "the stream to begin in zone b")
    since = change()
    assert caller.is_alive(), "the stream ended before the change took effect"
    caller.join()
    return answers[0], since


def events_of(answer):
    return [int(line[4:]) for line in answer.body.decode().splitlines() if line.startswith("id: ")]


def in_force(deployment):
    """Writes the configuration and waits until all entries have applied it."""
    version = deployment.configure()
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: version in [event["version"] for event in each.events("config_in_force")],
                   f"version {version} at {gateway.name}")
    time.sleep(ARRIVAL_S)
    return time.monotonic()
