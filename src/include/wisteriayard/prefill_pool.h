#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <unordered_map>

namespace wisteriayard {

/// Engine time that requests need, in seconds per second.
struct WorkRates {
    /// For prompts that take several prefill chunks.
    double longPrompts = 0;
    /// For all other prompts.
    double shortPrompts = 0;
    /// Mean rank of the requests, multiplied by the engine time above.
    double longRanks = 0;
    double shortRanks = 0;

    WorkRates& operator+=(const WorkRates& other);
};

/// Settings of the split of a service's engines into those for long prompts and those for short ones.
struct PrefillPoolPolicy {
    /// Longest short prompt. A longer one takes more than two prefill chunks of 1024 tokens, which interrupt all
    /// streams of the same batch for longer than the objective of short streams allows.
    Tokens longPromptThreshold { 2048 };
    /// Time constant of the averages.
    Duration averagingTime = std::chrono::seconds(3);
    /// The same where accounts compete for capacity, so that the streams of a burst are not sent to engines that still
    /// compute the long prompts of the time before it. At 0.8 s the split follows single requests.
    Duration quickAveragingTime = std::chrono::milliseconds(1500);
    /// Age above which the reported rates of other entries are ignored.
    Duration peerLifetime = std::chrono::seconds(2);
    /// Utilization of the engines up to which requests get their first event in time. For short prompts it is relative
    /// to an engine with three quarters of its slots in use, so it may exceed 1; at 1.3 their streams stall in bursts.
    double longUtilization = 0.5;
    double shortUtilization = 1.1;
    /// The split changes only if it is off by more than this many engines, so that requests keep going to the engines
    /// that have their prompt segments cached.
    double hysteresis = 0.8;
    /// Mean ranks of long and short prompts that differ by less count as equal: accounts of all ranks send both kinds.
    double rankTolerance = 0.3;
};

/// Chooses how many of a service's engines are reserved for long prompts.
///
/// Load pattern: long prompts arrive beside many short streams. Mixed on all engines, each prefill makes all streams
/// of its batch late; on separate engines, a long prompt delays only other long prompts.
class PrefillPool {
public:
    explicit PrefillPool(PrefillPoolPolicy policy = {})
        : m_policy(policy)
    {
    }

    bool isLong(Tokens prompt) const { return prompt > m_policy.longPromptThreshold; }
    /// Sets which of the two time constants of the policy applies.
    void setFollowsQuickly(bool quickly) { m_followsQuickly = quickly; }
    /// Records a request that was placed, or refused because no engine had time for it. If refused requests didn't
    /// count, a kind of prompt whose requests are refused would keep getting too few engines.
    /// @param work engine time that the request needs
    void recordWork(Tokens prompt, Duration work, Priority rank, TimePoint now);
    /// Rates of this entry.
    WorkRates ownRates(TimePoint now);
    /// Records the rates that another entry reported, or a sum over several entries.
    /// @param entries number of entries in the sum
    void updatePeer(const InstanceId& peer, const WorkRates& rates, std::size_t entries, TimePoint now);
    /// Number of other entries whose reported rates are recent enough to count.
    std::size_t peerEntries(TimePoint now);
    /// Number of engines that are reserved for long prompts.
    /// @param engines number of all engines of the service
    /// @return 0 if the service gets only one kind of prompts or has too few engines to split
    std::size_t size(std::size_t engines, TimePoint now);

private:
    struct PeerRates {
        WorkRates rates;
        std::size_t entries = 1;
        TimePoint receivedAt {};
    };

    Duration averagingTime() const { return m_followsQuickly ? m_policy.quickAveragingTime : m_policy.averagingTime; }
    void decay(TimePoint now);
    /// Rounds a fractional number of engines for long prompts in favor of the kind of prompts with the higher rank.
    std::size_t roundToEngines(double share, const WorkRates& work) const;
    void removeExpiredPeers(TimePoint now);

    PrefillPoolPolicy m_policy;
    WorkRates m_own;
    TimePoint m_decayedAt {};
    bool m_followsQuickly = false;
    std::unordered_map<InstanceId, PeerRates> m_peers;
    std::size_t m_size = 0;
    std::size_t m_sizedForEngines = 0;
};

} // namespace wisteriayard
