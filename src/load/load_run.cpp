#include "load_run.h"

#include "clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>

namespace wisteriayard::load {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

    constexpr Duration requestTimeout = std::chrono::seconds(120);
    constexpr Duration progressInterval = std::chrono::seconds(1);
    constexpr Duration drainPoll = std::chrono::milliseconds(5);
    constexpr Bytes maxResponseBytes { 64 * 1024 * 1024 };

    Json quantilesJson(std::vector<Duration> values)
    {
        std::sort(values.begin(), values.end());
        auto milliseconds
            = [&](double fraction) { return static_cast<double>(quantile(values, fraction).count()) / 1000; };
        return { { "count", values.size() }, { "p50_ms", milliseconds(0.5) }, { "p95_ms", milliseconds(0.95) },
            { "p99_ms", milliseconds(0.99) }, { "p999_ms", milliseconds(0.999) }, { "max_ms", milliseconds(1) } };
    }

    /// Counts the tokens in a chunk of an event stream.
    std::int64_t countTokens(std::string_view text)
    {
        constexpr std::string_view mark = "\"content\":";
        std::int64_t count = 0;
        for (std::size_t at = text.find(mark); at != std::string_view::npos; at = text.find(mark, at + mark.size()))
            ++count;
        return count;
    }

    std::string errorCode(const HttpResponse& response)
    {
        Json body = Json::parse(response.body(), nullptr, false);
        std::string code = std::to_string(response.result_int());
        if (body.is_object() && body.contains("error") && body["error"].is_object())
            code += " " + body["error"].value("code", "");
        return code;
    }

} // namespace

Duration quantile(const std::vector<Duration>& sorted, double fraction)
{
    if (sorted.empty())
        return Duration(0);
    auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size(), std::max<std::size_t>(rank, 1)) - 1];
}

LoadRun::LoadRun(boost::asio::io_context& io, const LoadScenario& scenario)
    : m_io(io)
    , m_scenario(scenario)
    , m_results(scenario.classes.size())
    , m_idle(scenario.targets.size())
{
}

