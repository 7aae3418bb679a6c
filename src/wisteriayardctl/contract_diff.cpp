#include "contract_diff.h"

#include <nlohmann/json.hpp>

#include <map>

namespace wisteriayard::ctl {

namespace {

    using Json = nlohmann::json;
    using Fields = std::map<std::string, std::string>;

    std::string memberName(const Json& member, std::size_t index)
    {
        bool named = member.is_object() && member.contains("name") && member["name"].is_string();
        return named ? member["name"].get<std::string>() : std::to_string(index);
    }

    void flatten(const Json& json, const std::string& path, Fields& fields)
    {
        if (json.is_object()) {
            for (const auto& [name, value] : json.items())
                flatten(value, path.empty() ? name : path + "." + name, fields);
            return;
        }
        if (!json.is_array()) {
            fields[path.empty() ? "contract" : path] = json.dump();
            return;
        }
        // The order of classes is significant: a request belongs to the first class that matches it.
        Json order = Json::array();
        for (std::size_t i = 0; i < json.size(); ++i) {
            order.push_back(memberName(json[i], i));
            flatten(json[i], path + "[" + memberName(json[i], i) + "]", fields);
        }
        fields[path] = order.dump();
    }

    Fields fieldsOf(std::string_view text)
    {
        Fields fields;
        flatten(Json::parse(text, nullptr, false), "", fields);
        return fields;
    }

} // namespace

std::vector<FieldDifference> differingFields(std::string_view first, std::string_view second)
{
    Fields one = fieldsOf(first);
    Fields two = fieldsOf(second);
    std::map<std::string, FieldDifference> all;
    for (const auto& [path, value] : one)
        all[path] = { path, value, "" };
    for (const auto& [path, value] : two) {
        all[path].path = path;
        all[path].second = value;
    }
    std::vector<FieldDifference> differences;
    for (auto& [path, difference] : all) {
        if (difference.first != difference.second)
            differences.push_back(std::move(difference));
    }
    return differences;
}

} // namespace wisteriayard::ctl
