#include "engine_client.h"

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    constexpr std::size_t maxEventBytes = 4 * 1024 * 1024;

    /// Takes complete events out of the text.
    /// @return whether the end mark came
    Result<bool> takeEvents(std::string& pending, const EngineEventHandler& handler)
    {
        constexpr std::string_view field = "data: ";
        std::size_t begin = 0;
        bool done = false;
        for (std::size_t end; (end = pending.find('\n', begin)) != std::string::npos; begin = end + 1) {
            std::string_view line = std::string_view(pending).substr(begin, end - begin);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            if (line.substr(0, field.size()) != field)
                continue;
            BOOST_OUTCOME_TRY(auto event, parseEngineEvent(line.substr(field.size())));
            done = done || event.done;
            handler(event);
        }
        pending.erase(0, begin);
        if (pending.size() > maxEventBytes)
            return fail(Errc::Protocol, "engine event is too long");
        return done;
    }

} // namespace

boost::asio::awaitable<Status> runChat(
    HttpConnection& connection, std::string body, Duration silence, EngineEventHandler handler)
{
    auto request = makeHttpRequest(http::verb::post, "/v1/chat/completions", std::move(body));
    auto head = co_await connection.startExchange(std::move(request), silence);
    if (!head)
        co_return head.error();
    if (head.value().result() != http::status::ok)
        co_return fail(Errc::Protocol, "engine answered " + std::to_string(head.value().result_int()));
    std::string pending;
    bool done = false;
    while (true) {
        auto part = co_await connection.readSome(silence);
        if (!part)
            co_return part.error();
        if (part.value().empty())
            break;
        pending += part.value();
        auto taken = takeEvents(pending, handler);
        if (!taken)
            co_return taken.error();
        done = done || taken.value();
    }
    if (!done)
        co_return fail(Errc::Protocol, "engine's stream ended without its end mark");
    co_return boost::outcome_v2::success();
}

} // namespace wisteriayard
