// Fake key-value store with the interface of the etcd v3 JSON gateway and fault injection.
#include "base64.h"
#include "clock.h"
#include "fakes.h"
#include "store_json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <map>
#include <memory>
#include <set>

namespace wisteriayard::fakes {

namespace {

    namespace http = boost::beast::http;

    constexpr std::size_t maxValueBytes = 1024 * 1024;
    constexpr Duration watchPollInterval = std::chrono::milliseconds(2);
    constexpr Duration progressInterval = std::chrono::milliseconds(500);
    constexpr Duration leaseSweepInterval = std::chrono::milliseconds(50);
    constexpr Duration writeTimeout = std::chrono::seconds(10);
    /// Delay of each call while the `hang` fault is set.
    constexpr Duration hangDuration = std::chrono::minutes(10);

    struct Record {
        std::string value;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t lease = 0;
    };

    struct Change {
        std::int64_t revision;
        std::string key;
        std::string value;
        bool deleted;
    };

    struct Lease {
        Duration timeToLive {};
        TimePoint expires {};
    };

    /// Injected faults.
    struct Faults {
        bool refuse = false;
        bool hang = false;
        /// Holds transactions until this is cleared; they then take effect even if the client has disconnected.
        bool holdWrites = false;
        /// Number of further writes that take effect although their response is dropped; -1 for all writes.
        int dropWriteResponses = 0;
        /// Restricts dropped responses to transactions that put a key with this prefix; empty for all writes.
        std::string dropKeyPrefix;
        int delayMs = 0;
    };

    std::string field(const Json& json, const char* name)
    {
        auto it = json.find(name);
        if (it == json.end() || !it->is_string())
            return {};
        auto data = base64Decode(it->get<std::string>());
        return data ? data.value() : std::string();
    }

    std::int64_t integer(const Json& json, const char* name)
    {
        auto it = json.find(name);
        if (it == json.end())
            return 0;
        if (it->is_number_integer())
            return it->get<std::int64_t>();
        return it->is_string() ? std::atoll(it->get_ref<const std::string&>().c_str()) : 0;
    }

    class FakeKv : public std::enable_shared_from_this<FakeKv> {
    public:
        explicit FakeKv(boost::asio::io_context& io)
            : m_io(io)
        {
        }

        void start()
        {
            auto sweep = [self = shared_from_this()]() -> boost::asio::awaitable<void> {
                while (true) {
                    co_await sleepFor(self->m_io, leaseSweepInterval);
                    self->expireLeases();
                }
            };
            boost::asio::co_spawn(m_io, sweep, boost::asio::detached);
        }

        boost::asio::awaitable<HandlerResult> handle(HttpRequest request, HttpStreamWriter& writer)
        {
            std::string path(request.target());
            if (path == "/fake/faults")
                co_return setFaults(request.body());
            if (path == "/fake/stats")
                co_return jsonResponse(stats());
            Json body = Json::parse(request.body(), nullptr, false);
            if (!body.is_object())
                co_return errorResponse(http::status::bad_request, "body is not a JSON object");
            if (m_faults.delayMs > 0)
                co_await sleepFor(m_io, std::chrono::milliseconds(m_faults.delayMs));
            if (m_faults.hang)
                co_await sleepFor(m_io, hangDuration);
            if (m_faults.refuse)
                co_return errorResponse(http::status::service_unavailable, "store is down");
            if (m_faults.holdWrites && path == "/v3/kv/txn")
                ++m_heldByPrefix[transactionPrefix(body)];
            while (m_faults.holdWrites && path == "/v3/kv/txn")
                co_await sleepFor(m_io, watchPollInterval);
            if (path == "/v3/watch")
                co_return co_await watch(body, writer);
            co_return call(path, body);
        }

    private:
        HandlerResult setFaults(const std::string& text)
        {
            Json json = Json::parse(text, nullptr, false);
            if (!json.is_object())
                return errorResponse(http::status::bad_request, "faults are not a JSON object");
            m_faults.refuse = json.value("refuse", false);
            m_faults.hang = json.value("hang", false);
            m_faults.holdWrites = json.value("hold_writes", false);
            m_faults.dropWriteResponses = json.value("lose_write_answers", 0);
            m_faults.dropKeyPrefix = json.value("lose_key", "");
            m_faults.delayMs = json.value("delay_ms", 0);
            return jsonResponse(Json::object());
        }

        HandlerResult call(const std::string& path, const Json& body)
        {
            bool isWrite = path == "/v3/kv/put" || path == "/v3/kv/txn" || path.rfind("/v3/lease/", 0) == 0;
            ++(isWrite ? m_writes : m_reads);
            Json response;
            if (path == "/v3/kv/range")
                response = range(body);
            else if (path == "/v3/kv/txn")
                response = transact(body);
            else if (path == "/v3/lease/grant")
                response = grant(body);
            else if (path == "/v3/lease/keepalive")
                response = keepAlive(body);
            else if (path == "/v3/lease/revoke")
                response = revoke(body);
            else
                return errorResponse(http::status::not_found, "no such call: " + path);
            if (response.contains("error"))
                return makeHttpResponse(http::status::bad_request, response.dump());
            if (isWrite && m_faults.dropWriteResponses != 0 && dropsResponse(body, response)) {
                ++m_droppedResponses;
                if (m_faults.dropWriteResponses > 0)
                    --m_faults.dropWriteResponses;
                return dropResponse();
            }
            return jsonResponse(response);
        }

