#include "wisteriayard/output_estimator.h"

#include <algorithm>
#include <cmath>

namespace wisteriayard {

namespace {

    /// Minimum number of recorded answers for using the histogram of an account or a class.
    constexpr std::uint32_t minAnswersOfAccount = 16;
    constexpr std::uint32_t minAnswersOfClass = 32;
    /// All counts are halved when their total reaches this value, so that the estimate follows a change of the lengths
    /// within a few hundred answers.
    constexpr std::uint32_t halvingTotal = 512;
    /// Quantile used as the estimate. It is above the median, because an answer that is longer than estimated delays
    /// the requests queued behind it.
    constexpr double quantile = 0.6;
    constexpr std::int64_t maxLength = std::int64_t(1) << 20;

} // namespace

std::size_t OutputEstimator::bucketOf(std::int64_t tokens)
{
    double position = 2 * std::log2(static_cast<double>(std::clamp<std::int64_t>(tokens, 1, maxLength)));
    return std::min(static_cast<std::size_t>(position), bucketCount - 1);
}

std::int64_t OutputEstimator::bucketUpperBound(std::size_t bucket)
{
    return static_cast<std::int64_t>(std::exp2(static_cast<double>(bucket + 1) / 2));
}

void OutputEstimator::add(Histogram& histogram, std::size_t bucket)
{
    ++histogram.counts[bucket];
    if (++histogram.total < halvingTotal)
        return;
    histogram.total = 0;
    for (std::uint16_t& count : histogram.counts) {
        count /= 2;
        histogram.total += count;
    }
}

void OutputEstimator::observe(const ClassId& requestClass, const AccountId& account, Tokens output)
{
    if (output.value() <= 0)
        return;
    ClassLengths& lengths = m_classes[requestClass];
    std::size_t bucket = bucketOf(output.value());
    add(lengths.all, bucket);
    add(lengths.accounts[account], bucket);
}

std::int64_t OutputEstimator::quantileAbove(const Histogram& histogram, std::int64_t soFar)
{
    std::size_t first = soFar > 0 ? bucketOf(soFar) : 0;
    std::uint32_t above = 0;
    for (std::size_t b = first; b < bucketCount; ++b)
        above += histogram.counts[b];
    if (above == 0)
        return soFar * 2;
    double threshold = quantile * above;
    double cumulative = 0;
    for (std::size_t b = first; b < bucketCount; ++b) {
        cumulative += histogram.counts[b];
        if (cumulative >= threshold)
            return bucketUpperBound(b);
    }
    return maxLength;
}

Tokens OutputEstimator::estimate(
    const ClassId& requestClass, const AccountId& account, Tokens fallback, Tokens soFar) const
{
    std::int64_t result = std::max<std::int64_t>(fallback.value(), 0);
    auto known = m_classes.find(requestClass);
    if (known != m_classes.end()) {
        auto own = known->second.accounts.find(account);
        if (own != known->second.accounts.end() && own->second.total >= minAnswersOfAccount)
            result = quantileAbove(own->second, soFar.value());
        else if (known->second.all.total >= minAnswersOfClass)
            result = quantileAbove(known->second.all, soFar.value());
    }
    // An answer longer than every recorded one is assumed to be half complete.
    if (soFar.value() > 0 && result <= soFar.value())
        result = std::min(soFar.value(), maxLength) * 2;
    return Tokens(result);
}

} // namespace wisteriayard
