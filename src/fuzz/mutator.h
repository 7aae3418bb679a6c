#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wisteriayard::fuzz {

/// Makes inputs from the files of a corpus. The same seed gives the same inputs on every machine.
class Mutator {
public:
    /// @param corpus not empty
    Mutator(std::vector<std::string> corpus, std::uint64_t seed)
        : m_corpus(std::move(corpus))
        , m_random(seed)
    {
    }

    /// Next input, of limited size.
    std::string next();

private:
    /// Number below a limit; the distributions of the standard library differ between implementations.
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : m_random() % limit; }
    void mutate(std::string& input);

    std::vector<std::string> m_corpus;
    std::mt19937_64 m_random;
};

} // namespace wisteriayard::fuzz
