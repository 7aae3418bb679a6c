#include "store_json.h"

#include "base64.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    Error formatError(const std::string& what) { return Error { Errc::Protocol, "store: " + what }; }

    Result<Json> parseObject(std::string_view text)
    {
        Json json = Json::parse(text, nullptr, false);
        if (!json.is_object())
            return formatError("response is not a JSON object");
        return json;
    }

    /// The gateway encodes 64-bit integers as strings and omits fields whose value is 0.
    Result<std::int64_t> readInteger(const Json& object, const char* name)
    {
        auto it = object.find(name);
        if (it == object.end())
            return std::int64_t(0);
        if (it->is_number_integer())
            return it->get<std::int64_t>();
        if (!it->is_string())
            return formatError(std::string(name) + " is not a number");
        const auto& text = it->get_ref<const std::string&>();
        std::int64_t value = 0;
        auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return formatError(std::string(name) + " is not a number: " + text.substr(0, 32));
        return value;
    }

    Result<std::string> readBytes(const Json& object, const char* name)
    {
        auto it = object.find(name);
        if (it == object.end())
            return std::string();
        if (!it->is_string())
            return formatError(std::string(name) + " is not a string");
        return base64Decode(it->get_ref<const std::string&>());
    }

    Result<StoreItem> readItem(const Json& json)
    {
        if (!json.is_object())
            return formatError("key-value item is not an object");
        StoreItem item;
        BOOST_OUTCOME_TRY(item.key, readBytes(json, "key"));
        BOOST_OUTCOME_TRY(item.value, readBytes(json, "value"));
        BOOST_OUTCOME_TRY(auto modified, readInteger(json, "mod_revision"));
        BOOST_OUTCOME_TRY(auto created, readInteger(json, "create_revision"));
        item.modRevision = Revision(modified);
        item.createRevision = Revision(created);
        return item;
    }

    Result<std::vector<StoreItem>> readItems(const Json& object, const char* name)
    {
        std::vector<StoreItem> items;
        auto it = object.find(name);
        if (it == object.end())
            return items;
        if (!it->is_array())
            return formatError(std::string(name) + " is not an array");
        for (const Json& json : *it) {
            BOOST_OUTCOME_TRY(auto item, readItem(json));
            items.push_back(std::move(item));
        }
        return items;
    }

    Result<Revision> readHeaderRevision(const Json& object)
    {
        auto header = object.find("header");
        if (header == object.end() || !header->is_object())
            return formatError("response has no header");
        BOOST_OUTCOME_TRY(auto revision, readInteger(*header, "revision"));
        return Revision(revision);
    }

    Json compareJson(const Compare& compare)
    {
        struct Visitor {
            Json operator()(const CompareModRevision& c) const
            {
                return { { "key", base64Encode(c.key) }, { "target", "MOD" }, { "result", "EQUAL" },
                    { "mod_revision", std::to_string(c.revision.value()) } };
            }
            Json operator()(const CompareCreateRevision& c) const
            {
                return { { "key", base64Encode(c.key) }, { "target", "CREATE" }, { "result", "EQUAL" },
                    { "create_revision", std::to_string(c.revision.value()) } };
            }
        };
        return std::visit(Visitor {}, compare);
    }

    Json operationJson(const StoreOperation& operation)
    {
        struct Visitor {
            Json operator()(const PutOperation& put) const
            {
                Json request = { { "key", base64Encode(put.key) }, { "value", base64Encode(put.value) } };
                if (put.lease != LeaseId())
                    request["lease"] = std::to_string(put.lease.value());
                return { { "request_put", request } };
            }
            Json operator()(const DeleteOperation& deletion) const
            {
                return { { "request_delete_range", { { "key", base64Encode(deletion.key) } } } };
            }
            Json operator()(const ReadOperation& read) const
            {
                return { { "request_range", { { "key", base64Encode(read.key) } } } };
            }
        };
        return std::visit(Visitor {}, operation);
    }

    Json operationsJson(const std::vector<StoreOperation>& operations)
    {
        Json list = Json::array();
        for (const StoreOperation& operation : operations)
            list.push_back(operationJson(operation));
        return list;
    }

} // namespace

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0'); // the gateway takes a single NUL as the end of the key space
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

