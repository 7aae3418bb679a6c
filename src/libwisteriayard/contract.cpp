#include "wisteriayard/contract.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxClasses = 64;
    constexpr std::size_t maxNameLength = 64;
    constexpr std::int64_t maxMilliseconds = 86'400'000; // one day
    constexpr std::int64_t maxTokens = 10'000'000;
    constexpr double maxRate = 1e9;
    constexpr double maxWeight = 1000;

    /// Reads the fields of a JSON object, rejects unknown ones and keeps the first error.
    class ObjectReader {
    public:
        ObjectReader(const Json& json, std::string path, std::string& error)
            : m_json(json)
            , m_path(std::move(path))
            , m_error(error)
        {
            if (!m_json.is_object())
                report("", m_json, "an object");
        }

        const Json* find(const char* name, bool required)
        {
            m_known.insert(name);
            if (!m_json.is_object())
                return nullptr;
            auto it = m_json.find(name);
            if (it != m_json.end())
                return &*it;
            if (required && m_error.empty())
                m_error = m_path + "." + name + ": missing, but required";
            return nullptr;
        }

        std::optional<double> number(const char* name, double min, double max, bool required)
        {
            const Json* value = find(name, required);
            if (!value)
                return std::nullopt;
            if (!value->is_number() || value->get<double>() < min || value->get<double>() > max) {
                report(name, *value, "a number from " + Json(min).dump() + " to " + Json(max).dump());
                return std::nullopt;
            }
            return value->get<double>();
        }

        std::optional<std::int64_t> integer(const char* name, std::int64_t min, std::int64_t max, bool required)
        {
            const Json* value = find(name, required);
            if (!value)
                return std::nullopt;
            bool fits = value->is_number_integer()
                && !(value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(max))
                && value->get<std::int64_t>() >= min && value->get<std::int64_t>() <= max;
            if (!fits) {
                report(name, *value, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
                return std::nullopt;
            }
            return value->get<std::int64_t>();
        }

        std::optional<Duration> milliseconds(const char* name, bool required)
        {
            auto value = integer(name, 1, maxMilliseconds, required);
            if (!value)
                return std::nullopt;
            return std::chrono::milliseconds(*value);
        }

        bool boolean(const char* name)
        {
            const Json* value = find(name, false);
            if (!value)
                return false;
            if (!value->is_boolean()) {
                report(name, *value, "true or false");
                return false;
            }
            return value->get<bool>();
        }

        std::string text(const char* name, bool required)
        {
            const Json* value = find(name, required);
            if (!value)
                return {};
            if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
                report(name, *value, "a string that is not empty");
                return {};
            }
            return value->get<std::string>();
        }

        /// A name that is safe in keys, label values and log lines.
        std::string name(const char* field)
        {
            std::string value = text(field, true);
            auto allowed = [](char c) {
                return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
                    || c == '_' || c == '.';
            };
            if (value.size() > maxNameLength || !std::all_of(value.begin(), value.end(), allowed))
                report(field, value, "up to 64 letters, digits, '-', '_' or '.'");
            return value;
        }

        void report(const char* name, const Json& value, const std::string& allowed)
        {
            if (!m_error.empty())
                return;
            std::string shown = value.dump(-1, ' ', true, Json::error_handler_t::replace);
            if (shown.size() > maxNameLength)
                shown = shown.substr(0, maxNameLength) + "…";
            m_error = path(name) + ": " + shown + " is not allowed; expected " + allowed;
        }

        /// Reports fields that were never looked up.
        void finish()
        {
            if (!m_json.is_object())
                return;
            for (const auto& item : m_json.items()) {
                if (!m_known.count(item.key()) && m_error.empty())
                    m_error = m_path + "." + item.key() + ": unknown field";
            }
        }

        std::string path(const char* name) const { return *name ? m_path + "." + name : m_path; }
        std::string& error() { return m_error; }

    private:
        const Json& m_json;
        std::string m_path;
        std::string& m_error;
        std::set<std::string> m_known;
    };

    std::optional<Tier> parseTier(const std::string& name)
    {
        for (Tier tier : { Tier::Top, Tier::Interactive, Tier::Bulk }) {
            if (name == tierName(tier))
                return tier;
        }
        return std::nullopt;
    }

    ClassMatch readMatch(const Json& json, const std::string& path, std::string& error)
    {
        ObjectReader reader(json, path, error);
        ClassMatch match;
        match.target = TargetId(reader.name("target"));
        match.method = reader.text("method", false);
        match.pathPrefix = reader.text("path_prefix", false);
        if (auto value = reader.integer("max_tokens_at_most", 1, maxTokens, false))
            match.maxTokensAtMost = Tokens(*value);
        reader.finish();
        return match;
    }

    LatencyTargets readTargets(const Json& json, const std::string& path, std::string& error)
    {
        ObjectReader reader(json, path, error);
        LatencyTargets targets;
        targets.firstToken = reader.milliseconds("first_token_ms", false);
        targets.betweenTokens = reader.milliseconds("between_tokens_ms", false);
        targets.total = reader.milliseconds("total_ms", false);
        targets.attainment = reader.number("attainment", 0, 1, true).value_or(0);
        reader.finish();
        return targets;
    }

    RequestClass readClass(const Json& json, const std::string& path, std::string& error)
    {
        ObjectReader reader(json, path, error);
        RequestClass result;
        result.name = ClassId(reader.name("name"));
        std::string tier = reader.text("tier", true);
        if (auto parsed = parseTier(tier))
            result.tier = *parsed;
        else
            reader.report("tier", tier, "\"top\", \"interactive\" or \"bulk\"");
        result.priority = Priority(static_cast<std::int32_t>(reader.integer("priority", 0, 1000, false).value_or(0)));
        if (const Json* match = reader.find("match", true))
            result.match = readMatch(*match, reader.path("match"), error);
        if (const Json* targets = reader.find("targets", true))
            result.targets = readTargets(*targets, reader.path("targets"), error);
        result.longestWait = reader.milliseconds("longest_wait_ms", true).value_or(Duration(0));
        result.expectedOutput = Tokens(reader.integer("expected_output_tokens", 0, maxTokens, false).value_or(0));
        result.atMostOnce = reader.boolean("at_most_once");
        reader.finish();
        return result;
    }

    AccountLimits readLimits(const Json& json, const std::string& path, std::string& error)
    {
        constexpr double minRate = 1e-3;
        ObjectReader reader(json, path, error);
        AccountLimits limits;
        limits.requestsPerSecond = reader.number("requests_per_s", minRate, maxRate, false);
        limits.tokensPerSecond = reader.number("tokens_per_s", minRate, maxRate, false);
        limits.concurrent = reader.integer("concurrent", 1, 1'000'000, false);
        limits.spendEndpointSecondsPerDay = reader.number("spend_endpoint_s_per_day", minRate, maxRate, false);
        reader.finish();
        return limits;
    }

    void readClasses(ObjectReader& reader, Contract& contract)
    {
        const Json* classes = reader.find("classes", true);
        if (!classes)
            return;
        if (!classes->is_array() || classes->empty() || classes->size() > maxClasses) {
            reader.report("classes", *classes, "a list of 1 to " + std::to_string(maxClasses) + " classes");
            return;
        }
        std::set<ClassId> names;
        for (std::size_t i = 0; i < classes->size(); ++i) {
            std::string path = reader.path("classes") + "[" + std::to_string(i) + "]";
            contract.classes.push_back(readClass((*classes)[i], path, reader.error()));
            const ClassId& name = contract.classes.back().name;
            if (!names.insert(name).second && reader.error().empty())
                reader.error() = path + ".name: \"" + name.value() + "\" is used twice; class names must differ";
        }
    }

} // namespace

