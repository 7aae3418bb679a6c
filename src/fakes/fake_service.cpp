// Plain service: POST has an effect each time that it runs, GET reads.
#include "fakes.h"

#include <memory>

namespace wisteriayard::fakes {

namespace {

    namespace http = boost::beast::http;

    constexpr Duration holdPoll = std::chrono::milliseconds(2);

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
                co_return jsonResponse({ { "held", m_held } });
            if (m_delayMs > 0)
                co_await sleepFor(m_io, std::chrono::milliseconds(m_delayMs));
            if (request.method() == http::verb::get)
                co_return read(path);
            if (m_refuse)
                co_return errorResponse(http::status::service_unavailable, "service refuses");
            m_held += m_holdBefore;
            while (m_holdBefore)
                co_await sleepFor(m_io, holdPoll);
            HandlerResult result = execute(path, request);
            while (m_holdAfter)
                co_await sleepFor(m_io, holdPoll);
            co_return result;
        }

    private:
        HandlerResult setFaults(const std::string& text)
        {
            Json json = Json::parse(text, nullptr, false);
            if (!json.is_object())
                return errorResponse(http::status::bad_request, "faults are not a JSON object");
            m_delayMs = json.value("delay_ms", 0);
            m_loseAnswers = json.value("lose_answers", 0);
            m_refuse = json.value("refuse", false);
            m_holdBefore = json.value("hold_before", false);
            m_holdAfter = json.value("hold_after", false);
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
            if (m_loseAnswers > 0) {
                --m_loseAnswers;
                return lostAnswer();
            }
            return jsonResponse({ { "service", m_settings.service }, { "receipt", m_executions.size() } });
        }

        boost::asio::io_context& m_io;
        Settings m_settings;
        Json m_executions = Json::array();
        int m_delayMs = 0;
        int m_loseAnswers = 0;
        bool m_refuse = false;
        /// Calls wait before or after their effect until this ends.
        bool m_holdBefore = false;
        bool m_holdAfter = false;
        /// Calls that were held before their effect so far.
        int m_held = 0;
    };

} // namespace

HttpHandler makeServiceHandler(boost::asio::io_context& io, const Settings& settings)
{
    auto service = std::make_shared<FakeService>(io, settings);
    return [service](HttpRequest request, HttpStreamWriter&) { return service->handle(std::move(request)); };
}

} // namespace wisteriayard::fakes
