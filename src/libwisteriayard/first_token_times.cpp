#include "wisteriayard/first_token_times.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// A single sample may include the wait behind prompts that this entry didn't know, and is no estimate.
    constexpr std::size_t minSamples = 3;
    constexpr Duration maxReportAge = std::chrono::seconds(15);
    constexpr std::size_t maxPeers = 256;
    /// Reports of an entry after which its mean follows the latest ones.
    constexpr int maxReportWeight = 8;

} // namespace

void FirstTokenTimes::addReport(const InstanceId& peer, double time, TimePoint at)
{
    if (m_reports.size() >= maxPeers && m_reports.count(peer) == 0)
        return;
    Report& report = m_reports[peer];
    report.count = std::min(maxReportWeight, report.count + 1);
    report.mean += (time - report.mean) / report.count;
    report.at = std::max(report.at, at);
}

std::optional<double> FirstTokenTimes::median(TimePoint now) const
{
    std::vector<double> times = m_own;
    for (const auto& [peer, report] : m_reports) {
        if (now - report.at < maxReportAge)
            times.push_back(report.mean);
    }
    if (times.size() < minSamples)
        return std::nullopt;
    auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

} // namespace wisteriayard
