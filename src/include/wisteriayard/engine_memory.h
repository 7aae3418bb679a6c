#pragma once

#include "wisteriayard/entry_share.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// Source of the load report that covers all entries of another region.
InstanceId regionSource(const RegionId& region);

/// Memory that a request reserves at an engine.
struct MemoryNeed {
    /// Shared segment of a prompt. Requests that run at the same time hold it once.
    struct Shared {
        /// Identifies the segment and all segments before it.
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
    };
    std::vector<Shared> shared;
    /// Tokens that no other request shares, and the upper estimate of the output.
    std::int64_t own = 0;
};

/// Mean and variance of the memory that the requests of a service add, from the recent requests of this entry.
class RequestSizes {
public:
    void record(std::int64_t tokens);
    double mean() const { return m_mean; }
    double variance() const { return m_variance; }

private:
    double m_mean = 0;
    double m_variance = 0;
    bool m_isEmpty = true;
};

/// The other entries that place requests on the engines of a service, and the age of their reports.
///
/// Entries of this region report individually. Those of another region are covered by the sum that its observers
/// report, unless the region has one entry.
class MemoryPeers {
public:
    struct Source {
        InstanceId id;
        /// Number of listed entries that the reports of this source cover; 0 if it is not listed.
        std::size_t entries = 0;
        std::optional<TimePoint> reportedAt;
    };
    /// Number of other entries that are assumed while the list of entries is not known. The entry then uses an eighth
    /// of each engine.
    static constexpr std::size_t assumedEntries = 7;

    /// @param reportLifetime age above which reports count as stopped
    explicit MemoryPeers(Duration reportLifetime)
        : m_reportLifetime(reportLifetime)
    {
    }

    /// Sets the entries of the deployment.
    /// @param region region of this entry
    void setEntries(const LimitEntries& entries, const RegionId& region);
    /// Records a report.
    /// @param isEmpty the report states no use
    /// @return number of the source; none if the report says nothing about the memory that its sender uses
    std::optional<std::size_t> reported(const InstanceId& source, bool isEmpty, TimePoint now);

    const std::vector<Source>& sources() const { return m_sources; }
    bool isFresh(const Source& source, TimePoint now) const
    {
        return source.reportedAt && now - *source.reportedAt <= m_reportLifetime;
    }
    /// Entries that are assumed in addition to the listed ones.
    std::size_t unlistedEntries() const { return m_unlisted; }
    /// Listed and assumed entries, including this one.
    std::size_t entries() const { return m_entries; }

private:
    std::size_t slot(const InstanceId& id);

    Duration m_reportLifetime;
    std::map<InstanceId, std::size_t> m_slots;
    std::vector<Source> m_sources;
    std::map<InstanceId, RegionId> m_regions;
    std::map<RegionId, std::size_t> m_regionSizes;
    RegionId m_region;
    std::size_t m_unlisted = assumedEntries;
    std::size_t m_entries = 1 + assumedEntries;
};

/// What all entries together placed on one engine, as one entry knows it.
///
/// A request is admitted if the own reservations, those that the other entries reported, and a margin for what they may
/// have placed since then leave room for it. An entry whose reports have stopped counts with an equal share of the
/// memory, or with its last report if that is more. If that holds for all others, an entry uses only its own share: it
/// then obeys the same rule as the entries that don't get its reports.
class EngineMemory {
public:
    /// Expected use by other entries.
    struct Others {
        std::int64_t reported = 0;
        /// Memory left to entries whose reports have stopped.
        std::int64_t silent = 0;
        /// What entries with recent reports may have placed since.
        std::int64_t margin = 0;
        /// A recent report exists.
        bool anyReport = false;
    };

    /// @name Requests of this entry
    /// @{

    /// Tokens that a request would add to the own reservations.
    std::int64_t added(const MemoryNeed& need) const;
    void reserve(const MemoryNeed& need, TimePoint now);
    void release(const MemoryNeed& need);
    std::int64_t own() const { return m_own; }
    /// @}

    /// Records the use that another entry, or a whole region, reported.
    /// @param source number of the source in MemoryPeers
    void applyReport(std::size_t source, std::int64_t tokens, TimePoint now);

    Others others(std::int64_t capacity, const MemoryPeers& peers, const RequestSizes& sizes, TimePoint now) const
    {
        return others(capacity, peers, sizes, m_placedAt.size(), now);
    }
    /// Whether a request may be placed.
    bool admits(const MemoryNeed& need, std::int64_t capacity, const MemoryPeers& peers, const RequestSizes& sizes,
        TimePoint now) const;
    /// Whether a request could be placed if all reported requests had ended and others had placed none since.
    bool admitsWhenReleased(const MemoryNeed& need, std::int64_t capacity, const MemoryPeers& peers,
        const RequestSizes& sizes, TimePoint now) const;
    /// Whether a request whose reservation exists may be sent.
    bool admitsReserved(const MemoryNeed& need, std::int64_t capacity, const MemoryPeers& peers,
        const RequestSizes& sizes, TimePoint now) const;

private:
    struct Held {
        std::int64_t tokens = 0;
        int requests = 0;
    };
    /// @param placements number of remembered placements that count, oldest first
    Others others(std::int64_t capacity, const MemoryPeers& peers, const RequestSizes& sizes, std::size_t placements,
        TimePoint now) const;
    static bool fits(std::int64_t own, std::int64_t added, std::int64_t capacity, const Others& others);
    double decayFactor(TimePoint now) const;

    std::int64_t m_own = 0;
    std::unordered_map<std::uint64_t, Held> m_shared;
    /// Recent placements of this entry.
    std::vector<TimePoint> m_placedAt;
    /// Last reported use by source.
    std::vector<std::int64_t> m_reported;
    /// Sums of the increases of the reported use and of their squares, which decay with time.
    double m_growth = 0;
    double m_growthSquares = 0;
    TimePoint m_growthAt {};
};

} // namespace wisteriayard
