#!/usr/bin/env python3
"""The store comes back from an older copy of itself: what was written since is gone, and revisions and lease numbers are
given out again. Entries must neither report usage twice nor keep an old configuration, and must write again what only
they know.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from platform_deployment import WINDOW_S, Deployment, run_cases, wait_until  # noqa: E402
from platform_standins import Endpoint  # noqa: E402

GATEWAYS = 6
# Revisions that the restored store gives out for other changes before the entries ask it again.
PASSED_REVISIONS = 1000
LONG_LEASE_MS = 600_000
# Time from the end of a window until it is closed, in the gateways' settings of the deployment.
USAGE_GRACE_S = 3.5
QUARANTINE_KEY = "quarantine/123"
# One of the three entries that compete for the usage lease while all six know each other.
LEASE_CANDIDATE = "g1"
# Time from the end of a holder until a window is due that it must not close.
STOP_BEFORE_DUE_S = 1.2


def restore(deployment, copy, passed_revisions=0):
    """Takes the store away for a moment and brings it back as it was at the time of the copy."""
    deployment.store.down = True
    time.sleep(0.3)
    deployment.store.restore(copy, passed_revisions)
    deployment.store.down = False


def version_in_force(gateway):
    return max((event["version"] for event in gateway.events("config_in_force")), default=0)


def reported(deployment):
    return len(deployment.reports.windows)


def begin_window():
    """Waits until a window begins, so that no earlier call lies in it. @return its number"""
    window = int(time.time() // WINDOW_S) + 1
    time.sleep(max(0, window * WINDOW_S - time.time()))
    return window


def call_all(deployment, count=1):
    for _ in range(count):
        for gateway in deployment.gateways:
            gateway.call("/lookup/1")


def lease_holder(deployment):
    """The gateway that holds the usage lease, or None."""
    lock = deployment.store.value("lease/usage") or ""
    return next((gateway for gateway in deployment.gateways if lock.startswith(gateway.name + ".")), None)


def report_windows(deployment):
    """@return a copy of the store after the first report; at least two more windows are reported after it"""
    copy = None
    while reported(deployment) < 3:
        if copy is None and reported(deployment) == 1 and deployment.store.value("usage/sent"):
            copy = deployment.store.copy()
        call_all(deployment)
    return copy


def windows_are_reported_once(deployment):
    """The store forgets which windows were closed and reported, and the partial records of the next ones."""
    copy = report_windows(deployment)
    restore(deployment, copy)
    before = reported(deployment)
    while reported(deployment) < before + 3:
        call_all(deployment)
    assert not deployment.reports.conflicts, deployment.reports.conflicts


def windows_are_reported_once_by_restarted_entries(deployment):
    """All entries that know what was reported are killed while the store is away."""
    copy = report_windows(deployment)
    deployment.store.down = True
    for gateway in deployment.gateways:
        gateway.stop()
    deployment.store.restore(copy)
    deployment.store.down = False
    for gateway in deployment.gateways:
        gateway.start()
    for gateway in deployment.gateways:
        wait_until(gateway.ready, f"{gateway.name} to be ready")
    before = reported(deployment)
    while reported(deployment) < before + 2:
        call_all(deployment)
    assert not deployment.reports.conflicts, deployment.reports.conflicts


def usage_of_open_windows_is_kept(deployment):
    """Partial records that the store has forgotten are written again before their window is closed."""
    while reported(deployment) < 2:
        call_all(deployment)
    copy = deployment.store.copy()
    # All calls lie in one window that is open during the restoration.
    window = begin_window()
    call_all(deployment, 5)
    parts = f"usage/part/{window:015d}/"
    wait_until(lambda: sum(key.startswith(parts) for key in list(deployment.store.items)) == GATEWAYS,
               "the partial records of all entries")
    restore(deployment, copy)
    wait_until(lambda: window in deployment.reports.windows, "the report of the window")
    counts = deployment.reports.windows[window]
    assert counts == {"acme": 5 * GATEWAYS}, counts


def former_lease_is_given_up(deployment):
    """The copy has the key of the usage lease, with a lease that nobody renews and that lasts long."""
    copy = report_windows(deployment)
    copy[2][copy[0]["lease/usage"]["lease"]] = (LONG_LEASE_MS, time.monotonic() + LONG_LEASE_MS / 1000)
    restore(deployment, copy)
    before = reported(deployment)
    wait_until(lambda: call_all(deployment) or reported(deployment) > before, "a report after the restoration")


def new_holder_awaits_records(deployment):
    """The holder of the usage lease starts anew when a window is due that has not been closed. It counts the records that
    the others write again after the restoration, and does not take the window for one that was reported.
    """
    deployment.store.usage_holder = LEASE_CANDIDATE
    # Another entry may have taken the lease before it knew the others.
    former = lease_holder(deployment)
    if former and former.name != LEASE_CANDIDATE:
        former.stop()
        former.start()
    while reported(deployment) < 2:
        call_all(deployment)
    copy = deployment.store.copy()
    window = begin_window()
    call_all(deployment, 5)
    due = (window + 1) * WINDOW_S + USAGE_GRACE_S
    time.sleep(max(0, due - STOP_BEFORE_DUE_S - time.time()))
    holder = lease_holder(deployment)
    assert holder and holder.name == LEASE_CANDIDATE
    holder.stop()
    assert time.time() < due, "the former holder may have closed the window"
    restore(deployment, copy)
    time.sleep(max(0, due - time.time()))
    holder.start()
    wait_until(lambda: window in deployment.reports.windows, "the report of the window")
    # The killed entry takes with it what the store has forgotten of its own requests.
    count = deployment.reports.windows[window].get("acme", 0)
    assert count >= 5 * (GATEWAYS - 1), f"{count} requests reported"


def changes_take_effect(deployment):
    """The restored store gives out the revisions that entries have seen again, for other changes."""
    copy = deployment.store.copy()
    for _ in range(3):
        version = deployment.configure()
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: version_in_force(each) >= version, f"version {version} at {gateway.name}")
    # The first version in the new history has a revision that the copies of all entries exceed.
    deployment.store.down = True
    time.sleep(0.3)
    deployment.store.restore(copy)
    version = deployment.configure()
    with deployment.store.lock:
        deployment.store.revision += PASSED_REVISIONS
    deployment.store.down = False
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: version_in_force(each) >= version, f"version {version} at {gateway.name}")


def registration_is_written_again(deployment):
    """The lease number of a lost registration is given out again, and its renewals succeed."""
    late = deployment.gateways[-1]
    key = "member/" + late.name
    # An entry is ready before it is registered.
    wait_until(lambda: deployment.store.value(key), "the first registration of " + late.name)
    with deployment.store.lock:
        items, revision, leases, last_lease = deployment.store.copy()
        lease = items[key]["lease"]
        items = {each: item for each, item in items.items() if item["lease"] != lease}
        leases.pop(lease)
    restore(deployment, (items, revision, leases, lease - 1))
    assert deployment.store.grant_lease(LONG_LEASE_MS) == lease
    wait_until(lambda: deployment.store.value(key), "the registration of " + late.name)


def departed_endpoint_stays_out(deployment):
    """An endpoint that has left is in the list again, with the record that it had before."""
    plain = [endpoint for endpoint in deployment.endpoints if endpoint.service == "plain"]
    copy = deployment.store.copy()
    deployment.store.put("servers/" + plain[0].name, plain[0].entry(state="draining"))
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: any(event["endpoint"] == plain[0].name
                                            for event in each.events("endpoint_removed")), "its removal")
    runs = sum(plain[0].runs.values())
    restore(deployment, copy)
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: each.events("store_restored"), f"{gateway.name} to notice the restoration")
    time.sleep(0.5)
    call_all(deployment, 5)
    assert sum(plain[0].runs.values()) == runs, "the endpoint got requests after it had left"
    # Its own new record counts again.
    deployment.store.put("servers/" + plain[0].name, plain[0].entry(state="ready"))
    wait_until(lambda: call_all(deployment) or sum(plain[0].runs.values()) > runs, "requests to the endpoint")


def joined_endpoint_stays_in(deployment):
    """An endpoint that joined after the copy is missing in the list until it writes its record again."""
    copy = deployment.store.copy()
    joined = Endpoint("p9", "plain", "a")
    deployment.endpoints.append(joined)
    deployment.store.put("servers/" + joined.name, joined.entry())
    wait_until(lambda: call_all(deployment) or sum(joined.runs.values()) > 0, "requests to the endpoint")
    # Watches must not go on after the restoration, as if nothing had happened.
    with deployment.store.lock:
        deployment.store.revision += PASSED_REVISIONS
    deployment.store.put("servers/other", "{}")
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: each.events("config_rejected"), f"{gateway.name} to read the record")
    restore(deployment, copy)
    for gateway in deployment.gateways:
        wait_until(lambda each=gateway: each.events("store_restored"), f"{gateway.name} to notice the restoration")
    time.sleep(0.5)
    deployment.store.put("servers/" + joined.name, joined.entry())
    time.sleep(0.5)
    removed = [event for gateway in deployment.gateways for event in gateway.events("endpoint_removed")]
    assert not removed, removed


def quarantine_is_written_again(deployment):
    """A prompt segment that crashes engines is forgotten by the store, but not by the entries."""
    # Entries write the record that they find at their start with a lease of their own.
    wait_until(lambda: deployment.store.items[QUARANTINE_KEY]["lease"], "the record of the quarantine")
    time.sleep(1)
    copy = list(deployment.store.copy())
    copy[0].pop(QUARANTINE_KEY)
    restore(deployment, copy)
    wait_until(lambda: deployment.store.value(QUARANTINE_KEY), "the record of the quarantine")


def make_deployment(bin_folder):
    deployment = Deployment(bin_folder)
    deployment.store.put(QUARANTINE_KEY, "1")
    return deployment


run_cases((windows_are_reported_once, windows_are_reported_once_by_restarted_entries,
           usage_of_open_windows_is_kept, former_lease_is_given_up, new_holder_awaits_records,
           changes_take_effect, registration_is_written_again, departed_endpoint_stays_out,
           joined_endpoint_stays_in, quarantine_is_written_again),
          make_deployment, GATEWAYS)
