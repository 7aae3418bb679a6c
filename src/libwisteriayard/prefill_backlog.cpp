#include "wisteriayard/prefill_backlog.h"

#include <algorithm>
#include <numeric>

namespace wisteriayard {

namespace {

    /// Mean number of tokens left of the prompt of a lower rank that the engine is computing. Long prompts vary widely
    /// in length, so it is more than half of the mean length.
    constexpr std::int64_t startedPromptTokens = 7'000;

    std::size_t index(Priority rank)
    {
        return static_cast<std::size_t>(std::clamp<std::int32_t>(rank.value(), 0, engineRanks - 1));
    }

} // namespace

void PrefillBacklog::add(Priority rank, Tokens tokens) { m_tokens[index(rank)] += tokens.value(); }

PrefillBacklog& PrefillBacklog::operator+=(const PrefillBacklog& other)
{
    for (std::size_t rank = 0; rank < engineRanks; ++rank)
        m_tokens[rank] += other.m_tokens[rank];
    return *this;
}

PrefillBacklog& PrefillBacklog::operator-=(const PrefillBacklog& other)
{
    for (std::size_t rank = 0; rank < engineRanks; ++rank)
        m_tokens[rank] -= other.m_tokens[rank];
    return *this;
}

Tokens PrefillBacklog::total() const
{
    return Tokens(std::accumulate(m_tokens.begin(), m_tokens.end(), std::int64_t { 0 }));
}

Tokens PrefillBacklog::tokensAhead(Priority rank) const
{
    auto end = m_tokens.begin() + static_cast<std::ptrdiff_t>(index(rank)) + 1;
    std::int64_t before = std::accumulate(m_tokens.begin(), end, std::int64_t { 0 });
    std::int64_t lower = std::accumulate(end, m_tokens.end(), std::int64_t { 0 });
    return Tokens(before + std::min(lower, startedPromptTokens));
}

} // namespace wisteriayard
