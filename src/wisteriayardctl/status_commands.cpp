#include "address.h"
#include "commands.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace wisteriayard::ctl {

namespace http = boost::beast::http;

namespace {

    using Json = nlohmann::json;

    constexpr Duration statusTimeout = std::chrono::seconds(2);
    constexpr Bytes maxStatus { 16 * 1024 * 1024 };

    void printRow(const std::string& address, const Json& status)
    {
        if (!status.is_object()) {
            std::cout << std::left << std::setw(22) << address << " unreachable\n";
            return;
        }
        std::cout << std::left << std::setw(22) << address << ' ' << std::setw(16) << status.value("instance", "")
                  << ' ' << std::setw(14) << status.value("zone", "") << ' ' << std::setw(10)
                  << (status.value("ready", false) ? "ready" : "not ready") << std::right << ' ' << std::setw(8)
                  << status.value("view_revision", std::int64_t(0)) << ' ' << std::setw(8)
                  << status.value("view_age_ms", std::int64_t(0)) << ' ' << std::setw(7)
                  << status.value("queued", std::int64_t(0)) << ' ' << std::setw(8)
                  << status.value("running", std::int64_t(0)) << ' ' << std::setw(9)
                  << status.value("endpoints", Json::array()).size() << '\n';
    }

    void printHeader()
    {
        std::cout << std::left << std::setw(22) << "entry" << ' ' << std::setw(16) << "instance" << ' ' << std::setw(14)
                  << "zone" << ' ' << std::setw(10) << "state" << std::right << ' ' << std::setw(8) << "revision" << ' '
                  << std::setw(8) << "age_ms" << ' ' << std::setw(7) << "queued" << ' ' << std::setw(8) << "running"
                  << ' ' << std::setw(9) << "endpoints" << '\n';
    }

} // namespace

Command status(Context& context, const Arguments&)
{
    Json all = Json::array();
    bool complete = true;
    if (!context.json)
        printHeader();
    for (const auto& entry : context.entries) {
        HttpConnection connection(context.io.get_executor(), entry, maxStatus);
        auto response = co_await connection.exchange(makeHttpRequest(http::verb::get, "/status"), statusTimeout);
        Json json = response ? Json::parse(response.value().body(), nullptr, false) : Json();
        complete = complete && json.is_object();
        all.push_back(json);
        if (!context.json)
            printRow(formatAddress(entry), json);
    }
    if (context.json)
        std::cout << all.dump() << '\n';
    co_return complete ? ExitCode::Ok : ExitCode::Unavailable;
}

} // namespace wisteriayard::ctl
