#include "authority_call.h"

#include "clock.h"
#include "guarded_section.h"
#include "http_client.h"

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace {

    constexpr Bytes maxAnswer { 64 * 1024 };

} // namespace

awaitable<Status> postWithAuthority(boost::asio::any_io_executor executor, LeaseKeeper& keeper,
    boost::asio::ip::tcp::endpoint server, std::string path, std::string body)
{
    auto deadline = keeper.authorityEnds(bootTimeNow());
    if (!deadline)
        co_return fail(Errc::Unauthorized, "the lease is not held");
    HttpConnection connection(std::move(executor), std::move(server), maxAnswer);
    connection.discardUnsentOnClose();
    auto section = GuardedSection::enter(*deadline, keeper.times().safetyMargin);
    if (!section)
        co_return section.error();
    auto request = makeHttpRequest(http::verb::post, path, std::move(body));
    auto response = co_await connection.exchange(std::move(request), section.value()->workTime());
    // Closed inside the section: nothing of the call can leave after it.
    connection.close();
    section.value().reset();
    if (!response)
        co_return response.error();
    auto status = response.value().result();
    if (status == http::status::conflict)
        co_return fail(Errc::Conflict, "refused: " + response.value().body().substr(0, 200));
    if (status == http::status::service_unavailable)
        co_return fail(Errc::Unavailable, "refused: " + response.value().body().substr(0, 200));
    if (status != http::status::ok)
        co_return fail(Errc::Protocol, "answered " + std::to_string(response.value().result_int()));
    co_return boost::outcome_v2::success();
}

} // namespace wisteriayard
