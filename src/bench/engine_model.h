#pragma once

#include "wisteriayard/units.h"

#include <cstdint>
#include <list>
#include <set>
#include <tuple>
#include <vector>

namespace wisteriayard::bench {

/// Parameters of a simulated engine with continuous batching and chunked prefill.
struct EngineTimes {
    int slots = 16;
    Duration stepBase { 12'000 };
    Duration perSequence { 400 };
    /// Prefill time of an uncached prompt token.
    Duration perPrefillToken { 20 };
    int prefillChunk = 256;
    std::int64_t cacheTokens = 40'000;
};

/// A request that an engine processes.
struct EngineJob {
    std::uint32_t request = 0;
    std::uint32_t attempt = 0;
    std::int32_t priority = 0;
    std::uint64_t prefixHash = 0;
    std::int64_t prefixTokens = 0;
    /// Tokens to prefill before the first output token if none is cached.
    std::int64_t prompt = 0;
    std::int64_t remainingOutput = 0;
    std::int64_t remainingPrefill = 0;
    /// Tokens computed for this attempt.
    std::int64_t computed = 0;
    std::int64_t prefillThisStep = 0;
};

/// Result of an engine step.
struct StepResult {
    /// Jobs that produced an output token in this step; valid until the next call of the engine.
    std::vector<EngineJob> tokens;
};

/// Simulated engine: each step produces one token per decoding sequence; waiting jobs are started by priority; an LRU
/// cache holds prompt prefixes.
class EngineModel {
public:
    explicit EngineModel(EngineTimes times)
        : m_times(times)
    {
    }

    void add(const EngineJob& job) { m_waiting.emplace(job.priority, m_nextOrder++, job); }
    /// Cancels a job.
    /// @return number of tokens computed for it
    std::int64_t cancel(std::uint32_t request);
    /// Starts the next step.
    /// @return its duration, or zero if there is no work
    Duration startStep();
    /// Completes the started step. Finished jobs have remainingOutput 0 and are no longer in the batch.
    const StepResult& finishStep();
    /// Drops all jobs and the cache.
    /// @return the dropped jobs
    std::vector<EngineJob> crash();
    void loseCache() { m_cache.clear(); }

    void setSlowdown(int factor) { m_slowdown = factor; }
    int running() const { return static_cast<int>(m_batch.size()); }
    int queued() const { return static_cast<int>(m_waiting.size()); }
    const EngineTimes& times() const { return m_times; }
    std::int64_t tokensGenerated() const { return m_tokensGenerated; }

private:
    struct WaitingOrder {
        using Item = std::tuple<std::int32_t, std::uint64_t, EngineJob>;
        bool operator()(const Item& a, const Item& b) const
        {
            return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b));
        }
    };
    struct CachedPrefix {
        std::uint64_t hash;
        std::int64_t tokens;
    };

    std::int64_t useCachedPrefix(const EngineJob& job);

    EngineTimes m_times;
    int m_slowdown = 1;
    std::set<WaitingOrder::Item, WaitingOrder> m_waiting;
    std::vector<EngineJob> m_batch;
    std::list<CachedPrefix> m_cache;
    std::uint64_t m_nextOrder = 0;
    std::int64_t m_tokensGenerated = 0;
    StepResult m_result;
};

} // namespace wisteriayard::bench
