#pragma once

#include "http_client.h"
#include "scenario.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriayard::load {

/// Measurements of one request class.
struct ClassResult {
    std::int64_t sent = 0;
    std::int64_t complete = 0;
    std::int64_t outputTokens = 0;
    /// Error counts by status or error code.
    std::map<std::string, std::int64_t> errors;
    /// Measured from the intended send time, so that delays in sending count as latency.
    std::vector<Duration> timeToFirstToken;
    std::vector<Duration> totalTime;
    /// Mean inter-token time of each request.
    std::vector<Duration> interTokenTime;
};

/// Runs a scenario with open-loop arrivals: a slow server does not delay later requests.
class LoadRun {
public:
    LoadRun(boost::asio::io_context& io, const LoadScenario& scenario);

    /// Sends all requests and waits until they have completed.
    boost::asio::awaitable<void> run();
    std::string resultJson() const;
    /// Number of requests in flight.
    int openRequests() const { return m_openRequests; }
    const std::vector<ClassResult>& results() const { return m_results; }

private:
    boost::asio::awaitable<void> sendRequest(LoadArrival arrival);
    boost::asio::awaitable<void> streamChat(const LoadArrival& arrival, HttpConnection& connection);
    boost::asio::awaitable<void> sendUnary(const LoadArrival& arrival, HttpConnection& connection);
    boost::asio::awaitable<void> sleepUntil(TimePoint at);
    boost::asio::awaitable<void> reportProgress();
    std::unique_ptr<HttpConnection> acquireConnection(std::uint64_t number);
    HttpRequest makeRequest(const LoadArrival& arrival) const;
    TimePoint intendedSendTime(const LoadArrival& arrival) const { return m_start + arrival.at; }

    boost::asio::io_context& m_io;
    LoadScenario m_scenario;
    std::vector<ClassResult> m_results;
    std::vector<std::vector<std::unique_ptr<HttpConnection>>> m_idle;
    TimePoint m_start {};
    int m_openRequests = 0;
    bool m_done = false;
};

/// Returns a quantile of a sorted list, by the nearest-rank method; 0 if the list is empty.
/// @param fraction from 0 to 1
Duration quantile(const std::vector<Duration>& sorted, double fraction);

} // namespace wisteriayard::load
