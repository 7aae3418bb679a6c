#pragma once

#include "wisteriayard/units.h"

#include <array>
#include <cstdint>

namespace wisteriayard {

/// Ranks that engines order waiting prompts by; 0 goes first.
inline constexpr std::size_t engineRanks = 10;

/// Prompt tokens that an engine has yet to compute, by the rank of their requests.
///
/// Load pattern: long prompts of a low rank fill the engines' queues. An engine computes the prompt it has begun and
/// then the waiting one with the highest rank, so an urgent request waits for few of those tokens. Counted as if it
/// waited for all, it would be refused although it can begin in time.
class PrefillBacklog {
public:
    PrefillBacklog() = default;
    PrefillBacklog(Priority rank, Tokens tokens) { add(rank, tokens); }

    /// @param rank a rank beyond the last counts as the last
    void add(Priority rank, Tokens tokens);
    void remove(Priority rank, Tokens tokens) { add(rank, Tokens(-tokens.value())); }
    PrefillBacklog& operator+=(const PrefillBacklog& other);

    Tokens total() const;
    Tokens at(std::size_t rank) const { return Tokens(m_tokens.at(rank)); }
    /// Tokens that are computed before a request that comes now.
    Tokens ahead(Priority rank) const;

    friend bool operator==(const PrefillBacklog&, const PrefillBacklog&) = default;

private:
    std::array<std::int64_t, engineRanks> m_tokens {};
};

} // namespace wisteriayard
