#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace wisteriayard {

/// Estimates output lengths by a quantile of the recorded lengths, with one histogram per class and one per account in
/// it. Older counts decay.
class OutputEstimator {
public:
    /// Records the length of a complete answer.
    void observe(const ClassId& requestClass, const AccountId& account, Tokens output);
    /// Estimates the total length of an answer.
    /// @param fallback expected length according to the contract, used until enough answers have been recorded
    /// @param soFar tokens produced so far; the estimate is greater
    Tokens estimate(const ClassId& requestClass, const AccountId& account, Tokens fallback, Tokens soFar) const;

private:
    /// Two buckets for each doubling of the length, up to 2^20 tokens.
    static constexpr std::size_t bucketCount = 40;
    struct Histogram {
        std::array<std::uint16_t, bucketCount> counts {};
        std::uint32_t total = 0;
    };
    struct ClassLengths {
        Histogram all;
        std::unordered_map<AccountId, Histogram> accounts;
    };

    static std::size_t bucketOf(std::int64_t tokens);
    static std::int64_t bucketUpperBound(std::size_t bucket);
    static void add(Histogram& histogram, std::size_t bucket);
    static std::int64_t quantileAbove(const Histogram& histogram, std::int64_t soFar);

    std::unordered_map<ClassId, ClassLengths> m_classes;
};

} // namespace wisteriayard
