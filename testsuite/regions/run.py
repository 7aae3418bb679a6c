#!/usr/bin/env python3
"""Routes and accounts that are restricted to regions: requests must never reach the other region."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import SECOND_KEY, run_cases, wait_until  # noqa: E402
from zone_checks import (GATEWAYS, PREFIX, add_zone, arrivals, broken_stream, code, events_of, in_force,  # noqa: E402
                         make_zone_deployment, wait_for_zones)


def restricted(deployment):
    """Requests never reach a region that route or account exclude, whatever happens to the endpoints of the others."""
    lookup, bolt = deployment.routes[0], deployment.tenants[1]
    plain = {endpoint.zone: endpoint for endpoint in deployment.endpoints if endpoint.service == "plain"}
    lookup["allowed_regions"] = ["s", "s", "unknown"]
    bolt["allowed_regions"] = ["r"]
    in_force(deployment)
    requests = []

    def call_all(count=5, **options):
        answers = [gateway.call("/lookup/1", **options) for gateway in deployment.gateways for _ in range(count)]
        requests.extend(answer.request for answer in answers)
        return {(answer.status, answer.status == 503 and code(answer)) for answer in answers}
    assert call_all() == {(200, False)}
    assert call_all(key=SECOND_KEY) == {(503, "region_not_available")}
    found = deployment.gateways[0].events("regions_unavailable")[-1]
    assert found["unknown_regions"] == ["unknown"] and found["listed_combinations"] == ["lookup/bolt"], found
    # Only one endpoint is in the region: failures, refusals, its ejection and its end send nothing elsewhere.
    plain["b"].fail = 1.0
    assert {status for status, _ in call_all()} <= {500, 502, 503}
    plain["b"].fail, plain["b"].retry_after = 0.0, "0.1"
    assert {status for status, _ in call_all(2)} == {503}
    plain["b"].retry_after = None
    deployment.store.remove("servers/" + plain["b"].name)
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: any(event["endpoint"] == plain["b"].name
                                            for event in each.events("endpoint_removed")), "the end of the endpoint")
    assert call_all() == {(503, "no_endpoint")}
    deployment.store.put(PREFIX + "b", "")
    deployment.store.put("servers/" + plain["b"].name, plain["b"].entry())
    wait_for_zones(deployment, {"b"})
    assert call_all() == {(503, "evacuated")}
    assert not any(plain["a"].runs[request] for request in requests), "a request reached the other region"
    # The other way round, and for an account on a route without restriction.
    lookup["allowed_regions"] = []
    in_force(deployment)
    assert call_all(key=SECOND_KEY) == {(200, False)}
    assert not any(plain["b"].runs[request] for request in requests[-5:])


def restriction_during_a_stream(deployment):
    """A stream that was classified without restriction is resumed under the newest configuration."""
    deployment.store.put(PREFIX + "a", "")
    wait_for_zones(deployment, {"a"})
    match = next(route for route in deployment.routes if route["name"] == "match")

    def restrict():
        deployment.store.remove(PREFIX + "a")
        match["allowed_regions"] = ["r"]
        return in_force(deployment)
    answer, since = broken_stream(deployment, restrict)
    assert (answer.status, events_of(answer)) == (200, [1, 2, 3, 4, 5, 6]), (answer.status, answer.body)
    assert arrivals(deployment, "b", since) == 0


def lifted_during_a_stream(deployment):
    """A stream keeps the restriction under which it was classified, although the newest configuration has none."""
    match = next(route for route in deployment.routes if route["name"] == "match")
    match["allowed_regions"] = ["s"]
    in_force(deployment)

    def lift():
        match["allowed_regions"] = []
        return in_force(deployment)
    answer, since = broken_stream(deployment, lift)
    assert answer.status is None, (answer.status, answer.body)
    assert arrivals(deployment, "a", since) == 0, "the stream was resumed in another region"


def call_all(deployment, count=5):
    """Sends requests of the first route to all entries. @return statuses with codes of refusals, and the requests"""
    answers = [gateway.call("/lookup/1") for gateway in deployment.gateways for _ in range(count)]
    return ({(answer.status, answer.status == 503 and code(answer)) for answer in answers},
            [answer.request for answer in answers])


def zones_reached(deployment, requests):
    return {endpoint.zone for endpoint in deployment.endpoints for request in requests if endpoint.runs[request]}


def last_zone_of_the_regions(deployment):
    """The zones of a route's region are evacuated one after the other: the last one too, and no other region helps."""
    add_zone(deployment, "c")
    deployment.routes[0]["allowed_regions"] = ["s"]
    in_force(deployment)
    for change, evacuated, expected, zones in (
            ("b", {"b"}, (200, False), {"c"}), ("c", {"b", "c"}, (503, "evacuated"), set()),
            (None, {"c"}, (200, False), {"b"})):
        if change:
            deployment.store.put(PREFIX + change, "")
        else:
            deployment.store.remove(PREFIX + "b")
        wait_for_zones(deployment, evacuated)
        statuses, requests = call_all(deployment)
        assert statuses == {expected}, (evacuated, statuses)
        assert zones_reached(deployment, requests) == zones, (evacuated, zones_reached(deployment, requests))


def regions_change_during_an_evacuation(deployment):
    """An evacuation and a configuration that moves a route to another region are written at the same time."""
    lookup = deployment.routes[0]
    lookup["allowed_regions"] = ["r"]
    in_force(deployment)
    # Away from the evacuated zone, and then back into a region whose only zone is evacuated.
    for zone, withdrawn, region, expected, zones in (
            ("a", None, "s", (200, False), {"b"}), ("b", "a", "s", (503, "evacuated"), set()),
            ("a", "b", "r", (503, "evacuated"), set())):
        deployment.store.put(PREFIX + zone, "")
        lookup["allowed_regions"] = [region]
        if withdrawn:
            deployment.store.remove(PREFIX + withdrawn)
        in_force(deployment)
        wait_for_zones(deployment, {zone})
        statuses, requests = call_all(deployment)
        assert statuses == {expected}, (zone, region, statuses)
        assert zones_reached(deployment, requests) == zones, (zone, region, zones_reached(deployment, requests))


def make_deployment(bin_folder):
    # Cases add endpoints of zone c if they need them.
    return make_zone_deployment(bin_folder, {"a": "r", "b": "s", "c": "s"})


run_cases((restricted, last_zone_of_the_regions, regions_change_during_an_evacuation, restriction_during_a_stream,
           lifted_during_a_stream), make_deployment, GATEWAYS)
