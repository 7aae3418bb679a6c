#pragma once

#include "wisteriayard/units.h"

#include <array>
#include <cstdint>

namespace wisteriayard {

/// Number of ranks by which engines order waiting prompts; rank 0 is computed first.
inline constexpr std::size_t engineRanks = 10;

/// Prompt tokens that an engine has yet to compute, by the rank of their requests.
///
/// Load pattern: long prompts of a low rank fill the engines' queues. An engine finishes the prompt it is computing and
/// then takes the waiting one with the highest rank, so an urgent request waits for few of these tokens. If all of them
/// counted, it would be refused although its first token would come in time.
class PrefillBacklog {
public:
    PrefillBacklog() = default;
    PrefillBacklog(Priority rank, Tokens tokens) { add(rank, tokens); }

    /// @param rank values beyond the last rank count as the last
    void add(Priority rank, Tokens tokens);
    void remove(Priority rank, Tokens tokens) { add(rank, Tokens(-tokens.value())); }
    PrefillBacklog& operator+=(const PrefillBacklog& other);
    PrefillBacklog& operator-=(const PrefillBacklog& other);

    Tokens total() const;
    Tokens at(std::size_t rank) const { return Tokens(m_tokens.at(rank)); }
    /// Tokens that are computed before a request of this rank that arrives now.
    Tokens tokensAhead(Priority rank) const;

    friend bool operator==(const PrefillBacklog&, const PrefillBacklog&) = default;

private:
    std::array<std::int64_t, engineRanks> m_tokens {};
};

} // namespace wisteriayard
