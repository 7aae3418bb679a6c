#include "address.h"
#include "commands.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <iostream>

namespace wisteriayard::ctl {

namespace http = boost::beast::http;

namespace {

    using Json = nlohmann::json;

    constexpr Duration queryTimeout = std::chrono::seconds(2);
    constexpr Bytes maxReport { 16 * 1024 * 1024 };

    /// Parses `ID:TOKENS,...`, the form in which requests state their prompt.
    Result<Json> parsePrompt(std::string_view text)
    {
        Json prompt = Json::array();
        while (!text.empty()) {
            std::string_view segment = text.substr(0, text.find(','));
            text.remove_prefix(std::min(text.size(), segment.size() + 1));
            std::size_t colon = segment.find(':');
            std::string_view count = colon == std::string_view::npos ? "" : segment.substr(colon + 1);
            std::int64_t tokens = 0;
            auto [end, error] = std::from_chars(count.data(), count.data() + count.size(), tokens);
            if (count.empty() || error != std::errc() || end != count.data() + count.size())
                return fail(Errc::InvalidArgument, "--prompt: expected ID:TOKENS,..., got " + std::string(segment));
            prompt.push_back({ { "id", segment.substr(0, colon) }, { "tokens", tokens } });
        }
        return prompt;
    }

    void printTarget(const Json& target)
    {
        std::cout << "service " << target.value("target", "") << ", weight " << target.value("weight", 0) << ": ";
        if (target.contains("refusal"))
            std::cout << "refused, " << target.value("refusal", "") << ", retry after "
                      << target.value("retry_after_ms", 0) << " ms";
        else
            std::cout << "endpoint " << target.value("endpoint", "");
        std::cout << ", first event expected in " << target.value("first_event_ms", 0) << " ms\n";
        std::cout << "  " << std::left << std::setw(24) << "endpoint" << std::setw(12) << "zone" << std::right
                  << std::setw(9) << "cost_ms" << std::setw(10) << "first_ms" << std::setw(10) << "uncached"
                  << std::setw(8) << "ahead" << std::setw(9) << "running"
                  << "  notes\n";
        for (const Json& row : target.value("candidates", Json::array())) {
            std::string notes = row["exclusion"].is_string() ? "excluded: " + row["exclusion"].get<std::string>() : "";
            notes += row.value("preferred", false) ? " preferred" : "";
            notes += row.value("queued", false) ? " queued" : "";
            std::cout << "  " << std::left << std::setw(24) << row.value("endpoint", "") << std::setw(12)
                      << row.value("zone", "") << std::right << std::setw(9) << row.value("cost_ms", 0) << std::setw(10)
                      << row.value("first_event_ms", 0) << std::setw(10) << row.value("uncached_tokens", 0)
                      << std::setw(8) << row.value("tokens_ahead", 0) << std::setw(9) << row.value("running", 0) << "  "
                      << notes << '\n';
        }
    }

    bool isPlaced(const Json& report)
    {
        const Json targets = report.value("targets", Json::array());
        return std::none_of(targets.begin(), targets.end(),
            [](const Json& each) { return each.contains("refusal") && each.value("weight", 1) > 0; });
    }

} // namespace

Command where(Context& context, const Arguments& arguments)
{
    auto prompt = parsePrompt(arguments.prompt);
    if (context.entries.size() != 1 || !prompt) {
        std::string problem = prompt ? "--entry: expected the metrics address of one gateway" : prompt.error().message;
        std::cerr << "wisteriayardctl: where: " << problem << "; see --help\n";
        co_return ExitCode::Usage;
    }
    Json query;
    query["route"] = arguments.words[0];
    if (!arguments.account.empty())
        query["account"] = arguments.account;
    query["prompt"] = prompt.value();
    if (arguments.outputTokens)
        query["output_tokens"] = *arguments.outputTokens;
    if (arguments.timeLeftMs)
        query["time_left_ms"] = *arguments.timeLeftMs;
    HttpConnection connection(context.io.get_executor(), context.entries[0], maxReport);
    HttpRequest request = makeHttpRequest(http::verb::post, "/where", query.dump());
    auto exchanged = co_await connection.exchange(std::move(request), queryTimeout);
    if (!exchanged)
        co_return exchanged.error();
    const HttpResponse& response = exchanged.value();
    if (response.result() == http::status::service_unavailable)
        co_return fail(Errc::Unavailable, response.body());
    if (response.result() == http::status::not_found || response.result() == http::status::bad_request)
        co_return fail(Errc::NotFound, response.body());
    Json report = Json::parse(response.body(), nullptr, false);
    if (response.result() != http::status::ok || !report.is_object())
        co_return fail(Errc::Protocol, formatAddress(context.entries[0]) + " is no gateway that knows this command");
    if (context.json) {
        std::cout << report.dump() << '\n';
    } else {
        for (const Json& target : report.value("targets", Json::array()))
            printTarget(target);
    }
    co_return isPlaced(report) ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace wisteriayard::ctl