        bool dropsResponse(const Json& request, const Json& response) const
        {
            if (m_faults.dropKeyPrefix.empty())
                return true;
            if (!response.value("succeeded", false))
                return false;
            for (const Json& operation : request.value("success", Json::array())) {
                Json put = operation.value("request_put", Json::object());
                if (field(put, "key").rfind(m_faults.dropKeyPrefix, 0) == 0)
                    return true;
            }
            return false;
        }

        Json header() const { return { { "revision", std::to_string(m_revision) } }; }

        Json itemJson(const std::string& key, const Record& record) const
        {
            return { { "key", base64Encode(key) }, { "value", base64Encode(record.value) },
                { "create_revision", std::to_string(record.createRevision) },
                { "mod_revision", std::to_string(record.modRevision) }, { "lease", std::to_string(record.lease) } };
        }

        Json range(const Json& request) const
        {
            std::string first = field(request, "key");
            std::string end = field(request, "range_end");
            Json items = Json::array();
            for (auto it = m_records.lower_bound(first); it != m_records.end(); ++it) {
                bool inRange = end.empty() ? it->first == first : end == std::string(1, '\0') || it->first < end;
                if (!inRange)
                    break;
                items.push_back(itemJson(it->first, it->second));
            }
            return { { "header", header() }, { "kvs", items }, { "count", std::to_string(items.size()) } };
        }

        bool compareHolds(const Json& compare) const
        {
            auto it = m_records.find(field(compare, "key"));
            const Record absent;
            const Record& record = it == m_records.end() ? absent : it->second;
            if (compare.value("target", "") == "CREATE")
                return record.createRevision == integer(compare, "create_revision");
            return record.modRevision == integer(compare, "mod_revision");
        }

        Json transact(const Json& request)
        {
            bool succeeded = true;
            for (const Json& compare : request.value("compare", Json::array()))
                succeeded = succeeded && compareHolds(compare);
            Json operations = request.value(succeeded ? "success" : "failure", Json::array());
            for (const Json& operation : operations) {
                if (!operation.contains("request_put"))
                    continue;
                const Json& put = operation["request_put"];
                if (field(put, "value").size() > maxValueBytes)
                    return { { "error", "value is larger than 1 MiB" } };
                if (integer(put, "lease") != 0 && !m_leases.count(integer(put, "lease")))
                    return { { "error", "requested lease not found" } };
            }
            bool writes = false;
            for (const Json& operation : operations)
                writes = writes || !operation.contains("request_range");
            if (writes)
                ++m_revision;
            if (writes && operations[0].contains("request_put"))
                ++m_writesByPrefix[prefixOf(field(operations[0]["request_put"], "key"))];
            Json responses = Json::array();
            for (const Json& operation : operations)
                responses.push_back(apply(operation));
            return { { "header", header() }, { "succeeded", succeeded }, { "responses", responses } };
        }

        Json apply(const Json& operation)
        {
            if (operation.contains("request_put")) {
                const Json& put = operation["request_put"];
                std::string key = field(put, "key");
                Record& record = m_records[key];
                record.value = field(put, "value");
                record.modRevision = m_revision;
                record.lease = integer(put, "lease");
                if (record.createRevision == 0)
                    record.createRevision = m_revision;
                m_history.push_back({ m_revision, key, record.value, false });
                return { { "response_put", Json::object() } };
            }
            if (operation.contains("request_delete_range")) {
                remove(field(operation["request_delete_range"], "key"));
                return { { "response_delete_range", Json::object() } };
            }
            return { { "response_range", range(operation.value("request_range", Json::object())) } };
        }

        void remove(const std::string& key)
        {
            if (m_records.erase(key) > 0)
                m_history.push_back({ m_revision, key, "", true });
        }

        Json grant(const Json& request)
        {
            std::int64_t id = ++m_lastLease;
            Duration timeToLive = std::chrono::seconds(integer(request, "TTL"));
            m_leases[id] = { timeToLive, bootTimeNow() + timeToLive };
            return { { "header", header() }, { "ID", std::to_string(id) }, { "TTL", request.value("TTL", "0") } };
        }

