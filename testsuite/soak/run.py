"""Randomized fault soak of gateway processes under load over persistent connections.

Injects overlapping faults: links to the store and to endpoints are delayed, reset, blocked in one direction or in
both; gateways are terminated, paused, killed and restarted; the store refuses calls, loses responses or comes back
from an older copy; endpoints fail, interrupt streams, drain, name rate limits and return; engines crash and send
streams without framing; some requests crash each endpoint that runs them and come again; endpoints spoil heads of
responses; gateways are stopped beside a silent store; the configuration changes; zones are evacuated; endpoints
become cold; the endpoints of one region leave while callers use routes that are restricted to regions.
Afterwards a last change must be in force at every entry, and the responses, executions and reports that callers,
endpoints and the platform recorded are checked by find_violations(). A seed determines the series of faults.
"""

import argparse
import collections
import http.client
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import Deployment, wait_until  # noqa: E402
from platform_standins import Endpoint, RateLimit  # noqa: E402
from zone_checks import ARRIVAL_S, EVACUATION_S, PREFIX  # noqa: E402

REFUSALS = (408, 421, 429, 503)
SETTLE_S = 6
# Time after which a configuration must be in force, `apply_ms` of the platform's first sites.
APPLY_S = 2.5
# Seed 20 once showed overload refusals that persisted at idle endpoints; seeds 1 and 2 inject most kinds of faults.
DEFAULT_SEEDS = [1, 2, 20]
ENDPOINT_EVENTS = 6
# Restorations per step, and steps that the oldest copy may be back.
RESTORATION_RATE = 0.15
COPIES = 8
# Share of the requests whose body crashes endpoints, while faults are injected.
DEADLY_RATE = 0.01
DEADLY = "deadly"
# Share of the steps in which a gateway is stopped beside a silent store, and in which an endpoint begins to spoil heads.
SILENT_STOP_RATE, SPOILT_RATE = 0.15, 0.2
SPOILT_LINES = (b"HTTP/1.1 099 OK", b"HTTP/1.1 000 OK", b"HTTP/1.1 999 OK", b"HTTP/1.1 600 OK", b"HTTP/9.1 200 OK", b"\0")
# Zone of the further region. Its endpoints are subject only to evacuations and to the leaving of the region.
FAR_ZONE = "c"
ZONES = {"a": "r", "b": "r", FAR_ZONE: "s"}
# Routes that are restricted to one region each, on the plain service.
RESTRICTED = {"/near/": "r", "/far/": "s"}
RESTRICTED_PAUSE_S = 0.05
# Shares of the steps in which a zone is evacuated, an endpoint becomes cold, and the endpoints of a region leave.
EVACUATION_RATE, COLD_RATE, REGION_LEAVE_RATE = 0.15, 0.2, 0.2
# Requests that all entries together may send to a cold endpoint in a second.
COLD_PER_SECOND, COLD_EXCESS, COLD_SLACK = 2, 1.5, 3
COLD_BOUND = COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK
# Time for an endpoint's cold time to reach all entries that are not disturbed.
COLD_NOTICE_S = 3
PATHS = (("/lookup/", "idempotent"), ("/charge/", "once"), ("/chat/", "once"), ("/match/", "resumable"))


class Callers:
    """Threads that send requests over persistent connections until a gateway closes them."""

    def __init__(self, deployment, count, seed):
        self.deployment, self.stopping = deployment, threading.Event()
        self.answers = []
        self.deadly_rate = DEADLY_RATE
        self.threads = [threading.Thread(target=self._run, args=(random.Random(seed * 1000 + number),))
                        for number in range(count)]
        for thread in self.threads:
            thread.start()

    def _run(self, generator):
        connections = {}
        while not self.stopping.is_set():
            gateway = generator.choice(self.deployment.gateways)
            path, kind = generator.choice(PATHS)
            connection = connections.get(gateway.name)
            if connection is None:
                connection = http.client.HTTPConnection(gateway.ip, gateway.ports[0], timeout=4)
            body = os.urandom(generator.choice((1, 100, 40000))).hex()
            if generator.random() < self.deadly_rate:
                body = DEADLY
            answer = gateway.call_on(connection, path + "1", body=body, timeout=4,
                                     headers={"X-Sent": repr(time.monotonic())})
            self.answers.append((kind, answer))
            closed = answer.status is None or answer.headers.get("Connection") == "close"
            connections[gateway.name] = None if closed else connection
            time.sleep(generator.uniform(0, 0.05))

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


