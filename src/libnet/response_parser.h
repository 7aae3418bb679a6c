#pragma once

#include "wisteriayard/error.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriayard {

/// Body type of a parser whose user takes the bytes as they arrive. The string of the library allocates the stated
/// length at once.
struct PartialBody {
    using value_type = std::string;

    // NOLINTNEXTLINE(readability-identifier-naming): the parser requires this name
    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, std::string& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            for (boost::asio::const_buffer each : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(each.data()), each.size());
            error = {};
            return boost::beast::buffer_bytes(buffers);
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        std::string& m_body;
    };
};

/// Incremental parser of one response. It limits the parts that the library's parser leaves unlimited, and refuses
/// folded lines, which the library's parser joins: other readers take them for fields, such as the length of the body.
class ResponseParser {
public:
    /// @param bodyless the response has no body regardless of its header, as for HEAD requests
    explicit ResponseParser(bool bodyless = false);

    /// Parses received bytes.
    /// @param input reduced by the bytes that were parsed; the rest has to be passed again before those that follow it
    /// @return Protocol if the bytes are no response, or exceed a limit
    Status parse(std::string_view& input);
    /// Ends the input. This completes a body without a length.
    /// @return whether the response is complete
    bool endInput();

    bool isHeadDone() const { return m_parser.is_header_done(); }
    bool isDone() const { return m_parser.is_done() && !m_isInvalid; }
    /// Whether the connection stays open after the response, as far as its header tells.
    bool keepsConnection() const { return m_parser.keep_alive(); }

    const boost::beast::http::response_header<>& head() const { return m_parser.get().base(); }
    /// Releases the fields that were received so far.
    void dropFields() { m_parser.get().base().clear(); }
    bool hasBodyPart() const { return !m_parser.get().body().empty(); }
    /// Removes the bytes of the body that were received so far.
    std::string takeBodyPart();

private:
    /// Checks the size of an unfinished head, and its first line as soon as it is known.
    Status checkUnfinishedHead(std::string_view input);
    /// Passes bytes to the library's parser.
    /// @param input reduced by the bytes that were parsed
    /// @param size upper limit on the bytes passed
    Status put(std::string_view& input, std::size_t size);

    boost::beast::http::response_parser<PartialBody> m_parser;
    /// Number of bytes without the end of the head.
    std::size_t m_searched = 0;
    bool m_isBodyBegun = false;
    bool m_isInvalid = false;
};

} // namespace wisteriayard
