#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/token_bucket.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// The entries among which the rates that endpoints accept are divided, as known to this entry.
struct LimitEntries {
    InstanceId self;
    /// This entry may use its shares: the other entries count it, too.
    bool active = false;
    /// In addition, no entry that this one displaced, or that displaces it, can use the same share. Required where the
    /// sum over all entries must hold without exception.
    bool exclusive = false;
    /// All entries with their regions, including this one.
    std::map<InstanceId, RegionId> regions;

    friend bool operator==(const LimitEntries&, const LimitEntries&) = default;
};

/// Returns the entries that divide a rate of requests to an endpoint among them, without any messages. All entries that
/// have the same list agree on them, whether or not they reach each other.
/// @param key what the rate applies to; different keys have different holders
/// @param region entries of this region hold the shares; entries of all regions if it has none
/// @param count maximum number of holders
std::vector<InstanceId> shareHolders(
    std::string_view key, const RegionId& region, const LimitEntries& entries, std::size_t count);

/// This entry's share of a rate that a few entries divide among them in equal parts, as a token bucket.
class EntryShare {
public:
    struct Terms {
        /// Rate that the holders divide.
        RequestRate rate;
        std::size_t maxHolders = 1;
        /// Whether this entry may use a share.
        bool active = false;
    };

    /// Determines the share. A new share starts without credit, and credit is dropped with the share.
    /// @param capacity returns the maximum credit for a share in requests per second
    template <typename Capacity>
    void update(const EndpointId& endpoint, const RegionId& region, const LimitEntries& entries, const Terms& terms,
        Capacity capacity, TimePoint now)
    {
        double share = shareOf(endpoint, region, entries, terms);
        m_credit.reconfigure(share, share > 0 ? capacity(share) : 0, now);
    }
    /// Ends the division: there is no rate.
    void clear() { *this = EntryShare(); }

    /// The share in requests per second; 0 if this entry holds none.
    RequestRate rate() const { return RequestRate(m_credit.rate()); }
    /// Number of entries that hold shares, whether or not they may use them.
    std::size_t holders() const { return m_holders; }
    double available(TimePoint now) const { return m_credit.available(now); }
    bool tryTake(TimePoint now) { return m_credit.tryTake(now); }
    void giveBack(TimePoint now) { m_credit.giveBack(now); }

private:
    double shareOf(const EndpointId& endpoint, const RegionId& region, const LimitEntries& entries, const Terms& terms);

    TokenBucket m_credit;
    std::size_t m_holders = 0;
};

} // namespace wisteriayard