class RestrictedCallers:
    """Threads that send requests of the restricted routes to all entries, one for each route."""

    def __init__(self, deployment, seed):
        self.deployment, self.stopping = deployment, threading.Event()
        # Region of each request.
        self.regions = {}
        self.served = collections.Counter()
        self.threads = [threading.Thread(target=self._run, args=(path, random.Random(seed * 1000 + 500 + number)))
                        for number, path in enumerate(RESTRICTED)]
        for thread in self.threads:
            thread.start()

    def _run(self, path, generator):
        while not self.stopping.wait(RESTRICTED_PAUSE_S):
            request = "%016x" % generator.getrandbits(64)
            self.regions[request] = RESTRICTED[path]
            answer = generator.choice(self.deployment.gateways).call(
                path + "1", timeout=2, request=request, headers={"X-Sent": repr(time.monotonic())})
            self.served[path] += answer.status == 200

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def violations(self):
        """Requests that reached an endpoint of a region that their route excludes, whatever was disturbed."""
        return [f"{request}, restricted to region {region}, reached {endpoint.name} in zone {endpoint.zone}"
                for endpoint in self.deployment.endpoints for request, region in list(self.regions.items())
                if ZONES[endpoint.zone] != region and endpoint.runs[request]]


class Faults:
    """Injects random faults. Each is undone after a random time, so several may be active at once."""

    def __init__(self, deployment, seed):
        self.deployment, self.random = deployment, random.Random(seed)
        # Drawn apart, so that the series of the other faults of a seed stays the same.
        self.engine_random = random.Random(seed + 1_000_000)
        self.store_random = random.Random(seed + 2_000_000)
        self.stop_random = random.Random(seed + 3_000_000)
        self.evacuation_random = random.Random(seed + 4_000_000)
        self.cold_random = random.Random(seed + 5_000_000)
        self.region_random = random.Random(seed + 6_000_000)
        # Endpoints and links that the other faults concern; those of the further region would change their series.
        self.endpoints = [each for each in deployment.endpoints if each.zone != FAR_ZONE]
        self.links = list(deployment.links)
        # Evacuated zones with the times of acknowledgement and withdrawal.
        self.evacuations = []
        # Processes that were stopped in order.
        self.stopped = []
        # Copies of the store, one a step.
        self.copies = collections.deque(maxlen=COPIES)
        self.pending_repairs = []
        self.log = []
        # Entries that were paused, and times of pauses and of faults of links: a burst of delayed requests may follow.
        self.disturbances = []
        # Periods in which the store was unreachable or lacked what had been written.
        self.store_disturbances = []

    def step(self):
        fault = self.random.choice((self.link, self.link, self.kill, self.pause, self.term, self.store, self.endpoint,
                                    self.leave, self.limit, self.configure))
        end = fault()
        if end:
            self.pending_repairs.append((time.monotonic() + self.random.uniform(0.3, 3), end))
        self.heal(time.monotonic())

    def engine_step(self):
        engine = self.engine_random.choice([each for each in self.endpoints if each.events])
        fault = self.engine_random.choice(("none", "none", "crash", "unframed"))
        if fault == "crash":
            engine.crash(self.engine_random.uniform(0.3, 1.5))
        elif fault == "unframed":
            engine.unframed = True
            self.pending_repairs.append((time.monotonic() + self.engine_random.uniform(0.3, 3),
                                         lambda: setattr(engine, "unframed", False)))
        self.record("engine", engine.name, fault)

    def store_step(self):
        """Restores the store from an older copy. The operator and the endpoints write again after a while."""
        store = self.deployment.store
        self.copies.append(store.copy())
        if self.store_random.random() > RESTORATION_RATE:
            return
        copy = self.store_random.choice(self.copies)
        self.copies.clear()
        lost = {key: value for key, value in ((key, store.value(key)) for key in list(store.items))
                if key.startswith(("op/", "servers/"))}
        store.restore(copy)
        restored = {key: store.value(key) for key in lost}
        self.record("restore", store.revision)

        def write_again():
            # An evacuation that was withdrawn meanwhile stays withdrawn.
            for key, value in lost.items():
                # A value that has been written since is newer.
                if store.value(key) == restored[key] != value and (not key.startswith(PREFIX) or self.evacuated()):
                    store.put(key, value)
            # The copy may hold evacuations that were withdrawn after it was made.
            for key in [key for key in list(store.items) if key.startswith(PREFIX)]:
                if not self.evacuated() or key != PREFIX + self.evacuations[-1][0]:
                    store.remove(key)
        self.pending_repairs.append((time.monotonic() + self.store_random.uniform(0.1, 1.5),
                                     self.disturb(None, write_again, self.store_disturbances)))

    def stop_step(self):
        if self.stop_random.random() < SPOILT_RATE:
            self.spoil(self.stop_random.choice(self.endpoints), self.stop_random.choice(SPOILT_LINES))
        store = self.deployment.store
        if store.silent or self.stop_random.random() > SILENT_STOP_RATE:
            return
        store.silent = True
        gateway = self.stop_random.choice(self.deployment.gateways)
        self.record("silent stop", gateway.name)
        self.repair_later(self.stop_random.uniform(0.5, 4.5),
                          self.disturb(None, lambda: setattr(store, "silent", False), self.store_disturbances))
        self.repair_later(self.stop_random.uniform(0.5, 1), self.terminate(gateway))

    def spoil(self, endpoint, status_line):
        endpoint.raw_response = (status_line + b"\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
                                 b"Content-Length: 2\r\n\r\nok")
        self.record("spoil", endpoint.name, status_line)
        self.repair_later(self.stop_random.uniform(0.3, 1.5), lambda: setattr(endpoint, "raw_response", None))

    def evacuation_step(self):
        """Evacuates a zone, one at a time: for a moment, or until withdraw_evacuation() after all other faults."""
        zone, is_short = self.evacuation_random.choice(list(ZONES)), self.evacuation_random.random() < 0.5
        if self.evacuation_random.random() > EVACUATION_RATE or self.evacuated():
            return
        self.deployment.store.put(PREFIX + zone, "")
        self.evacuations.append([zone, time.monotonic(), float("inf")])
        self.record("evacuate", zone, is_short)
        if is_short:
            self.repair_later(self.evacuation_random.uniform(0.5, 2), self.withdraw_evacuation)

    def evacuated(self):
        return bool(self.evacuations) and self.evacuations[-1][2] == float("inf")

    def withdraw_evacuation(self):
        if self.evacuated():
            self.evacuations[-1][2] = time.monotonic()
            self.deployment.store.remove(PREFIX + self.evacuations[-1][0])

    def cold_step(self):
        endpoint = self.cold_random.choice([each for each in self.endpoints if not each.events])
        if self.cold_random.random() > COLD_RATE or endpoint.cold.left_ms():
            return
        endpoint.cold.begin(self.cold_random.uniform(COLD_NOTICE_S + 2, COLD_NOTICE_S + 5))
        # An entry of the list may be replaced by any other fault, so responses state the time too.
        endpoint.cold.in_responses = True
        key = "servers/" + endpoint.name
        known = self.deployment.store.value(key)
        if known:
            known = json.loads(known)
            self.deployment.store.put(key, endpoint.entry(known["address"], known["state"]))
        self.record("cold", endpoint.name)

    def region_step(self):
        if self.region_random.random() > REGION_LEAVE_RATE:
            return
        far = [each for each in self.deployment.endpoints if each.zone == FAR_ZONE]
        for endpoint in far:
            self.deployment.store.put("servers/" + endpoint.name, endpoint.entry(state="draining"))
        self.record("region leaves", ZONES[FAR_ZONE])

        def put_back():
            for endpoint in far:
                self.deployment.store.put("servers/" + endpoint.name, endpoint.entry())
        self.repair_later(self.region_random.uniform(0.3, 2), put_back)

    def repair_later(self, delay_s, repair):
        self.pending_repairs.append((time.monotonic() + delay_s, repair))

    def heal(self, until):
        due = [entry for entry in self.pending_repairs if entry[0] <= until]
        self.pending_repairs = [entry for entry in self.pending_repairs if entry[0] > until]
        for _, end in due:
            end()

    def record(self, *what):
        self.log.append((round(time.monotonic(), 2), *what))

    def link(self):
        link = self.random.choice(self.links)
        link.mode = self.random.choice(("delay", "reset", "silent", "one_way"))
        self.record("link", link.address, link.mode)
        return self.disturb(None, lambda: setattr(link, "mode", "pass"))

    def disturb(self, entry, end, disturbances=None):
        """Records a disturbance of an entry, or of all if it is None, from now until the returned function is called."""
        disturbance = [entry, time.monotonic(), float("inf")]
        (self.disturbances if disturbances is None else disturbances).append(disturbance)

        def end_disturbance():
            end()
            disturbance[2] = time.monotonic()
        return end_disturbance

    def excuses(self, entry, at):
        """Whether a request of an entry may exceed a rate limit. A restarted entry counts as another one anyway."""
        return any(name in (None, entry) and since <= at < until + RateLimit.NOTICE_S
                   for name, since, until in self.disturbances)

    def was_disturbed(self, entry, since, until):
        """Whether an entry or the store was disturbed at any time of a period."""
        return any(name in (None, entry) and began <= until and since < ended
                   for name, began, ended in self.disturbances + self.store_disturbances)

    def gateway(self):
        return self.random.choice(self.deployment.gateways)

    def kill(self):
        gateway = self.gateway()
        self.record("kill", gateway.name)
        gateway.stop()
        return lambda: None if gateway.alive() else gateway.start()

    def pause(self):
        gateway = self.gateway()
        self.record("pause", gateway.name)
        gateway.signal(signal.SIGSTOP)
        return self.disturb(gateway.entry(), lambda: gateway.signal(signal.SIGCONT))

    def term(self):
        gateway = self.gateway()
        self.record("term", gateway.name)
        return self.terminate(gateway)

    def terminate(self, gateway):
        """Stops a gateway in order, and returns a function that starts it again."""
        if gateway.alive() and gateway.handles(signal.SIGTERM):
            self.stopped.append((gateway.name, gateway.process))
        gateway.signal(signal.SIGCONT)
        gateway.signal(signal.SIGTERM)

        process = gateway.process

        def restart():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                self.pending_repairs.append((time.monotonic() + 0.5, restart))
            elif not gateway.alive():
                gateway.start()
        return restart

    def store(self):
        store = self.deployment.store
        if self.random.random() < 0.5:
            store.down = True
        else:
            store.response_loss_rate = 0.3
        self.record("store", store.down, store.response_loss_rate)

        def end():
            store.down, store.response_loss_rate = False, 0.0
        return self.disturb(None, end, self.store_disturbances)

    def endpoint(self):
        endpoint = self.random.choice(self.endpoints)
        if endpoint.events:
            endpoint.break_after = self.random.randint(1, ENDPOINT_EVENTS)
        else:
            endpoint.fail = 0.5
        self.record("endpoint", endpoint.name)

        def end():
            endpoint.break_after, endpoint.fail = None, 0.0
        return end

    def leave(self):
        endpoint = self.random.choice(self.endpoints)
        key = "servers/" + endpoint.name
        if self.deployment.store.value(key) is None:
            return None
        address = json.loads(self.deployment.store.value(key))["address"]
        self.deployment.store.put(key, endpoint.entry(address, state="draining"))
        self.record("leave", endpoint.name)
        return lambda: self.deployment.store.put(key, endpoint.entry(address))

    def limit(self):
        endpoint = self.random.choice(self.endpoints)
        endpoint.rate_limit.set(self.random.choice((0.5, 2, 5.5)))
        self.record("limit", endpoint.name, endpoint.rate_limit.rate)
        return lambda: endpoint.rate_limit.set(None)

    def configure(self):
        self.record("configure", self.deployment.configure())
        return None


