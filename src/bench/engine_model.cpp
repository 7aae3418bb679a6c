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

std::int64_t EngineModel::takeCached(const EngineJob& job)
{
    auto it = std::find_if(
        m_cache.begin(), m_cache.end(), [&](const CachedPrefix& prefix) { return prefix.hash == job.prefixHash; });
    bool hit = it != m_cache.end();
    if (hit)
        m_cache.erase(it);
    m_cache.push_front({ job.prefixHash, job.prefixTokens });
    std::int64_t kept = 0;
    for (auto each = m_cache.begin(); each != m_cache.end();) {
        kept += each->tokens;
        each = kept > m_times.cacheTokens ? m_cache.erase(each) : std::next(each);
    }
    return hit ? job.prefixTokens : 0;
}

Duration EngineModel::startStep()
{
    while (running() < m_times.slots && !m_waiting.empty()) {
        EngineJob job = std::get<2>(*m_waiting.begin());
        m_waiting.erase(m_waiting.begin());
        std::int64_t cached = job.prefixTokens > 0 ? takeCached(job) : 0;
        job.prefillLeft = std::max<std::int64_t>(1, job.prompt - cached);
        m_batch.push_back(job);
    }
    if (m_batch.empty())
        return Duration(0);
    std::int64_t budget = m_times.prefillChunk;
    std::int64_t prefill = 0;
    int decoding = 0;
    for (EngineJob& job : m_batch) {
        job.prefillNow = std::min(job.prefillLeft, budget);
        budget -= job.prefillNow;
        prefill += job.prefillNow;
        decoding += job.prefillLeft == 0;
    }
    return (m_times.stepBase + m_times.perSequence * decoding + m_times.perPrefillToken * prefill) * m_slowness;
}

const StepResult& EngineModel::finishStep()
{
    m_result.tokens.clear();
    for (EngineJob& job : m_batch) {
        bool decodes = job.prefillLeft == 0 || (job.prefillNow > 0 && job.prefillNow == job.prefillLeft);
        job.computed += job.prefillNow;
        job.prefillLeft -= job.prefillNow;
        job.prefillNow = 0;
        if (!decodes)
            continue;
        ++job.computed;
        ++m_tokensMade;
        --job.outputLeft;
        m_result.tokens.push_back(job);
    }
    m_batch.erase(std::remove_if(m_batch.begin(), m_batch.end(),
                      [](const EngineJob& job) { return job.prefillLeft == 0 && job.outputLeft <= 0; }),
        m_batch.end());
    return m_result;
}

std::vector<EngineJob> EngineModel::crash()
{
    std::vector<EngineJob> lost = std::move(m_batch);
    for (const auto& item : m_waiting)
        lost.push_back(std::get<2>(item));
    m_waiting.clear();
    m_batch.clear();
    m_cache.clear();
    return lost;
}

} // namespace wisteriayard::bench
