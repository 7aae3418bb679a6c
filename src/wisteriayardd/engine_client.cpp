#include "engine_client.h"

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    constexpr std::size_t maxEventBytes = 4 * 1024 * 1024;

    /// Parses the complete events of a stream, passes them to the handler and removes them from the buffer.
    /// @param pending buffer; an incomplete event stays in it
    /// @return whether the end-of-stream event was among them
    Result<bool> consumeEvents(std::string& pending, const EngineEventHandler& handler)
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
    HttpConnection& connection, std::string body, Duration idleTimeout, EngineEventHandler handler)
{
    auto request = makeHttpRequest(http::verb::post, "/v1/chat/completions", std::move(body));
    auto head = co_await connection.startExchange(std::move(request), idleTimeout);
    if (!head)
        co_return head.error();
    if (head.value().result() != http::status::ok)
        co_return fail(Errc::Protocol, "engine answered " + std::to_string(head.value().result_int()));
    std::string pending;
    bool done = false;
    while (true) {
        auto chunk = co_await connection.readSome(idleTimeout);
        if (!chunk)
            co_return chunk.error();
        if (chunk.value().empty())
            break;
        pending += chunk.value();
        auto ended = consumeEvents(pending, handler);
        if (!ended)
            co_return ended.error();
        done = done || ended.value();
    }
    if (!done)
        co_return fail(Errc::Protocol, "engine's stream ended without its end mark");
    co_return boost::outcome_v2::success();
}

} // namespace wisteriayard