def evacuation_violations(deployment, faults):
    """Requests that reached an evacuated zone after the time allowed, from entries that weren't disturbed."""
    found = []
    for zone, acknowledged, withdrawn in faults.evacuations:
        since = acknowledged + EVACUATION_S + ARRIVAL_S
        for endpoint in (each for each in deployment.endpoints if each.zone == zone):
            found += [f"{entry} sent a request to {endpoint.name} {at - acknowledged:.2f} s after its zone was evacuated"
                      for at, entry, _ in endpoint.rate_limit.arrivals
                      if since <= at < withdrawn and not faults.was_disturbed(entry, at - EVACUATION_S - ARRIVAL_S, at)]
    return found


def cold_violations(deployment, faults):
    """Cold endpoints that got more requests in a second than all entries may send that weren't disturbed."""
    found = []
    for endpoint in deployment.endpoints:
        most = endpoint.cold.most_in_second(
            COLD_NOTICE_S, lambda entry, at: faults.was_disturbed(entry, at - COLD_NOTICE_S, at))
        if most > COLD_BOUND:
            found.append(f"{endpoint.name} got {most} requests in a second while cold, allowed {COLD_BOUND}")
    return found


def find_violations(deployment, answers, faults, restricted):
    """Returns a description of each violated guarantee."""
    violations = [f"{endpoint.name}: {found}" for endpoint in deployment.endpoints
                  for found in endpoint.rate_limit.violations(faults.excuses)]
    violations += evacuation_violations(deployment, faults) + cold_violations(deployment, faults)
    violations += restricted.violations()
    # A stopped process may also be killed by a later fault.
    violations += [f"{name} ended with status {process.poll()} after it was stopped" for name, process in faults.stopped
                   if process.poll() not in (0, -signal.SIGKILL)]
    violations += [f"{answer.request} got bytes that are no response: {answer.malformed!r}, {answer.status}"
                   for _, answer in answers
                   if answer.malformed or answer.status is not None and not 200 <= answer.status <= 599]
    for kind, answer in answers:
        runs = deployment.runs(answer.request)
        if kind == "once" and runs > 1:
            violations.append(f"{answer.request} was executed {runs} times")
        if answer.status in REFUSALS and runs > 0:
            violations.append(f"{answer.request} was answered {answer.status} although it was executed")
        if answer.status == 200 and answer.headers.get("Response-Seal") != "seal-" + answer.request:
            violations.append(f"{answer.request} got the response to another request")
        if answer.status == 200 and answer.headers.get("Content-Type") == "text/event-stream":
            whole = b"".join(b"id: %d\ndata: %s %d\n\n" % (number, answer.request.encode(), number)
                             for number in range(1, ENDPOINT_EVENTS + 1))
            if answer.body != whole:
                violations.append(f"{answer.request} got {answer.body[:80]!r}")
        if answer.status in (400, 401, 404):
            violations.append(f"{answer.request} was denied with {answer.status}")
    if any(endpoint.seen_keys for endpoint in deployment.endpoints):
        violations.append("an endpoint received a caller's API key")
    reports = deployment.reports
    violations += [f"window {window} was reported as {first} and {second}"
                   for window, first, second in reports.conflicts]
    violations += [f"fence {fence} was used by {holders}"
                   for fence, holders in reports.holders.items() if len(holders) > 1]
    return violations


