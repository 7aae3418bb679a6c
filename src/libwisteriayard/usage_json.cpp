#include "wisteriayard/usage.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

using Json = nlohmann::json;

namespace {

    auto formError(const std::string& what) { return fail(Errc::Protocol, "usage record: " + what); }

    Json linesJson(const UsageLines& lines)
    {
        Json list = Json::array();
        for (const auto& [key, figures] : lines) {
            list.push_back({ { "account", key.account.value() }, { "class", key.requestClass.value() },
                { "requests", figures.requests }, { "prompt_tokens", figures.prompt.value() },
                { "cached_tokens", figures.cached.value() }, { "output_tokens", figures.output.value() },
                { "endpoint_us", figures.endpointTime.count() } });
        }
        return list;
    }

    void writeContent(Json& json, const UsageContent& content)
    {
        json["lines"] = linesJson(content.lines);
        Json late = Json::array();
        for (const auto& [window, lines] : content.late)
            late.push_back({ { "window", window.value() }, { "lines", linesJson(lines) } });
        json["late"] = late;
    }

    Result<std::int64_t> integer(const Json& json, const char* name)
    {
        auto it = json.find(name);
        if (it == json.end() || !it->is_number_integer())
            return formError(std::string(name) + " is not an integer");
        return it->get<std::int64_t>();
    }

    Result<std::string> text(const Json& json, const char* name)
    {
        auto it = json.find(name);
        if (it == json.end() || !it->is_string())
            return formError(std::string(name) + " is not a string");
        return it->get<std::string>();
    }

    Result<UsageLines> readLines(const Json& json)
    {
        auto list = json.find("lines");
        if (list == json.end() || !list->is_array())
            return formError("lines is not a list");
        UsageLines lines;
        for (const Json& item : *list) {
            if (!item.is_object())
                return formError("a line is not an object");
            BOOST_OUTCOME_TRY(auto account, text(item, "account"));
            BOOST_OUTCOME_TRY(auto requestClass, text(item, "class"));
            UsageFigures figures;
            BOOST_OUTCOME_TRY(figures.requests, integer(item, "requests"));
            BOOST_OUTCOME_TRY(auto prompt, integer(item, "prompt_tokens"));
            BOOST_OUTCOME_TRY(auto cached, integer(item, "cached_tokens"));
            BOOST_OUTCOME_TRY(auto output, integer(item, "output_tokens"));
            BOOST_OUTCOME_TRY(auto endpoint, integer(item, "endpoint_us"));
            figures.prompt = Tokens(prompt);
            figures.cached = Tokens(cached);
            figures.output = Tokens(output);
            figures.endpointTime = Duration(endpoint);
            lines[{ AccountId(account), ClassId(requestClass) }] += figures;
        }
        return lines;
    }

    Result<UsageContent> readContent(const Json& json)
    {
        UsageContent content;
        BOOST_OUTCOME_TRY(content.lines, readLines(json));
        auto late = json.find("late");
        if (late == json.end() || !late->is_array())
            return formError("late is not a list");
        for (const Json& item : *late) {
            if (!item.is_object())
                return formError("an item of late is not an object");
            BOOST_OUTCOME_TRY(auto window, integer(item, "window"));
            BOOST_OUTCOME_TRY(content.late[WindowId(window)], readLines(item));
        }
        return content;
    }

    Result<Json> parseObject(std::string_view body)
    {
        Json json = Json::parse(body, nullptr, false);
        if (!json.is_object())
            return formError("not a JSON object");
        return json;
    }

} // namespace

std::string partialUsageRecordJson(const PartialUsageRecord& record)
{
    Json json = { { "sequence", record.sequence } };
    writeContent(json, record.content);
    return json.dump();
}

std::string finalUsageRecordJson(const FinalUsageRecord& final)
{
    Json json = { { "window", final.window.value() } };
    writeContent(json, final.content);
    Json counted = Json::object();
    for (const auto& [entry, sequence] : final.counted)
        counted[entry.value()] = sequence;
    json["counted"] = counted;
    return json.dump();
}

Result<PartialUsageRecord> parsePartialUsageRecord(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto json, parseObject(body));
    PartialUsageRecord record;
    BOOST_OUTCOME_TRY(auto sequence, integer(json, "sequence"));
    record.sequence = static_cast<std::uint64_t>(sequence);
    BOOST_OUTCOME_TRY(record.content, readContent(json));
    return record;
}

Result<FinalUsageRecord> parseFinalUsageRecord(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto json, parseObject(body));
    FinalUsageRecord final;
    BOOST_OUTCOME_TRY(auto window, integer(json, "window"));
    final.window = WindowId(window);
    BOOST_OUTCOME_TRY(final.content, readContent(json));
    auto counted = json.find("counted");
    if (counted == json.end() || !counted->is_object())
        return formError("counted is not an object");
    for (const auto& [entry, sequence] : counted->items()) {
        if (!sequence.is_number_unsigned())
            return formError("counted of " + entry + " is not a number");
        final.counted[IncarnationId(entry)] = sequence.get<std::uint64_t>();
    }
    return final;
}

} // namespace wisteriayard