        Json keepAlive(const Json& request)
        {
            expireLeases();
            std::int64_t id = integer(request, "ID");
            auto it = m_leases.find(id);
            std::int64_t seconds = 0;
            if (it != m_leases.end()) {
                it->second.expires = bootTimeNow() + it->second.timeToLive;
                seconds = std::chrono::duration_cast<std::chrono::seconds>(it->second.timeToLive).count();
            }
            Json result = { { "header", header() }, { "ID", std::to_string(id) }, { "TTL", std::to_string(seconds) } };
            return { { "result", result } };
        }

        Json revoke(const Json& request)
        {
            dropLease(integer(request, "ID"));
            return { { "header", header() } };
        }

        void dropLease(std::int64_t id)
        {
            if (m_leases.erase(id) == 0)
                return;
            std::vector<std::string> keys;
            for (const auto& [key, record] : m_records) {
                if (record.lease == id)
                    keys.push_back(key);
            }
            if (!keys.empty())
                ++m_revision;
            for (const std::string& key : keys)
                remove(key);
        }

        void expireLeases()
        {
            TimePoint now = bootTimeNow();
            std::vector<std::int64_t> expired;
            for (const auto& [id, lease] : m_leases) {
                if (lease.expires <= now)
                    expired.push_back(id);
            }
            for (std::int64_t id : expired)
                dropLease(id);
        }

        boost::asio::awaitable<HandlerResult> watch(const Json& body, HttpStreamWriter& writer)
        {
            Json request = body.value("create_request", Json::object());
            std::string first = field(request, "key");
            std::string end = field(request, "range_end");
            std::int64_t next = std::max<std::int64_t>(integer(request, "start_revision"), 1);
            ++m_reads;
            ++m_watches;
            auto status = co_await writer.begin({}, "application/json", writeTimeout);
            TimePoint lastSent {};
            while (status && !m_faults.refuse && !m_faults.hang) {
                Json events = eventsSince(next, first, end);
                next = m_revision + 1;
                TimePoint now = bootTimeNow();
                if (!events.empty() || now - lastSent >= progressInterval) {
                    std::string line = watchLine(events);
                    status = co_await writer.write(line, writeTimeout);
                    lastSent = now;
                }
                co_await sleepFor(m_io, watchPollInterval);
            }
            --m_watches;
            co_return StreamedResponse { false };
        }

        /// Not part of the coroutine because g++ 12 rejects nested initializer lists there.
        std::string watchLine(const Json& events) const
        {
            Json result = { { "header", header() }, { "events", events } };
            return Json({ { "result", result } }).dump() + "\n";
        }

        /// First path component of a key, by which writes are counted.
        static std::string prefixOf(const std::string& key) { return key.substr(0, key.find('/')); }

        /// Returns the prefix of the first key that a transaction puts, or an empty string.
        static std::string transactionPrefix(const Json& transaction)
        {
            for (const Json& operation : transaction.value("success", Json::array())) {
                if (operation.contains("request_put"))
                    return prefixOf(field(operation["request_put"], "key"));
            }
            return {};
        }

        Json stats() const
        {
            return { { "reads", m_reads }, { "writes", m_writes }, { "held_by_prefix", m_heldByPrefix },
                { "watches", m_watches }, { "writes_by_prefix", m_writesByPrefix },
                { "lost_answers", m_droppedResponses }, { "keys", m_records.size() }, { "revision", m_revision } };
        }

        Json eventsSince(std::int64_t revision, const std::string& first, const std::string& end) const
        {
            auto it = std::lower_bound(m_history.begin(), m_history.end(), revision,
                [](const Change& change, std::int64_t wanted) { return change.revision < wanted; });
            Json events = Json::array();
            for (; it != m_history.end(); ++it) {
                bool inRange = end.empty() ? it->key == first : it->key >= first && it->key < end;
                if (!inRange)
                    continue;
                Json item = { { "key", base64Encode(it->key) }, { "mod_revision", std::to_string(it->revision) } };
                if (it->deleted) {
                    events.push_back({ { "type", "DELETE" }, { "kv", item } });
                } else {
                    item["value"] = base64Encode(it->value);
                    events.push_back({ { "kv", item } });
                }
            }
            return events;
        }

        boost::asio::io_context& m_io;
        std::map<std::string, Record> m_records;
        std::vector<Change> m_history;
        std::map<std::int64_t, Lease> m_leases;
        std::int64_t m_revision = 1;
        std::int64_t m_lastLease = 1000;
        std::int64_t m_reads = 0;
        std::int64_t m_writes = 0;
        std::int64_t m_droppedResponses = 0;
        /// Number of transactions by the first path component of the first key that they put.
        std::map<std::string, std::int64_t> m_writesByPrefix;
        int m_watches = 0;
        /// Number of transactions held so far.
        std::map<std::string, int> m_heldByPrefix;
        Faults m_faults;
    };

} // namespace

HttpHandler makeKvHandler(boost::asio::io_context& io)
{
    auto store = std::make_shared<FakeKv>(io);
    store->start();
    return [store](HttpRequest request, HttpStreamWriter& writer) { return store->handle(std::move(request), writer); };
}

} // namespace wisteriayard::fakes