def configuration_violations(deployment):
    """Adds a route, and returns the entries that don't serve it APPLY_S later."""
    deployment.routes.append({"name": "added", "prefix": "/added/", "kind": "idempotent", "service": "plain"})
    version = deployment.configure()
    time.sleep(APPLY_S)
    statuses = {gateway.name: gateway.call("/added/1").status for gateway in deployment.gateways}
    return [f"{name} answers {status} on a route that version {version} added"
            for name, status in statuses.items() if status in (401, 404)]


def add_far_region(deployment):
    """Adds endpoints of the further region, without links, so that the faults of a seed stay the same."""
    far = [Endpoint("p-far", "plain", FAR_ZONE), Endpoint("m-far", "model", FAR_ZONE, events=ENDPOINT_EVENTS)]
    deployment.endpoints += far
    for endpoint in far:
        deployment.store.put("servers/" + endpoint.name, endpoint.entry())


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder, linked=True, zones=ZONES)
    deployment.bounds = {"cold_excess": COLD_EXCESS, "cold_slack": COLD_SLACK}
    deployment.plain_rules = {"cold_per_s": COLD_PER_SECOND}
    deployment.routes += [{"name": path.strip("/"), "prefix": path, "kind": "idempotent", "service": "plain",
                           "max_attempts": 2, "allowed_regions": [region]} for path, region in RESTRICTED.items()]
    return deployment


