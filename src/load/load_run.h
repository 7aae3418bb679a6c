#pragma once

#include "http_client.h"
#include "scenario.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriayard::load {

/// What was seen of one class.
struct ClassResult {
    std::int64_t sent = 0;
    std::int64_t complete = 0;
    std::int64_t tokens = 0;
    /// Errors by status or code.
    std::map<std::string, std::int64_t> errors;
    /// From the intended send time.
    std::vector<Duration> firstToken;
    std::vector<Duration> total;
    /// Mean time between two tokens, one value for each request.
    std::vector<Duration> betweenTokens;
};

/// Runs a scenario once: open loop, so that a slow server does not slow the arrivals down.
class LoadRun {
public:
    LoadRun(boost::asio::io_context& io, const LoadScenario& scenario);

    /// Sends all requests and waits for their ends.
    boost::asio::awaitable<void> run();
    /// Results as JSON.
    std::string resultJson() const;
    /// Requests that are open now.
    int open() const { return m_open; }
    const std::vector<ClassResult>& results() const { return m_results; }

private:
    boost::asio::awaitable<void> one(LoadArrival arrival);
    boost::asio::awaitable<void> chat(const LoadArrival& arrival, HttpConnection& connection);
    boost::asio::awaitable<void> call(const LoadArrival& arrival, HttpConnection& connection);
    boost::asio::awaitable<void> sleepUntil(TimePoint at);
    boost::asio::awaitable<void> showProgress();
    std::unique_ptr<HttpConnection> takeConnection(std::uint64_t number);
    HttpRequest makeRequest(const LoadArrival& arrival) const;
    TimePoint intended(const LoadArrival& arrival) const { return m_start + arrival.at; }

    boost::asio::io_context& m_io;
    LoadScenario m_scenario;
    std::vector<ClassResult> m_results;
    std::vector<std::vector<std::unique_ptr<HttpConnection>>> m_idle;
    TimePoint m_start {};
    int m_open = 0;
    bool m_done = false;
};

/// Value at a part of a sorted list, 0 if it is empty.
/// @param part from 0 to 1
Duration quantile(const std::vector<Duration>& sorted, double part);

} // namespace wisteriayard::load
