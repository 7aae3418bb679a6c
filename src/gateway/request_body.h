#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace wisteriayard {

/// Memory of a body that is being received. It doubles as bytes arrive, so that a caller that states a large body and
/// sends it slowly holds little.
/// @param size bytes of the body so far
/// @param stated length that the head states
/// @return size of the memory: at least 64 KiB and at most the stated length; without one, at least the size
std::uint64_t bodyMemory(std::uint64_t size, const boost::optional<std::uint64_t>& stated);

/// Body type of the parser of requests: a string whose capacity is that of bodyMemory(). The one of the library
/// allocates the stated length at once.
struct RequestBody {
    using value_type = std::string;

    // NOLINTNEXTLINE(readability-identifier-naming): the parser requires this name
    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, std::string& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& stated, boost::system::error_code& error)
        {
            m_stated = stated;
            error = {};
        }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            std::size_t more = boost::beast::buffer_bytes(buffers);
            growTo(m_body.size() + more);
            for (boost::asio::const_buffer each : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(each.data()), each.size());
            error = {};
            return more;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        void growTo(std::size_t size);

        std::string& m_body;
        boost::optional<std::uint64_t> m_stated;
    };
};

} // namespace wisteriayard
