#pragma once

#include "wisteriayard/membership.h"
#include "wisteriayard/units.h"

namespace wisteriayard {

/// Time to live of an entry's registration: it survives two lost renewals.
inline constexpr Duration registrationTimeToLive = std::chrono::seconds(9);
/// Interval at which registrations are read; after a datagram from an unknown address they are read earlier.
inline constexpr Duration registrationReadInterval = std::chrono::seconds(6);
inline constexpr Duration registrationRetryDelay = std::chrono::seconds(2);
/// Time after its registration from which an entry uses its shares of rate limits. By then all entries that reach the
/// store have read the registrations, and those that it displaces have stopped to use theirs.
inline constexpr Duration limitShareDelay = registrationReadInterval + registrationRetryDelay;
/// Time for which an entry without registration still counts as holder of its shares. After an outage of the store in
/// which the registrations lapsed, entries register again within this time.
inline constexpr Duration missingPeerGrace = 2 * registrationRenewalInterval;

/// Contact of an entry with the other registered ones.
struct PeerContact {
    bool isAlone = true;
    bool anyLive = false;
    bool allLive = true;
    /// A live one reaches the store.
    bool storeReached = false;

    void add(bool isLive, bool reachesStore);
};

/// Whether this entry may use its shares of rates that the entries divide by the list of registrations, although the
/// entries read that list at different times and may be disconnected from the store.
class ShareActivation {
public:
    /// A registration is attempted.
    void registering() { m_wasRegisteredAtStart = false; }
    /// The registration is in force.
    /// @param calledAt time at which the successful call began
    /// @param wasRegistered the registration of an earlier start of this entry had not lapsed
    /// @param wasCounted the other entries have kept counting this one since its former registration
    void registered(TimePoint calledAt, TimePoint now, bool wasRegistered, bool wasCounted);
    /// The registration was confirmed by a call that began at a time.
    void confirmed(TimePoint calledAt) { m_confirmedAt = calledAt; }
    /// The list was read by a call that began at a time.
    void listRead(TimePoint calledAt, TimePoint now);
    bool hasRead() const { return m_readAt != TimePoint(); }
    /// Whether this entry was registered since its start.
    bool wasRegistered() const { return m_registeredSince != TimePoint(); }

    /// Whether the other entries count this one. While lists differ, another one may use the same share.
    bool isActive(const PeerContact& peers, TimePoint now) const;
    /// Time until which no other entry can use the shares that this one has by its list, whatever happens meanwhile;
    /// not after now if that is not sure. Must be called regularly.
    TimePoint updateExclusive(const PeerContact& peers, TimePoint now);

private:
    bool isConfirmed(TimePoint now) const { return now - m_confirmedAt < registrationTimeToLive; }
    /// Time until which the list and the start of the registration alone make the shares exclusive, as of a time.
    TimePoint listValidUntil(TimePoint time) const;

    /// Start of the current registration, and the last time at which it was certainly in force.
    TimePoint m_registeredSince {};
    TimePoint m_confirmedAt {};
    bool m_wasRegisteredAtStart = false;
    /// Last time at which the list was read, and the time at which that call began.
    TimePoint m_readAt {};
    TimePoint m_readSince {};
    /// Since the registration was last confirmed, other entries may have taken over the shares.
    bool m_hasLapsed = false;
};

} // namespace wisteriayard
