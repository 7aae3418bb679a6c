#include "commands.h"
#include "log_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace wisteriayard::ctl {

namespace {

    using Json = nlohmann::json;

    /// Returns a field as text, or an empty string if it is absent.
    std::string field(const Json& fields, const char* name)
    {
        auto it = fields.find(name);
        if (it == fields.end())
            return {};
        return it->is_string() ? it->get<std::string>() : it->dump();
    }

    std::string milliseconds(const Json& fields, const char* name)
    {
        constexpr std::int64_t microsecondsPerMillisecond = 1000;
        auto it = fields.find(name);
        if (it == fields.end() || !it->is_number_integer())
            return "?";
        return std::to_string(it->get<std::int64_t>() / microsecondsPerMillisecond) + " ms";
    }

    std::string describeRefusal(const Json& fields)
    {
        std::string rule = field(fields, "rule");
        std::string text = "refused with " + field(fields, "code") + " by the rule " + rule;
        if (rule == "key_not_valid")
            return text + ": the key with hash " + field(fields, "key_hash") + " was " + field(fields, "key_state")
                + " at revision " + field(fields, "key_revision");
        if (fields.contains("waited_us"))
            text += " after it waited " + milliseconds(fields, "waited_us") + " of at most "
                + milliseconds(fields, "longest_wait_us") + " as class " + field(fields, "class") + " of "
                + field(fields, "account");
        else if (rule == "no_class")
            text += ": no class of " + field(fields, "account") + " matches " + field(fields, "method") + " "
                + field(fields, "target") + field(fields, "path");
        return text + ", contract revision " + field(fields, "contract_revision");
    }

    /// Describes a log event in one sentence.
    std::string describeEvent(const Json& line)
    {
        const Json& fields = line["fields"];
        std::string name = field(line, "name");
        if (name == "request_classified")
            return "account " + field(fields, "account") + " by its key at revision " + field(fields, "key_revision")
                + "; class " + field(fields, "class") + " is the first that matches " + field(fields, "target")
                + field(fields, "path") + ", contract revision " + field(fields, "contract_revision");
        if (name == "request_admitted")
            return "placed at " + field(fields, "endpoint") + " after a wait of " + milliseconds(fields, "waited_us")
                + " by the rule " + field(fields, "rule") + ", attempt " + field(fields, "attempt")
                + ", contract revision " + field(fields, "contract_revision");
        if (name == "request_refused")
            return describeRefusal(fields);
        if (name == "attempt_failed")
            return "attempt " + field(fields, "attempt") + " at " + field(fields, "endpoint") + " failed: "
                + field(fields, "reason") + (field(fields, "never_ran") == "true" ? "; it was not executed" : "");
        if (name == "request_preempted")
            return "preempted at " + field(fields, "endpoint") + " by a request of tier top";
        if (name == "request_revoked")
            return "ended by the rule " + field(fields, "rule") + "; key " + field(fields, "key_state")
                + " at revision " + field(fields, "key_revision");
        if (name == "request_failed")
            return "the caller received the error " + field(fields, "code") + ", outcome " + field(fields, "outcome");
        if (name == "request_finished")
            return "complete response of " + field(fields, "output_tokens") + " tokens from "
                + field(fields, "endpoint") + " after " + milliseconds(fields, "total_us");
        return name + " " + fields.dump();
    }

    bool concernsRequest(const Json& line, const std::string& request)
    {
        return line.is_object() && line.contains("fields") && line["fields"].is_object()
            && field(line["fields"], "request") == request;
    }

    std::int64_t integerField(const Json& line, const char* name)
    {
        auto it = line.find(name);
        return it != line.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
    }

    Result<std::vector<Json>> readRequestEvents(const std::vector<std::string>& files, const std::string& request)
    {
        std::vector<Json> found;
        for (const std::string& file : files) {
            BOOST_OUTCOME_TRY(readLines(file, [&](std::size_t, const std::string& text) {
                if (text.find(request) == std::string::npos)
                    return;
                Json line = Json::parse(text, nullptr, false);
                if (concernsRequest(line, request))
                    found.push_back(std::move(line));
            }));
        }
        std::stable_sort(found.begin(), found.end(), [](const Json& a, const Json& b) {
            auto timeA = integerField(a, "time_ms");
            auto timeB = integerField(b, "time_ms");
            return timeA != timeB ? timeA < timeB : integerField(a, "seq") < integerField(b, "seq");
        });
        return found;
    }

} // namespace

Command explain(Context& context, const Arguments& arguments)
{
    if (arguments.logFiles.empty()) {
        std::cerr << "wisteriayardctl: explain needs --log FILE...; see --help\n";
        co_return ExitCode::Usage;
    }
    const std::string& request = arguments.words[0];
    auto lines = readRequestEvents(arguments.logFiles, request);
    if (!lines)
        co_return lines.error();
    if (lines.value().empty())
        co_return fail(Errc::NotFound, "no record of request " + request + " in the logs");
    Json events = Json::array();
    const std::int64_t start = integerField(lines.value().front(), "time_ms");
    for (Json& line : lines.value()) {
        std::string text = describeEvent(line);
        if (!context.json)
            std::cout << '+' << integerField(line, "time_ms") - start << " ms " << field(line, "instance") << ": "
                      << text << '\n';
        line["explanation"] = text;
        events.push_back(std::move(line));
    }
    Json result = Json::object();
    result["request"] = request;
    result["events"] = std::move(events);
    if (context.json)
        std::cout << result.dump() << '\n';
    co_return ExitCode::Ok;
}

} // namespace wisteriayard::ctl
