#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <unordered_map>

namespace wisteriayard {

/// Engine time that requests ask for in each second, in seconds.
struct WorkRates {
    /// By prompts that take several prefill chunks.
    double longPrompts = 0;
    /// By all others.
    double shortPrompts = 0;
    /// Rank of the requests as a mean, times the engine time above.
    double longRanks = 0;
    double shortRanks = 0;

    WorkRates& operator+=(const WorkRates& other);
};

/// Settings of the split of engines.
struct PrefillPoolPolicy {
    /// A prompt above this takes more than two prefill chunks of 1024 tokens; every stream in the same batch pauses for
    /// so long that a pause exceeds the objective of short streams.
    Tokens longPrompt { 2048 };
    /// Time constant of the averages.
    Duration averaging = std::chrono::seconds(3);
    /// Rates that other entries told longer ago are not counted.
    Duration peerLifetime = std::chrono::seconds(2);
    /// Engine time may be used up to these shares before requests wait too long for their first event. That of short
    /// prompts is measured against an engine with three quarters of its slots in use, so it may exceed 1; at 1.3 their
    /// streams pause in bursts.
    double longUtilization = 0.5;
    double shortUtilization = 1.1;
    /// The split changes only if it is off by more than this many engines, so that prompt parts stay where they are
    /// cached.
    double hysteresis = 0.8;
    /// Mean ranks that differ by less count as equal: accounts of all ranks send both kinds.
    double equalRanks = 0.3;
};

/// Sizes the part of a service's engines that long prompts are kept on.
///
/// Load pattern: long prompts arrive beside many short streams. Mixed on all engines, each prefill makes all streams
/// of its batch late; on engines of their own, only other long prompts wait.
class PrefillPool {
public:
    explicit PrefillPool(PrefillPoolPolicy policy = {})
        : m_policy(policy)
    {
    }

    bool isLong(Tokens prompt) const { return prompt > m_policy.longPrompt; }
    /// A request was placed, or refused for want of engine time: counted by what is served, a kind that is refused
    /// would keep too few engines.
    /// @param work engine time that it will take
    void note(Tokens prompt, Duration work, Priority rank, TimePoint now);
    /// Rates of this entry.
    WorkRates own(TimePoint now);
    /// Another entry told its rates, or the sum over several entries.
    /// @param entries how many
    void peer(const InstanceId& peer, const WorkRates& rates, std::size_t entries, TimePoint now);
    /// Other entries whose rates were told within their lifetime.
    std::size_t peers(TimePoint now);
    /// Engines that long prompts are kept on.
    /// @param engines all engines of the service
    /// @return 0 if the service has only one kind of prompts or too few engines to split
    std::size_t size(std::size_t engines, TimePoint now);

private:
    struct PeerRates {
        WorkRates rates;
        std::size_t entries = 1;
        TimePoint toldAt {};
    };

    void decay(TimePoint now);
    /// Engines for long prompts by a share; of an engine that would be divided, the kind with the higher rank has all.
    std::size_t wholeEngines(double share, const WorkRates& work) const;
    void forgetSilentPeers(TimePoint now);

    PrefillPoolPolicy m_policy;
    WorkRates m_own;
    TimePoint m_last {};
    std::unordered_map<InstanceId, PeerRates> m_peers;
    std::size_t m_size = 0;
    std::size_t m_engines = 0;
};

} // namespace wisteriayard
