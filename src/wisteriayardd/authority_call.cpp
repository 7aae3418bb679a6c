#include "authority_call.h"

#include "clock.h"
#include "guarded_section.h"
#include "http_client.h"

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace {

    constexpr Bytes maxResponse { 64 * 1024 };

} // namespace

awaitable<Status> postWithAuthority(boost::asio::any_io_executor executor, LeaseKeeper& keeper,
    boost::asio::ip::tcp::endpoint server, std::string path, std::string body)
{
    auto deadline = keeper.authorityEnds(bootTimeNow());
    if (!deadline)
        co_return fail(Errc::Unauthorized, "the lease is not held");
    HttpConnection connection(std::move(executor), std::move(server), maxResponse);
    connection.discardUnsentOnClose();
    auto section = GuardedSection::enter(*deadline, keeper.times().safetyMargin);
    if (!section)
        co_return section.error();
    auto request = makeHttpRequest(http::verb::post, path, std::move(body));
    auto response = co_await connection.exchange(std::move(request), section.value()->workTime());
    // Closed inside the section, so that no bytes of the call are sent after it.
    connection.close();
    section.value().reset();
    if (!response)
        co_return response.error();
    auto status = response.value().result();
    if (status == http::status::conflict)
        co_return fail(Errc::Conflict, "the receiver refused the request: " + response.value().body().substr(0, 200));
    if (status == http::status::service_unavailable)
        co_return fail(
            Errc::Unavailable, "the receiver refused the request: " + response.value().body().substr(0, 200));
    if (status != http::status::ok)
        co_return fail(
            Errc::Protocol, "the receiver responded with HTTP status " + std::to_string(response.value().result_int()));
    co_return boost::outcome_v2::success();
}

} // namespace wisteriayard
