#include "address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace wisteriayard {

Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    std::string host = text.substr(0, colon == std::string::npos ? 0 : colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const char* begin = colon == std::string::npos ? end : text.data() + colon + 1;
    auto parsed = std::from_chars(begin, end, port);
    if (error || begin == end || parsed.ec != std::errc() || parsed.ptr != end)
        return fail(Errc::InvalidArgument, "\"" + text + "\" is not an address; expected IP:port");
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::string formatAddress(const boost::asio::ip::tcp::endpoint& endpoint)
{
    std::string host = endpoint.address().to_string();
    if (endpoint.address().is_v6())
        host = "[" + host + "]";
    return host + ":" + std::to_string(endpoint.port());
}

} // namespace wisteriayard