std::string rangeRequestJson(std::string_view key, std::string_view rangeEnd, ReadConsistency consistency)
{
    Json json = { { "key", base64Encode(key) } };
    if (!rangeEnd.empty())
        json["range_end"] = base64Encode(rangeEnd);
    if (consistency == ReadConsistency::Serializable)
        json["serializable"] = true;
    return json.dump();
}

std::string transactionJson(const Transaction& transaction)
{
    Json compares = Json::array();
    for (const Compare& compare : transaction.compares)
        compares.push_back(compareJson(compare));
    Json json = { { "compare", compares }, { "success", operationsJson(transaction.onSuccess) },
        { "failure", operationsJson(transaction.onFailure) } };
    return json.dump();
}

std::string leaseGrantJson(Duration timeToLive)
{
    auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    return Json({ { "TTL", std::to_string(seconds) } }).dump();
}

std::string leaseJson(LeaseId lease) { return Json({ { "ID", std::to_string(lease.value()) } }).dump(); }

std::string watchRequestJson(std::string_view key, std::string_view rangeEnd, Revision start)
{
    Json create = { { "key", base64Encode(key) }, { "range_end", base64Encode(rangeEnd) },
        { "start_revision", std::to_string(start.value()) }, { "progress_notify", true } };
    return Json({ { "create_request", create } }).dump();
}

Result<StoreRange> parseRange(std::string_view text)
{
    BOOST_OUTCOME_TRY(auto json, parseObject(text));
    StoreRange range;
    BOOST_OUTCOME_TRY(range.revision, readHeaderRevision(json));
    BOOST_OUTCOME_TRY(range.items, readItems(json, "kvs"));
    return range;
}

Result<TransactionResult> parseTransaction(std::string_view text)
{
    BOOST_OUTCOME_TRY(auto json, parseObject(text));
    TransactionResult result;
    BOOST_OUTCOME_TRY(result.revision, readHeaderRevision(json));
    auto succeeded = json.find("succeeded");
    result.succeeded = succeeded != json.end() && succeeded->is_boolean() && succeeded->get<bool>();
    auto responses = json.find("responses");
    if (responses == json.end())
        return result;
    if (!responses->is_array())
        return formatError("responses is not an array");
    for (const Json& response : *responses) {
        auto range = response.find("response_range");
        if (range == response.end())
            continue;
        BOOST_OUTCOME_TRY(auto items, readItems(*range, "kvs"));
        result.items.insert(result.items.end(), items.begin(), items.end());
    }
    return result;
}

Result<LeaseId> parseLeaseGrant(std::string_view text)
{
    BOOST_OUTCOME_TRY(auto json, parseObject(text));
    BOOST_OUTCOME_TRY(auto id, readInteger(json, "ID"));
    if (id == 0)
        return formatError("lease grant response has no ID");
    return LeaseId(id);
}

Result<Duration> parseKeepAlive(std::string_view text)
{
    BOOST_OUTCOME_TRY(auto json, parseObject(text));
    auto result = json.find("result");
    if (result == json.end() || !result->is_object())
        return formatError("keep-alive response has no result");
    BOOST_OUTCOME_TRY(auto seconds, readInteger(*result, "TTL"));
    return Duration(std::chrono::seconds(seconds));
}

Result<WatchBatch> parseWatch(std::string_view text)
{
    BOOST_OUTCOME_TRY(auto json, parseObject(text));
    auto result = json.find("result");
    if (result == json.end() || !result->is_object())
        return formatError("watch response has no result");
    if (result->value("canceled", false))
        return fail(Errc::Unavailable, "store: watch was cancelled");
    WatchBatch batch;
    BOOST_OUTCOME_TRY(batch.revision, readHeaderRevision(*result));
    auto events = result->find("events");
    if (events == result->end())
        return batch;
    if (!events->is_array())
        return formatError("events is not an array");
    for (const Json& event : *events) {
        if (!event.is_object() || !event.contains("kv"))
            return formatError("watch event has no kv field");
        BOOST_OUTCOME_TRY(auto item, readItem(event["kv"]));
        if (event.contains("type") && event["type"] == "DELETE")
            item.value.clear();
        batch.items.push_back(std::move(item));
    }
    return batch;
}

} // namespace wisteriayard
