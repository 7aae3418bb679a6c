#include "instance_list.h"

#include "address.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    constexpr int maxSlots = 10'000;

    Result<std::string> text(const Json& json, const char* name)
    {
        auto it = json.find(name);
        if (it == json.end() || !it->is_string() || it->get_ref<const std::string&>().empty())
            return fail(
                Errc::Protocol, "instance list: " + std::string(name) + " is missing in " + json.dump().substr(0, 200));
        return it->get<std::string>();
    }

    Result<std::string> address(const Json& json, const char* name)
    {
        BOOST_OUTCOME_TRY(auto value, text(json, name));
        BOOST_OUTCOME_TRY(parseAddress(value));
        return value;
    }

    Result<ListedEndpoint> readEndpoint(const Json& json)
    {
        ListedEndpoint endpoint;
        BOOST_OUTCOME_TRY(auto id, text(json, "instance"));
        BOOST_OUTCOME_TRY(auto target, text(json, "target"));
        BOOST_OUTCOME_TRY(auto zone, text(json, "zone"));
        BOOST_OUTCOME_TRY(auto region, text(json, "region"));
        BOOST_OUTCOME_TRY(auto kind, text(json, "kind"));
        BOOST_OUTCOME_TRY(endpoint.agentAddress, address(json, "agent"));
        auto slots = json.find("slots");
        if (slots == json.end() || !slots->is_number_integer() || *slots < 1 || *slots > maxSlots)
            return fail(Errc::Protocol, "instance list: slots of " + id + " is not a number from 1 to 10000");
        if (kind != "engine" && kind != "service")
            return fail(Errc::Protocol, "instance list: kind of " + id + " is neither engine nor service");
        endpoint.kind = kind == "service" ? EndpointKind::Service : EndpointKind::Engine;
        endpoint.info = { EndpointId(id), TargetId(target), ZoneId(zone), RegionId(region), slots->get<int>() };
        return endpoint;
    }

    Result<ListedEntry> readEntry(const Json& json)
    {
        ListedEntry entry;
        BOOST_OUTCOME_TRY(auto id, text(json, "instance"));
        BOOST_OUTCOME_TRY(auto zone, text(json, "zone"));
        BOOST_OUTCOME_TRY(entry.adminAddress, address(json, "admin"));
        BOOST_OUTCOME_TRY(entry.peerAddress, address(json, "peer"));
        entry.instance = InstanceId(id);
        entry.zone = ZoneId(zone);
        if (json.contains("region") && json["region"].is_string())
            entry.region = RegionId(json["region"].get<std::string>());
        return entry;
    }

} // namespace

Result<InstanceList> parseInstanceList(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("instances") || !json["instances"].is_array())
        return fail(Errc::Protocol, "instance list: expected an object with the list \"instances\"");
    InstanceList list;
    for (const Json& item : json["instances"]) {
        if (!item.is_object())
            return fail(Errc::Protocol, "instance list: an instance is not an object");
        BOOST_OUTCOME_TRY(auto role, text(item, "role"));
        bool leaving = item.contains("state") && item["state"] == "leaving";
        if (role == "endpoint") {
            BOOST_OUTCOME_TRY(auto endpoint, readEndpoint(item));
            endpoint.leaving = leaving;
            list.endpoints.push_back(std::move(endpoint));
        } else if (role == "entry") {
            BOOST_OUTCOME_TRY(auto entry, readEntry(item));
            entry.leaving = leaving;
            list.entries.push_back(std::move(entry));
        }
    }
    return list;
}

} // namespace wisteriayard
