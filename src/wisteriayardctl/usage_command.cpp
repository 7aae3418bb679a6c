#include "commands.h"
#include "store_json.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace wisteriayard::ctl {

namespace {

    using Json = nlohmann::json;

    /// Key prefix of a kind of usage record, and the state that is shown for it.
    struct UsageSource {
        const char* prefix;
        const char* state;
    };

    constexpr UsageSource sources[] = { { "usage/final/", "final" }, { "usage/part/", "part" } };

    /// Collects the objects with an account and a class at any depth of a document.
    void collectRows(const Json& json, const std::string& account, const Json& origin, Json& rows)
    {
        bool isRow = json.is_object() && json.contains("account") && json["account"].is_string()
            && json.contains("class") && json["class"].is_string();
        if (isRow) {
            if (!account.empty() && json["account"] != account)
                return;
            Json row = json;
            row.update(origin);
            rows.push_back(std::move(row));
            return;
        }
        if (json.is_structured()) {
            for (const auto& item : json.items())
                collectRows(item.value(), account, origin, rows);
        }
    }

    Json recordOrigin(const UsageSource& source, const std::string& key)
    {
        std::string rest = key.substr(std::string(source.prefix).size());
        std::size_t slash = rest.find('/');
        Json origin = { { "state", source.state }, { "window", rest.substr(0, slash) } };
        if (slash != std::string::npos)
            origin["entry"] = rest.substr(slash + 1);
        return origin;
    }

    void printRow(const Json& row)
    {
        auto text = [&](const char* name) {
            auto it = row.find(name);
            return it == row.end() ? std::string("-") : it->is_string() ? it->get<std::string>() : it->dump();
        };
        std::cout << std::left << std::setw(16) << text("window") << ' ' << std::setw(6) << text("state") << ' '
                  << std::setw(18) << text("entry") << ' ' << std::setw(18) << text("account") << ' ' << std::setw(14)
                  << text("class") << std::right << ' ' << std::setw(9) << text("requests") << ' ' << std::setw(14)
                  << text("output_tokens") << '\n';
    }

    Json headerRow()
    {
        Json row = Json::object();
        for (const char* name : { "window", "state", "entry", "account", "class", "requests", "output_tokens" })
            row[name] = name;
        return row;
    }

} // namespace

Command usage(Context& context, const Arguments& arguments)
{
    Json rows = Json::array();
    for (const UsageSource& source : sources) {
        auto range = co_await context.store.range(source.prefix, prefixEnd(source.prefix));
        if (!range)
            co_return range.error();
        for (const StoreItem& item : range.value().items) {
            Json document = Json::parse(item.value, nullptr, false);
            if (document.is_discarded())
                std::cerr << "wisteriayardctl: " << item.key << " is not JSON; it is skipped\n";
            else
                collectRows(document, arguments.account, recordOrigin(source, item.key), rows);
        }
    }
    if (context.json) {
        std::cout << rows.dump() << '\n';
        co_return ExitCode::Ok;
    }
    printRow(headerRow());
    for (const Json& row : rows)
        printRow(row);
    co_return ExitCode::Ok;
}

} // namespace wisteriayard::ctl
