#!/usr/bin/env python3
"""Evacuation of zones: each case runs several gateways against stand-ins under load, and checks at the endpoints which
requests arrive in evacuated zones.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import run_cases, wait_until  # noqa: E402
from zone_checks import (GATEWAYS, PREFIX, Load, add_zone, arrivals, broken_stream, code, evacuate, events_of,  # noqa: E402
                         in_force, make_zone_deployment, sources, wait_for_observers, wait_for_zones, zones_of)

# Time for which a zone stays evacuated that a restored store lacks.
RESTORATION_GRACE_S = 6


def evacuation_and_withdrawal(deployment):
    """Nothing is sent to an evacuated zone, neither by an entry that starts meanwhile; then the zone is used again."""
    wait_for_observers(deployment)
    started = deployment.gateways[-1]
    with Load(deployment) as load:
        wait_until(lambda: all(endpoint.runs for endpoint in deployment.endpoints), "requests at all endpoints")
        started.stop()
        since = evacuate(deployment, "b")
        assert "observer" in sources(deployment, "b"), sources(deployment, "b")
        started.start()
        wait_until(started.ready, "the started entry to be ready")
        wait_until(lambda: arrivals(deployment, "a", entry=started.entry()) > 10, "requests of the started entry")
        time.sleep(2)
        assert arrivals(deployment, "b", since) == 0, "requests arrived in the evacuated zone"
        assert arrivals(deployment, "b", entry=started.entry()) == 0, "the started entry sent requests there"
        assert load.statuses(since) == {200}, load.statuses(since)
        assert zones_of(started) == {"b"}
        deployment.store.remove(PREFIX + "b")
        wait_until(lambda: all(arrivals(deployment, "b", since, gateway.entry()) > 0
                               for gateway in deployment.gateways), "requests of all entries in the zone")


def odd_keys(deployment):
    """Unknown zones, keys without a zone and any value neither disturb the configuration nor another evacuation."""
    wait_for_observers(deployment)
    store = deployment.store
    store.put("op/evacuate", "x")
    store.put(PREFIX, "x")
    store.put("op/other", "{")
    store.put(PREFIX + "nowhere", "")
    store.put(PREFIX + "a/b", "\0\n{")
    # A large value is relayed too.
    since = evacuate(deployment, "b", "x" * 300_000)
    assert "observer" in sources(deployment, "b"), sources(deployment, "b")
    deployment.routes[0]["name"] = "renamed"
    in_force(deployment)
    for gateway in deployment.gateways:
        known = {event["zone"]: event["known"] for event in gateway.events("zone_evacuated")}
        assert known == {"nowhere": False, "a/b": False, "b": True}, known
        assert not gateway.events("config_rejected"), gateway.events("config_rejected")
    with Load(deployment) as load:
        time.sleep(2)
    assert arrivals(deployment, "b", since) == 0 and arrivals(deployment, "a", since) > 0
    assert load.statuses(since) == {200}, load.statuses(since)
    store.remove(PREFIX + "nowhere")
    wait_for_zones(deployment, {"a/b", "b"})


def all_zones(deployment):
    """The rule has no exception for the last zone: requests are refused truthfully until one zone is back."""
    gateway = deployment.gateways[0]
    evacuate(deployment, "a")
    since = evacuate(deployment, "b")
    for path in Load.PATHS:
        answer = gateway.call(path)
        assert (answer.status, code(answer)) == (503, "evacuated"), (answer.status, answer.body)
        assert float(answer.headers["Retry-After"]) > 0, answer.headers
        assert deployment.runs(answer.request) == 0
    assert 'refusals_total{reason="evacuated"} 3' in gateway.metrics()
    assert arrivals(deployment, "a", since) + arrivals(deployment, "b", since) == 0
    deployment.store.remove(PREFIX + "a")
    wait_for_zones(deployment, {"b"})
    assert gateway.call("/lookup/1").status == 200
    assert arrivals(deployment, "b", since) == 0


def two_zones_at_once(deployment):
    """Two zones are evacuated at the same time: only the third one is used, and each returns by its own withdrawal."""
    add_zone(deployment, "c")
    wait_for_observers(deployment)
    with Load(deployment) as load:
        for zone in "ab":
            deployment.store.put(PREFIX + zone, "")
        wait_for_zones(deployment, {"a", "b"})
        since = time.monotonic()
        time.sleep(2)
        assert arrivals(deployment, "a", since) + arrivals(deployment, "b", since) == 0, "requests in evacuated zones"
        assert load.statuses(since) == {200}, load.statuses(since)
        deployment.store.remove(PREFIX + "a")
        wait_for_zones(deployment, {"b"})
        wait_until(lambda: arrivals(deployment, "a", since) > 0, "requests in the zone that is back")
        time.sleep(1)
        assert arrivals(deployment, "b", since) == 0, "requests in the zone that is still evacuated"
        assert load.statuses(since) == {200}, load.statuses(since)


def streams_resume_elsewhere(deployment):
    """A running stream goes on during an evacuation, and is resumed in another zone when it breaks."""
    evacuate(deployment, "a")

    def swap():
        deployment.store.remove(PREFIX + "a")
        deployment.store.put(PREFIX + "b", "")
        wait_for_zones(deployment, {"b"}, timeout=3)
        return time.monotonic()
    answer, since = broken_stream(deployment, swap)
    assert (answer.status, events_of(answer)) == (200, [1, 2, 3, 4, 5, 6]), (answer.status, answer.body)
    assert arrivals(deployment, "b", since) == 0, "the stream was resumed in the evacuated zone"


def restore(deployment, copy):
    deployment.store.down = True
    time.sleep(0.3)
    deployment.store.restore(copy)
    deployment.store.down = False


def restored_store(deployment):
    """A store that was restored from a copy without the request: the zone stays evacuated until it is written again."""
    copy = deployment.store.copy()
    since = evacuate(deployment, "b")
    with Load(deployment) as load:
        restore(deployment, copy)
        for gateway in deployment.gateways:
            wait_until(lambda each=gateway: each.events("zone_evacuation_kept"), f"{gateway.name} to keep the zone")
        deployment.store.put(PREFIX + "b", "")
        time.sleep(RESTORATION_GRACE_S + 2)
        assert arrivals(deployment, "b", since) == 0, "requests arrived in the evacuated zone"
        assert load.statuses(time.monotonic() - 2) == {200}
        # The second time it is not written again.
        at = time.monotonic()
        restore(deployment, copy)
        wait_until(lambda: arrivals(deployment, "b", since) > 0, "requests in the zone")
        assert time.monotonic() - at >= RESTORATION_GRACE_S - 1, "the zone was dropped too early"
        wait_for_zones(deployment, set())
    ends = [event["source"] for gateway in deployment.gateways for event in gateway.events("zone_evacuation_withdrawn")]
    assert ends == ["restoration"] * GATEWAYS, ends


def make_deployment(bin_folder):
    # Cases add endpoints of zone c if they need them.
    return make_zone_deployment(bin_folder, {"a": "r", "b": "r", "c": "r"})


run_cases((evacuation_and_withdrawal, odd_keys, all_zones, two_zones_at_once, streams_resume_elsewhere, restored_store),
          make_deployment, GATEWAYS)
