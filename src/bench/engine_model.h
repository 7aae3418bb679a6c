#pragma once

#include "wisteriayard/units.h"

#include <cstdint>
#include <list>
#include <set>
#include <tuple>
#include <vector>

namespace wisteriayard::bench {

/// Service times of a model engine with continuous batching and chunked prefill.
struct EngineTimes {
    int slots = 16;
    Duration stepBase { 12'000 };
    Duration perSequence { 400 };
    /// Time of one uncached prompt token.
    Duration perPrefillToken { 20 };
    int prefillChunk = 256;
    std::int64_t cacheTokens = 40'000;
};

/// One request at an engine.
struct EngineJob {
    std::uint32_t request = 0;
    std::uint32_t attempt = 0;
    std::int32_t priority = 0;
    std::uint64_t prefixHash = 0;
    std::int64_t prefixTokens = 0;
    /// Tokens to compute before the first output token, without cache.
    std::int64_t prompt = 0;
    std::int64_t outputLeft = 0;
    std::int64_t prefillLeft = 0;
    /// Tokens computed for this attempt.
    std::int64_t computed = 0;
    std::int64_t prefillNow = 0;
};

/// What a step of the engine produced.
struct StepResult {
    /// Jobs that got one output token in this step; valid until the engine's next call.
    std::vector<EngineJob> tokens;
};

/// Model of an engine: a batch that advances by one token per step, honouring priorities, with an LRU prefix cache.
class EngineModel {
public:
    explicit EngineModel(EngineTimes times)
        : m_times(times)
    {
    }

    void add(const EngineJob& job) { m_waiting.emplace(job.priority, m_nextOrder++, job); }
    /// Ends a job.
    /// @return tokens that were computed for it
    std::int64_t cancel(std::uint32_t request);
    /// Plans the next step.
    /// @return its duration, or zero if there is no work
    Duration startStep();
    /// Completes the planned step; finished jobs have outputLeft 0 and are gone from the batch.
    const StepResult& finishStep();
    /// Loses all jobs and the cache.
    /// @return the lost jobs
    std::vector<EngineJob> crash();
    void loseCache() { m_cache.clear(); }

    void setSlowness(int factor) { m_slowness = factor; }
    int running() const { return static_cast<int>(m_batch.size()); }
    int queued() const { return static_cast<int>(m_waiting.size()); }
    const EngineTimes& times() const { return m_times; }
    std::int64_t tokensMade() const { return m_tokensMade; }

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

    std::int64_t takeCached(const EngineJob& job);

    EngineTimes m_times;
    int m_slowness = 1;
    std::set<WaitingOrder::Item, WaitingOrder> m_waiting;
    std::vector<EngineJob> m_batch;
    std::list<CachedPrefix> m_cache;
    std::uint64_t m_nextOrder = 0;
    std::int64_t m_tokensMade = 0;
    StepResult m_result;
};

} // namespace wisteriayard::bench
