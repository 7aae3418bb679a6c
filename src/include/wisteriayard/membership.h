#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wisteriayard {

/// Timing of endpoint membership.
struct MembershipTimes {
    /// A gap of at least this length between contacts with the store is an outage: registrations may have lapsed only
    /// because their owners could not renew them. Longer than the time between two responses to an idle watch, shorter
    /// than three heartbeats of an endpoint.
    Duration outageThreshold = std::chrono::milliseconds(3600);
    /// Grace period after an outage. Endpoints that are still running register again within about two seconds of its
    /// end.
    Duration returnGracePeriod = std::chrono::milliseconds(2100);
    /// How long a shutdown announcement is kept. The endpoint has terminated by then.
    Duration leavingRetention = std::chrono::hours(1);
    /// How long departures are remembered: the store may be restored from a copy that is some seconds old.
    Duration departureRetention = std::chrono::minutes(1);
    /// Time after a restoration of the store until its list is right again: endpoints that are running have written
    /// their records by then, and those of others have lapsed.
    Duration restoredListSettling = std::chrono::seconds(5);
};

/// Interval at which an entry renews its registration.
constexpr Duration registrationRenewalInterval = std::chrono::milliseconds(2800);

/// What an entry knows about its own registration after a call to the store.
enum class RegistrationState {
    Confirmed,
    /// The store no longer has it.
    Lapsed,
    /// The call failed, so the registration may have lapsed.
    Unconfirmed,
};

/// Time until the next call to the store for the registration of an entry. As long as an entry isn't registered, the
/// others don't send it their reports.
Duration registrationCallDelay(RegistrationState state);

/// Decides which endpoints are members while their registrations appear in and disappear from a store that may be
/// unavailable.
class Membership {
public:
    explicit Membership(MembershipTimes times = {})
        : m_times(times)
    {
    }

    /// Records a contact with the store, either direct or earlier by an observer.
    /// @param at time of the contact
    void storeContacted(TimePoint at);
    /// Records that another entry has had contact with the store without an outage since a point in time. If that
    /// covers the last outage seen here, the store was available, so missing registrations have been removed by their
    /// owners and the grace period ends.
    void storeWasUpSince(TimePoint since, TimePoint now);
    /// Start of the current period of contact with the store without an outage.
    std::optional<TimePoint> contactSince() const { return m_contactSince; }
    /// Records that the store came back from an older copy. Endpoints that are missing in its list may have registered
    /// after that copy, so they are kept for the grace period, whatever other entries report.
    void storeRestored(TimePoint now);
    /// Records that an endpoint has left: its registration was removed, or the list says that it is shutting down.
    void departed(const EndpointId& id, Incarnation incarnation, TimePoint now);
    /// Whether this or a later incarnation of an endpoint has left, and has not been listed since.
    bool hasDeparted(const EndpointId& id, Incarnation incarnation) const;
    /// Whether the list of the store is right again after the last restoration.
    bool isRestoredListSettled(TimePoint now) const { return now >= m_restoredListSettles; }
    /// Records that the store lists the registration of an endpoint.
    /// @return whether the endpoint may receive requests: false if this incarnation has announced its shutdown, because
    /// the list may be older than the announcement
    bool registrationListed(const EndpointId& id, Incarnation incarnation);
    /// Records an endpoint's shutdown announcement. Only a restart revokes it: responses without the announcement may
    /// have been sent earlier, and the list lags.
    void shutdownAnnounced(const EndpointId& id, Incarnation incarnation, TimePoint now);
    /// Records that a registration was removed or is missing from a complete list.
    /// @return whether the endpoint is no longer a member; during a grace period it stays one until removeLapsed()
    /// returns it
    bool registrationRemoved(const EndpointId& id, TimePoint now);
    /// Removes the endpoints whose grace period has ended without a new registration.
    /// @return the removed endpoints
    std::vector<EndpointId> removeLapsed(TimePoint now);
    const std::set<EndpointId>& members() const { return m_members; }

private:
    struct Leaving {
        Incarnation incarnation;
        TimePoint announcedAt {};
    };
    struct Departure {
        Incarnation incarnation;
        TimePoint at {};
    };

    MembershipTimes m_times;
    std::set<EndpointId> m_members;
    /// Members that are not listed, with the end of their grace period.
    std::map<EndpointId, TimePoint> m_lapsed;
    std::map<EndpointId, Leaving> m_leaving;
    std::optional<TimePoint> m_lastContact;
    std::optional<TimePoint> m_contactSince;
    /// Start of the last outage.
    TimePoint m_outageStart {};
    /// Registrations missing before this time may have lapsed because of an outage.
    TimePoint m_graceEnd {};
    std::map<EndpointId, Departure> m_departures;
    /// The same as m_graceEnd, because of a restoration of the store.
    TimePoint m_restorationGraceEnd {};
    /// Until then the list may contain endpoints that have left.
    TimePoint m_restoredListSettles {};
};

} // namespace wisteriayard
