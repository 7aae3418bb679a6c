#include "placement_query.h"

#include <algorithm>
#include <charconv>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    /// Limit on the numbers of a query; larger ones are mistakes.
    constexpr std::int64_t maxNumber = 1'000'000'000;

    std::int64_t milliseconds(Duration time) { return time.count() / 1000; }

    Result<std::int64_t> numberField(const Json& object, const char* name, std::int64_t absent)
    {
        auto field = object.find(name);
        if (field == object.end())
            return absent;
        if (!field->is_number_integer() || field->get<std::int64_t>() < 0 || field->get<std::int64_t>() > maxNumber)
            return fail(Errc::InvalidArgument, std::string(name) + " must be a whole number from 0 to 1000000000");
        return field->get<std::int64_t>();
    }

    Result<std::string> textField(const Json& object, const char* name)
    {
        auto field = object.find(name);
        if (field == object.end())
            return std::string();
        if (!field->is_string())
            return fail(Errc::InvalidArgument, std::string(name) + " must be a string");
        return field->get<std::string>();
    }

    Result<PromptSegment> parseSegment(const Json& segment)
    {
        if (!segment.is_object())
            return fail(Errc::InvalidArgument, "prompt must be a list of objects with id and tokens");
        BOOST_OUTCOME_TRY(std::string id, textField(segment, "id"));
        BOOST_OUTCOME_TRY(std::int64_t tokens, numberField(segment, "tokens", 0));
        PromptSegment parsed;
        parsed.tokens = Tokens(tokens);
        auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), parsed.id, 16);
        if (id.empty() || error != std::errc() || end != id.data() + id.size())
            return fail(Errc::InvalidArgument, "the id of a prompt segment must be a hexadecimal number");
        return parsed;
    }

    /// Rank of an account's requests; that of the route if no account is named.
    /// Sets what the request takes from its route and account.
    Status applyRules(
        PlacementRequest& request, const RoutingConfig& config, const Route& route, const std::string& account)
    {
        request.rank = enginePriority(std::nullopt, route.priority);
        request.allowedRegions = route.allowedRegions;
        if (account.empty())
            return boost::outcome_v2::success();
        auto owner = std::find_if(config.keys.begin(), config.keys.end(),
            [&](const auto& each) { return each.second.account.value() == account; });
        if (owner == config.keys.end())
            return fail(Errc::NotFound, "no account " + account);
        request.rank = enginePriority(owner->second.priority, route.priority);
        request.allowedRegions = route.allowedRegions.intersection(owner->second.allowedRegions);
        return boost::outcome_v2::success();
    }

    Json candidateJson(const CandidateReport& row)
    {
        return { { "endpoint", row.id.value() }, { "zone", row.zone.value() },
            { "exclusion", row.exclusion ? Json(endpointExclusionName(*row.exclusion)) : Json() },
            { "cost_ms", milliseconds(row.cost) }, { "first_event_ms", milliseconds(row.expectedFirstEvent) },
            { "uncached_tokens", row.uncachedTokens }, { "tokens_ahead", row.tokensAhead }, { "running", row.running },
            { "preferred", row.preferred }, { "queued", row.queued } };
    }

    Json targetJson(GatewayState& state, const WeightedTarget& target, const PlacementRequest& request, TimePoint now)
    {
        const EndpointPlacement& placement = state.directory.placement(target.target);
        PlacementReport report = placement.explain(request, now);
        Json json
            = { { "target", target.target.value() }, { "weight", target.weight }, { "candidates", Json::array() } };
        if (auto* chosen = std::get_if<Placement>(&report.decision)) {
            json["endpoint"] = placement.endpoint(chosen->endpoint).id.value();
            json["first_event_ms"] = milliseconds(chosen->expectedFirstEvent);
        } else {
            const Refused& refused = std::get<Refused>(report.decision);
            json["refusal"] = placementRefusalName(refused.reason);
            json["first_event_ms"] = milliseconds(refused.expectedFirstEvent);
            json["retry_after_ms"] = milliseconds(refused.retryAfter);
        }
        for (const CandidateReport& row : report.candidates)
            json["candidates"].push_back(candidateJson(row));
        return json;
    }

} // namespace

Result<Json> explainPlacement(GatewayState& state, const std::string& query, TimePoint now)
{
    if (!state.routes)
        return fail(Errc::Unavailable, "the configuration is not known yet");
    Json object = Json::parse(query, nullptr, false);
    if (!object.is_object())
        return fail(Errc::InvalidArgument, "the query must be a JSON object");
    BOOST_OUTCOME_TRY(std::string name, textField(object, "route"));
    BOOST_OUTCOME_TRY(std::string account, textField(object, "account"));
    const RoutingConfig& config = state.routes->config();
    auto route = std::find_if(
        config.routes.begin(), config.routes.end(), [&](const Route& each) { return each.name == name; });
    if (route == config.routes.end())
        return fail(Errc::NotFound, "no route " + name);
    PlacementRequest request;
    BOOST_OUTCOME_TRY(applyRules(request, config, *route, account));
    BOOST_OUTCOME_TRY(std::int64_t output, numberField(object, "output_tokens", 0));
    BOOST_OUTCOME_TRY(std::int64_t timeLeft, numberField(object, "time_left_ms", milliseconds(route->timeout)));
    request.output = Tokens(output);
    request.timeLeft = std::min<Duration>(route->timeout, std::chrono::milliseconds(timeLeft));
    request.objective = route->objective;
    request.gapObjective = route->gapObjective;
    for (const Json& each : object.value("prompt", Json::array())) {
        BOOST_OUTCOME_TRY(PromptSegment segment, parseSegment(each));
        request.prompt.push_back(segment);
    }
    Json report = { { "route", name }, { "account", account }, { "rank", request.rank.value() },
        { "time_left_ms", milliseconds(request.timeLeft) }, { "objective_ms", milliseconds(request.objective) },
        { "config_version", config.version.value() }, { "targets", Json::array() } };
    for (const WeightedTarget& target : route->targets)
        report["targets"].push_back(targetJson(state, target, request, now));
    return report;
}

} // namespace wisteriayard
