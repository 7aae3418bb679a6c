#include "scenario.h"

#include "address.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wisteriayard::load {

namespace {

    using Json = nlohmann::json;

    constexpr double maxSeconds = 3600;
    constexpr double maxRate = 100'000;
    constexpr std::int64_t maxTokens = 1'000'000;

    /// Reads the fields of a JSON object and records the first error.
    class FieldReader {
    public:
        FieldReader(const Json& json, std::string path, std::string& error)
            : m_json(json)
            , m_path(std::move(path))
            , m_error(error)
        {
            if (!json.is_object())
                report("", "an object");
        }

        double number(const char* name, double fallback, double min, double max)
        {
            const Json* value = find(name);
            if (!value)
                return fallback;
            if (!value->is_number() || *value < min || *value > max)
                report(name, "a number from " + Json(min).dump() + " to " + Json(max).dump());
            return value->is_number() ? value->get<double>() : fallback;
        }

        std::string text(const char* name, const std::string& fallback)
        {
            const Json* value = find(name);
            if (!value)
                return fallback;
            if (!value->is_string())
                report(name, "a string");
            return value->is_string() ? value->get<std::string>() : fallback;
        }

        bool flag(const char* name, bool fallback)
        {
            const Json* value = find(name);
            if (!value)
                return fallback;
            if (!value->is_boolean())
                report(name, "true or false");
            return value->is_boolean() ? value->get<bool>() : fallback;
        }

        std::vector<Json> list(const char* name, std::size_t minSize)
        {
            const Json* value = find(name);
            if (!value && minSize == 0)
                return {};
            if (!value || !value->is_array() || value->size() < minSize) {
                report(name, "a list of at least " + std::to_string(minSize));
                return {};
            }
            return value->get<std::vector<Json>>();
        }

        void report(const std::string& name, const std::string& allowed)
        {
            if (m_error.empty())
                m_error = m_path + (name.empty() ? "" : "." + name) + ": expected " + allowed;
        }

        /// Reports a field that was not read, as unknown.
        void finish()
        {
            if (!m_json.is_object())
                return;
            for (const auto& item : m_json.items()) {
                if (std::find(m_known.begin(), m_known.end(), item.key()) == m_known.end() && m_error.empty())
                    m_error = m_path + "." + item.key() + ": unknown field";
            }
        }

    private:
        const Json* find(const char* name)
        {
            m_known.emplace_back(name);
            if (!m_json.is_object() || !m_json.contains(name))
                return nullptr;
            return &m_json[name];
        }

        const Json& m_json;
        std::string m_path;
        std::string& m_error;
        std::vector<std::string> m_known;
    };

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    Burst readBurst(const Json& json, const std::string& path, std::string& error)
    {
        FieldReader reader(json, path, error);
        Burst burst;
        burst.from = fromSeconds(reader.number("from_s", 0, 0, maxSeconds));
        burst.until = fromSeconds(reader.number("until_s", 0, 0, maxSeconds));
        burst.factor = reader.number("factor", 1, 0, 1000);
        reader.finish();
        return burst;
    }

    LoadClass readClass(const Json& json, const std::string& path, std::string& error)
    {
        FieldReader reader(json, path, error);
        LoadClass result;
        result.name = reader.text("name", "");
        result.key = reader.text("key", "");
        result.ratePerSecond = reader.number("rate_per_s", 0, 0, maxRate);
        result.model = reader.text("model", "");
        result.stream = reader.flag("stream", true);
        result.promptCharacters = static_cast<std::int64_t>(reader.number("prompt_characters", 200, 0, maxTokens));
        result.outputTokens = static_cast<std::int64_t>(reader.number("output_tokens", 20, 1, maxTokens));
        result.maxTokens = static_cast<std::int64_t>(reader.number("max_tokens", 0, 0, maxTokens));
        result.method = reader.text("method", "GET");
        result.path = reader.text("path", "");
        result.idempotencyKey = reader.flag("idempotency_key", false);
        for (const Json& burst : reader.list("bursts", 0))
            result.bursts.push_back(readBurst(burst, path + ".bursts", error));
        if (result.name.empty())
            reader.report("name", "a string that is not empty");
        if (result.model.empty() == result.path.empty())
            reader.report("model", "either a model or a path");
        if (result.ratePerSecond <= 0)
            reader.report("rate_per_s", "a number above 0");
        reader.finish();
        return result;
    }

    /// Factor by which bursts multiply the rate of a class at a given time.
    double burstFactor(const LoadClass& each, Duration at)
    {
        double factor = 1;
        for (const Burst& burst : each.bursts) {
            if (at >= burst.from && at < burst.until)
                factor *= burst.factor;
        }
        return factor;
    }

    double maxBurstFactor(const LoadClass& each)
    {
        double factor = 1;
        for (const Burst& burst : each.bursts)
            factor *= std::max(1.0, burst.factor);
        return factor;
    }

} // namespace

Result<LoadScenario> parseScenario(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return fail(Errc::InvalidArgument, "scenario: not valid JSON");
    std::string error;
    FieldReader reader(json, "scenario", error);
    LoadScenario scenario;
    scenario.duration = fromSeconds(reader.number("duration_s", 0, 0.1, maxSeconds));
    scenario.seed = static_cast<unsigned>(reader.number("seed", 1, 0, 4'294'967'295.0));
    scenario.maxConnections = static_cast<int>(reader.number("max_connections", 10'000, 1, 60'000));
    for (const Json& target : reader.list("targets", 1)) {
        auto address = parseAddress(target.is_string() ? target.get<std::string>() : "");
        if (address)
            scenario.targets.push_back(address.value());
        else
            reader.report("targets", "addresses as IP:port");
    }
    std::size_t index = 0;
    for (const Json& each : reader.list("classes", 1))
        scenario.classes.push_back(readClass(each, "scenario.classes[" + std::to_string(index++) + "]", error));
    reader.finish();
    if (scenario.duration <= Duration(0))
        reader.report("duration_s", "a number above 0");
    if (!error.empty())
        return fail(Errc::InvalidArgument, std::move(error));
    return scenario;
}

std::vector<LoadArrival> drawArrivals(const LoadScenario& scenario)
{
    std::vector<LoadArrival> arrivals;
    for (std::size_t index = 0; index < scenario.classes.size(); ++index) {
        const LoadClass& each = scenario.classes[index];
        std::mt19937_64 random(scenario.seed * 1000003ULL + index);
        // Thinning: draws at the maximum rate and keeps each arrival with probability current rate / maximum rate.
        double maxFactor = maxBurstFactor(each);
        std::exponential_distribution<double> gap(each.ratePerSecond * maxFactor);
        std::uniform_real_distribution<double> share(0, 1);
        std::uniform_int_distribution<std::int64_t> length(
            std::max<std::int64_t>(1, each.outputTokens / 2), each.outputTokens + each.outputTokens / 2);
        for (double at = gap(random); fromSeconds(at) < scenario.duration; at += gap(random)) {
            double keep = share(random);
            std::int64_t tokens = length(random);
            if (keep * maxFactor <= burstFactor(each, fromSeconds(at)))
                arrivals.push_back({ fromSeconds(at), index, tokens, 0 });
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const LoadArrival& a, const LoadArrival& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < arrivals.size(); ++i)
        arrivals[i].number = i;
    return arrivals;
}

} // namespace wisteriayard::load
