// Fake plain HTTP service: each POST that executes is recorded, GET only reads.
#include "fakes.h"

#include <memory>

namespace wisteriayard::fakes {

namespace {

    namespace http = boost::beast::http;

    constexpr Duration holdPollInterval = std::chrono::milliseconds(2);

    class FakeService {
    public:
        FakeService(boost::asio::io_context& io, const Settings& settings)
            : m_io(io)
            , m_settings(settings)
        {
        }

        boost::asio::awaitable<HandlerResult> handle(HttpRequest request)
        {
            std::string path(request.target());
            if (path == "/fake/executions")
                co_return jsonResponse(m_executions);
            if (path == "/fake/faults")
                co_return setFaults(request.body());
            if (path == "/fake/stats")
                co_return jsonResponse({ { "held", m_heldCalls } });
            if (m_delayMs > 0)
                co_await sleepFor(m_io, std::chrono::milliseconds(m_delayMs));
            if (request.method() == http::verb::get)
                co_return read(path);
            if (m_refuse)
                co_return errorResponse(http::status::service_unavailable, "service refuses");
            m_heldCalls += m_holdBeforeExecution;
            while (m_holdBeforeExecution)
                co_await sleepFor(m_io, holdPollInterval);
            HandlerResult result = execute(path, request);
            while (m_holdAfterExecution)
                co_await sleepFor(m_io, holdPollInterval);
            co_return result;
        }

    private:
        HandlerResult setFaults(const std::string& text)
        {
            Json json = Json::parse(text, nullptr, false);
            if (!json.is_object())
                return errorResponse(http::status::bad_request, "faults are not a JSON object");
            m_delayMs = json.value("delay_ms", 0);
            m_responsesToDrop = json.value("lose_answers", 0);
            m_refuse = json.value("refuse", false);
            m_holdBeforeExecution = json.value("hold_before", false);
            m_holdAfterExecution = json.value("hold_after", false);
            return jsonResponse(Json::object());
        }

        HandlerResult read(const std::string& path) const
        {
            return jsonResponse({ { "service", m_settings.service }, { "path", path }, { "version", 7 } });
        }

        HandlerResult execute(const std::string& path, const HttpRequest& request)
        {
            std::string head;
            for (const auto& header : request)
                head += std::string(header.name_string()) + ": " + std::string(header.value()) + "\n";
            m_executions.push_back({ { "path", path }, { "body", request.body() }, { "head", head } });
            if (m_responsesToDrop > 0) {
                --m_responsesToDrop;
                return dropResponse();
            }
            return jsonResponse({ { "service", m_settings.service }, { "receipt", m_executions.size() } });
        }

        boost::asio::io_context& m_io;
        Settings m_settings;
        Json m_executions = Json::array();
        int m_delayMs = 0;
        int m_responsesToDrop = 0;
        bool m_refuse = false;
        /// Holds calls before or after their execution until this is cleared.
        bool m_holdBeforeExecution = false;
        bool m_holdAfterExecution = false;
        /// Number of calls held before their execution so far.
        int m_heldCalls = 0;
    };

} // namespace

HttpHandler makeServiceHandler(boost::asio::io_context& io, const Settings& settings)
{
    auto service = std::make_shared<FakeService>(io, settings);
    return [service](HttpRequest request, HttpStreamWriter&) { return service->handle(std::move(request)); };
}

} // namespace wisteriayard::fakes
