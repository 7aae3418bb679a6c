// Fake platform services: instance list, zone orders, usage reports and weight store.
#include "clock.h"
#include "fakes.h"

#include <deque>
#include <fstream>
#include <memory>

namespace wisteriayard::fakes {

namespace {

    namespace http = boost::beast::http;

    constexpr std::size_t weightsPerSecond = 2;

    class FakePlatform {
    public:
        FakePlatform(boost::asio::io_context& io, const Settings& settings)
            : m_io(io)
            , m_settings(settings)
        {
            std::ifstream file(settings.instancesFile);
            if (file)
                m_instances = Json::parse(file, nullptr, false);
            if (!m_instances.is_array())
                m_instances = Json::array();
        }

        boost::asio::awaitable<HandlerResult> handle(HttpRequest request)
        {
            std::string path(request.target());
            Json body = Json::parse(request.body(), nullptr, false);
            if (path == "/v1/instances")
                co_return instances();
            if (path == "/fake/instances") {
                // Simulates the lag of the instance list: the change takes effect after the requested delay.
                co_await sleepFor(m_io, std::chrono::milliseconds(body.value("lag_ms", 0)));
                m_instances = body.value("instances", Json::array());
                co_return jsonResponse(Json::object());
            }
            if (path == "/fake/orders")
                co_return jsonResponse(m_orders);
            if (path == "/fake/arrived")
                co_return jsonResponse({ { "arrived", m_receivedRequests } });
            if (path == "/fake/reports")
                co_return jsonResponse(m_reports);
            if (path == "/fake/faults") {
                m_responsesToDrop = body.value("lose_answers", 0);
                m_refuse = body.value("refuse", false);
                m_delayMs = body.value("delay_ms", 0);
                co_return jsonResponse(Json::object());
            }
            ++m_receivedRequests;
            if (m_delayMs > 0)
                co_await sleepFor(m_io, std::chrono::milliseconds(m_delayMs));
            if (m_refuse)
                co_return errorResponse(http::status::service_unavailable, "platform refuses");
            if (path.rfind("/v1/zones/", 0) == 0)
                co_return order(path, body);
            if (path == "/v1/usage-reports")
                co_return record(m_reports, body);
            if (path.rfind("/v1/weights/", 0) == 0)
                co_return weights(path);
            co_return errorResponse(http::status::not_found, "no such path: " + path);
        }

    private:
        HandlerResult instances() const { return jsonResponse({ { "instances", m_instances } }); }

        HandlerResult order(const std::string& path, Json body)
        {
            if (!body.is_object())
                return errorResponse(http::status::bad_request, "order is not a JSON object");
            std::int64_t epoch = body.value("epoch", std::int64_t(0));
            std::int64_t& highest = m_highestEpoch[path];
            if (m_settings.checkFencing && epoch < highest)
                return errorResponse(http::status::conflict, "epoch is older than " + std::to_string(highest));
            highest = std::max(highest, epoch);
            body["path"] = path;
            return record(m_orders, body);
        }

        HandlerResult record(Json& list, Json body)
        {
            body["received_at_us"] = bootTimeNow().time_since_epoch().count();
            list.push_back(std::move(body));
            if (m_responsesToDrop > 0) {
                --m_responsesToDrop;
                return dropResponse();
            }
            return jsonResponse({ { "accepted", true } });
        }

        HandlerResult weights(const std::string& path)
        {
            TimePoint now = bootTimeNow();
            while (!m_weightReads.empty() && now - m_weightReads.front() > std::chrono::seconds(1))
                m_weightReads.pop_front();
            if (m_weightReads.size() >= weightsPerSecond)
                return errorResponse(http::status::too_many_requests, "weight store: rate limit");
            m_weightReads.push_back(now);
            return jsonResponse({ { "weights", path } });
        }

        boost::asio::io_context& m_io;
        Settings m_settings;
        Json m_instances = Json::array();
        Json m_orders = Json::array();
        Json m_reports = Json::array();
        std::map<std::string, std::int64_t> m_highestEpoch;
        std::deque<TimePoint> m_weightReads;
        int m_responsesToDrop = 0;
        /// Number of orders, reports and weight reads received, including rejected ones.
        std::int64_t m_receivedRequests = 0;
        int m_delayMs = 0;
        bool m_refuse = false;
    };

} // namespace

HttpHandler makePlatformHandler(boost::asio::io_context& io, const Settings& settings)
{
    auto platform = std::make_shared<FakePlatform>(io, settings);
    return [platform](HttpRequest request, HttpStreamWriter&) { return platform->handle(std::move(request)); };
}

} // namespace wisteriayard::fakes