def run_seed(bin_folder, seed, seconds, gateways):
    with make_deployment(bin_folder).start(gateways) as deployment:
        for endpoint, link in zip(deployment.endpoints, deployment.links):
            endpoint.crashing_bodies = {DEADLY.encode()}
            endpoint.crashed = lambda _, each=link: each.refuse()
            endpoint.restarted = lambda _, each=link: each.listen()
        faults = Faults(deployment, seed)
        add_far_region(deployment)
        callers, restricted = Callers(deployment, 3 * gateways, seed), RestrictedCallers(deployment, seed)
        try:
            ends = time.monotonic() + seconds
            while time.monotonic() < ends:
                faults.step()
                faults.engine_step()
                faults.store_step()
                faults.stop_step()
                faults.evacuation_step()
                faults.cold_step()
                faults.region_step()
                time.sleep(faults.random.uniform(0.1, 0.8))
            callers.deadly_rate = 0
            while faults.pending_repairs:
                faults.heal(time.monotonic() + 60)
                time.sleep(0.1)
            for gateway in deployment.gateways:
                wait_until(gateway.ready, f"{gateway.name} to recover, seed {seed}")
            # An evacuation that lasts must hold once nothing has been disturbed for the time allowed.
            if faults.evacuated():
                time.sleep(EVACUATION_S + ARRIVAL_S + 1)
                faults.withdraw_evacuation()
            time.sleep(max(endpoint.cold.left_ms() for endpoint in deployment.endpoints) / 1000)
            time.sleep(SETTLE_S)
            violations = configuration_violations(deployment)
            served_from = len(callers.answers)
            time.sleep(2)
        finally:
            callers.stop()
            restricted.stop()
        violations += find_violations(deployment, callers.answers, faults, restricted)
        violations += [f"no request of {path} was served" for path in RESTRICTED if not restricted.served[path]]
        late = callers.answers[served_from:]
        served = sum(answer.status == 200 for _, answer in late)
        if served < 0.9 * len(late):
            violations.append(f"after all faults {served} of {len(late)} requests were served")
        statuses = collections.Counter(answer.status for _, answer in callers.answers)
        restorations = sum(what == "restore" for _, what, *_ in faults.log)
        crashes = sum(len(endpoint.crashes) for endpoint in deployment.endpoints)
        print(f"seed {seed}: {len(callers.answers)} requests, {len(faults.log)} faults, {restorations} restorations, "
              f"{crashes} crashes, {len(faults.evacuations)} evacuations, "
              f"{sum(len(endpoint.cold.spells) for endpoint in deployment.endpoints)} cold endpoints, "
              f"{dict(restricted.served)} of restricted routes, {dict(statuses)}", flush=True)
        if violations:
            print("\n".join(violations[:20]), *faults.log, sep="\n")
        assert not violations, f"seed {seed}: {len(violations)} violated guarantees"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seeds", type=int, nargs="+", default=DEFAULT_SEEDS)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--gateways", type=int, default=3)
    options = parser.parse_args()
    failed = []
    for seed in options.seeds:
        try:
            run_seed(options.bin, seed, options.seconds, options.gateways)
        except AssertionError as error:
            print("failed:", error, flush=True)
            failed.append(seed)
    print("failed seeds:", failed)
    sys.exit(1 if failed else 0)


main()