boost::asio::awaitable<void> LoadRun::sleepUntil(TimePoint at)
{
    boost::asio::steady_timer timer(m_io);
    Duration wait = at - bootTimeNow();
    if (wait <= Duration(0))
        co_return;
    timer.expires_after(wait);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<void> LoadRun::run()
{
    auto arrivals = drawArrivals(m_scenario);
    m_start = bootTimeNow();
    boost::asio::co_spawn(
        m_io, [this] { return reportProgress(); }, boost::asio::detached);
    for (const LoadArrival& arrival : arrivals) {
        co_await sleepUntil(intendedSendTime(arrival));
        ClassResult& result = m_results[arrival.classIndex];
        ++result.sent;
        if (m_openRequests >= m_scenario.maxConnections) {
            ++result.errors["too many connections"];
            continue;
        }
        ++m_openRequests;
        boost::asio::co_spawn(
            m_io, [this, arrival] { return sendRequest(arrival); }, boost::asio::detached);
    }
    while (m_openRequests > 0)
        co_await sleepUntil(bootTimeNow() + drainPoll);
    m_done = true;
}

boost::asio::awaitable<void> LoadRun::reportProgress()
{
    while (!m_done) {
        co_await sleepUntil(bootTimeNow() + progressInterval);
        std::int64_t sent = 0;
        std::int64_t complete = 0;
        for (const ClassResult& result : m_results) {
            sent += result.sent;
            complete += result.complete;
        }
        std::cerr << "sent " << sent << ", complete " << complete << ", open " << m_openRequests << '\n';
    }
}

std::unique_ptr<HttpConnection> LoadRun::acquireConnection(std::uint64_t number)
{
    std::size_t target = number % m_scenario.targets.size();
    auto& idle = m_idle[target];
    if (idle.empty())
        return std::make_unique<HttpConnection>(m_io.get_executor(), m_scenario.targets[target], maxResponseBytes);
    auto connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

HttpRequest LoadRun::makeRequest(const LoadArrival& arrival) const
{
    const LoadClass& each = m_scenario.classes[arrival.classIndex];
    HttpRequest request;
    if (each.model.empty()) {
        auto method = http::string_to_verb(each.method);
        request = makeHttpRequest(method, each.path, method == http::verb::get ? "" : "{}");
    } else {
        std::string prompt(static_cast<std::size_t>(each.promptCharacters), 'x');
        prompt += " " + std::to_string(arrival.number) + " length=" + std::to_string(arrival.outputTokens);
        Json message = { { "role", "user" }, { "content", prompt } };
        Json body = { { "model", each.model }, { "stream", each.stream }, { "messages", Json::array({ message }) } };
        if (each.maxTokens > 0)
            body["max_tokens"] = each.maxTokens;
        request = makeHttpRequest(http::verb::post, "/v1/chat/completions", body.dump());
    }
    if (!each.key.empty())
        request.set(http::field::authorization, "Bearer " + each.key);
    if (each.idempotencyKey)
        request.set("Idempotency-Key", std::to_string(m_scenario.seed) + "-" + std::to_string(arrival.number));
    return request;
}

boost::asio::awaitable<void> LoadRun::sendRequest(LoadArrival arrival)
{
    auto connection = acquireConnection(arrival.number);
    const LoadClass& each = m_scenario.classes[arrival.classIndex];
    if (!each.model.empty() && each.stream)
        co_await streamChat(arrival, *connection);
    else
        co_await sendUnary(arrival, *connection);
    if (connection->isOpen())
        m_idle[arrival.number % m_scenario.targets.size()].push_back(std::move(connection));
    --m_openRequests;
}

boost::asio::awaitable<void> LoadRun::sendUnary(const LoadArrival& arrival, HttpConnection& connection)
{
    ClassResult& result = m_results[arrival.classIndex];
    auto response = co_await connection.exchange(makeRequest(arrival), requestTimeout);
    if (!response) {
        ++result.errors[std::string(errcName(response.error().code))];
        co_return;
    }
    if (response.value().result() != http::status::ok) {
        ++result.errors[errorCode(response.value())];
        co_return;
    }
    ++result.complete;
    result.totalTime.push_back(bootTimeNow() - intendedSendTime(arrival));
}

boost::asio::awaitable<void> LoadRun::streamChat(const LoadArrival& arrival, HttpConnection& connection)
{
    ClassResult& result = m_results[arrival.classIndex];
    auto head = co_await connection.startExchange(makeRequest(arrival), requestTimeout);
    if (!head) {
        ++result.errors[std::string(errcName(head.error().code))];
        co_return;
    }
    TimePoint first {};
    std::int64_t tokens = 0;
    std::string body;
    bool done = false;
    bool streamed = head.value().result() == http::status::ok;
    while (true) {
        auto chunk = co_await connection.readSome(requestTimeout);
        if (!chunk) {
            ++result.errors["stream cut"];
            co_return;
        }
        if (chunk.value().empty())
            break;
        if (!streamed) {
            body += chunk.value();
            continue;
        }
        std::int64_t count = countTokens(chunk.value());
        if (tokens == 0 && count > 0)
            first = bootTimeNow();
        tokens += count;
        done = done || chunk.value().find("data: [DONE]") != std::string::npos;
    }
    if (!streamed || !done) {
        head.value().body() = std::move(body);
        ++result.errors[streamed ? std::string("no end mark") : errorCode(head.value())];
        co_return;
    }
    TimePoint now = bootTimeNow();
    ++result.complete;
    result.outputTokens += tokens;
    result.timeToFirstToken.push_back(first - intendedSendTime(arrival));
    result.totalTime.push_back(now - intendedSendTime(arrival));
    if (tokens > 1)
        result.interTokenTime.push_back((now - first) / (tokens - 1));
}

std::string LoadRun::resultJson() const
{
    Json classes = Json::array();
    for (std::size_t i = 0; i < m_results.size(); ++i) {
        const ClassResult& result = m_results[i];
        Json each = { { "class", m_scenario.classes[i].name }, { "sent", result.sent }, { "complete", result.complete },
            { "output_tokens", result.outputTokens }, { "errors", result.errors },
            { "first_token", quantilesJson(result.timeToFirstToken) }, { "total", quantilesJson(result.totalTime) },
            { "between_tokens", quantilesJson(result.interTokenTime) } };
        classes.push_back(std::move(each));
    }
    double seconds = std::chrono::duration<double>(m_scenario.duration).count();
    return Json({ { "duration_s", seconds }, { "seed", m_scenario.seed }, { "classes", classes } }).dump(2);
}

} // namespace wisteriayard::load
