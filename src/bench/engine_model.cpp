#include "engine_model.h"

#include <algorithm>

namespace wisteriayard::bench {

std::int64_t EngineModel::cancel(std::uint32_t request)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (std::get<2>(*it).request == request) {
            m_waiting.erase(it);
            return 0;
        }
    }
    auto it
        = std::find_if(m_batch.begin(), m_batch.end(), [&](const EngineJob& job) { return job.request == request; });
    if (it == m_batch.end())
        return 0;
    std::int64_t computed = it->computed;
    m_batch.erase(it);
    return computed;
}

std::int64_t EngineModel::useCachedPrefix(const EngineJob& job)
{
    auto it = std::find_if(
        m_cache.begin(), m_cache.end(), [&](const CachedPrefix& prefix) { return prefix.hash == job.prefixHash; });
    bool hit = it != m_cache.end();
    if (hit)
        m_cache.erase(it);
    m_cache.push_front({ job.prefixHash, job.prefixTokens });
    std::int64_t cachedTokens = 0;
    for (auto each = m_cache.begin(); each != m_cache.end();) {
        cachedTokens += each->tokens;
        each = cachedTokens > m_times.cacheTokens ? m_cache.erase(each) : std::next(each);
    }
    return hit ? job.prefixTokens : 0;
}

Duration EngineModel::startStep()
{
    while (running() < m_times.slots && !m_waiting.empty()) {
        EngineJob job = std::get<2>(*m_waiting.begin());
        m_waiting.erase(m_waiting.begin());
        std::int64_t cached = job.prefixTokens > 0 ? useCachedPrefix(job) : 0;
        job.remainingPrefill = std::max<std::int64_t>(1, job.prompt - cached);
        m_batch.push_back(job);
    }
    if (m_batch.empty())
        return Duration(0);
    std::int64_t budget = m_times.prefillChunk;
    std::int64_t prefill = 0;
    int decoding = 0;
    for (EngineJob& job : m_batch) {
        job.prefillThisStep = std::min(job.remainingPrefill, budget);
        budget -= job.prefillThisStep;
        prefill += job.prefillThisStep;
        decoding += job.remainingPrefill == 0;
    }
    return (m_times.stepBase + m_times.perSequence * decoding + m_times.perPrefillToken * prefill) * m_slowdown;
}

const StepResult& EngineModel::finishStep()
{
    m_result.tokens.clear();
    for (EngineJob& job : m_batch) {
        bool decodes
            = job.remainingPrefill == 0 || (job.prefillThisStep > 0 && job.prefillThisStep == job.remainingPrefill);
        job.computed += job.prefillThisStep;
        job.remainingPrefill -= job.prefillThisStep;
        job.prefillThisStep = 0;
        if (!decodes)
            continue;
        ++job.computed;
        ++m_tokensGenerated;
        --job.remainingOutput;
        m_result.tokens.push_back(job);
    }
    m_batch.erase(std::remove_if(m_batch.begin(), m_batch.end(),
                      [](const EngineJob& job) { return job.remainingPrefill == 0 && job.remainingOutput <= 0; }),
        m_batch.end());
    return m_result;
}

std::vector<EngineJob> EngineModel::crash()
{
    std::vector<EngineJob> droppedJobs = std::move(m_batch);
    for (const auto& item : m_waiting)
        droppedJobs.push_back(std::get<2>(item));
    m_waiting.clear();
    m_batch.clear();
    m_cache.clear();
    return droppedJobs;
}

} // namespace wisteriayard::bench
