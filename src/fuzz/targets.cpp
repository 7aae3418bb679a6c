#include "targets.h"

#include "caller_head.h"
#include "documents.h"
#include "peer_messages.h"
#include "response_head.h"
#include "store_json.h"
#include "wire_codec.h"
#include "wisteriayard/event_stream.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdio>
#include <cstdlib>
#include <limits>

namespace wisteriayard::fuzz {

namespace http = boost::beast::http;

namespace {

    const platform::HeaderCodec codec;

    void require(bool holds, const char* rule)
    {
        if (holds)
            return;
        std::fprintf(stderr, "broken: %s\n", rule);
        std::abort();
    }

    /// @return whether the bytes are a complete head
    template <typename Parser> bool parseHead(Parser& parser, std::string_view input)
    {
        parser.body_limit(boost::none);
        parser.header_limit(std::numeric_limits<std::uint32_t>::max());
        boost::system::error_code error;
        while (!input.empty() && !error && !parser.is_header_done())
            input.remove_prefix(parser.put(boost::asio::buffer(input), error));
        return !error && parser.is_header_done();
    }

    std::size_t fieldCount(const HttpFields& fields)
    {
        return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    }

    /// What is forwarded is one head with the same target, and no more fields than the caller sent.
    void runRequestHead(std::string_view input)
    {
        http::request_parser<http::string_body> parser;
        if (!parseHead(parser, input))
            return;
        ByteBudget budget { Bytes(std::numeric_limits<std::int64_t>::max()) };
        const RequestHead& fields = parser.get();
        CallerHead head(fields, codec, budget);
        http::request_parser<http::string_body> forwarded;
        require(parseHead(forwarded, *head.lines() + "\r\n"), "a forwarded request can be parsed");
        require(forwarded.get().target() == fields.target(), "the target is forwarded unchanged");
        require(forwarded.get().method_string() == fields.method_string(), "the method is forwarded unchanged");
        require(fieldCount(forwarded.get()) <= fieldCount(fields), "no field is added");
        for (const auto& field : forwarded.get())
            require(!codec.isReserved({ field.name_string().data(), field.name_string().size() }),
                "fields of the gateway are not taken from callers");
    }

    void runResponseHead(std::string_view input)
    {
        http::response_parser<http::string_body> parser;
        if (!parseHead(parser, input) || !checkResponseHead(parser.get()))
            return;
        const ResponseHead& fields = parser.get();
        ResponseTraits traits = codec.decodeResponse(fields.result_int(), fields);
        require(!traits.rateLimit || *traits.rateLimit >= RequestRate(0), "a rate limit is not negative");
        EndpointHead head(fields);
        for (BodyFraming framing : { BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose }) {
            http::response_parser<http::string_body> forwarded;
            require(
                parseHead(forwarded, callerResponseHead(head, framing, 5, true)), "a forwarded response can be parsed");
            require(forwarded.get().result_int() == fields.result_int(), "the status is forwarded unchanged");
            bool hasBody = !head.isBodyless(false) && !isInformational(fields);
            require(
                !hasBody || forwarded.chunked() == (framing == BodyFraming::Chunked), "the framing is the gateway's");
        }
    }

    std::string eventsOf(EventStream& events)
    {
        std::string text;
        while (auto event = events.next())
            text += event->text;
        return text;
    }

    /// The events do not depend on how the bytes are divided, and no byte is lost.
    void runEventStream(std::string_view input)
    {
        EventStream whole;
        whole.feed(input);
        std::string text = eventsOf(whole);
        require(text + whole.pendingBytes() == input, "events and the rest are the input");
        EventStream parts;
        std::string divided;
        for (std::size_t i = 0; i < input.size(); i += 7) {
            parts.feed(input.substr(i, 7));
            divided += eventsOf(parts);
        }
        require(divided == text, "events do not depend on the division of the input");
    }

    void runPeerMessage(std::string_view input)
    {
        auto message = decodePeerMessage(input);
        if (!message)
            return;
        auto again = decodePeerMessage(encodePeerMessage(message.value()));
        require(again.has_value(), "an encoded message can be decoded");
    }

    void runDocument(std::string_view input)
    {
        (void)platform::decodeSettings(input);
        (void)platform::decodeConfig(input);
        (void)platform::decodeEndpoint("e", input);
        (void)parseRange(input);
        (void)parseTransaction(input);
        (void)parseWatch(input);
        (void)parseLeaseGrant(input);
        (void)parseKeepAlive(input);
    }

} // namespace

const std::vector<Target>& targets()
{
    static const std::vector<Target> all { { "request_head", runRequestHead }, { "response_head", runResponseHead },
        { "event_stream", runEventStream }, { "peer_message", runPeerMessage }, { "document", runDocument } };
    return all;
}

} // namespace wisteriayard::fuzz