std::string_view tierName(Tier tier)
{
    switch (tier) {
    case Tier::Top:
        return "top";
    case Tier::Interactive:
        return "interactive";
    case Tier::Bulk:
        return "bulk";
    }
    return "unknown";
}

Result<Contract> parseContract(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return fail(Errc::InvalidArgument, "contract: not valid JSON");
    std::string error;
    ObjectReader reader(json, "contract", error);
    Contract contract;
    contract.account = AccountId(reader.name("account"));
    constexpr double minWeight = 1e-3;
    contract.weight = reader.number("weight", minWeight, maxWeight, false).value_or(1.0);
    if (const Json* limits = reader.find("limits", false))
        contract.limits = readLimits(*limits, reader.path("limits"), error);
    readClasses(reader, contract);
    reader.finish();
    if (!error.empty())
        return fail(Errc::InvalidArgument, std::move(error));
    return contract;
}

const RequestClass* classify(const Contract& contract, const RequestAttributes& request)
{
    auto matches = [&](const RequestClass& candidate) {
        const ClassMatch& match = candidate.match;
        if (match.target != request.target)
            return false;
        if (!match.method.empty() && match.method != request.method)
            return false;
        if (request.path.compare(0, match.pathPrefix.size(), match.pathPrefix) != 0)
            return false;
        return !match.maxTokensAtMost || (request.maxTokens && *request.maxTokens <= *match.maxTokensAtMost);
    };
    auto it = std::find_if(contract.classes.begin(), contract.classes.end(), matches);
    return it == contract.classes.end() ? nullptr : &*it;
}

} // namespace wisteriayard
