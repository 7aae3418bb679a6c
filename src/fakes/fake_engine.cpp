// Fake inference engine with the chat completions interface: slots assigned by priority, a prefix cache and resumption
// of partial responses.
#include "clock.h"
#include "fakes.h"

#include <algorithm>
#include <deque>
#include <list>
#include <memory>

namespace wisteriayard::fakes {

namespace {

    namespace http = boost::beast::http;

    constexpr Duration slotPollInterval = std::chrono::milliseconds(1);
    constexpr Duration writeTimeout = std::chrono::seconds(10);
    constexpr std::size_t prefixLength = 64;
    constexpr std::size_t prefixCacheSize = 64;
    constexpr int defaultLength = 40;
    constexpr std::size_t maxCaptures = 10'000;

    /// FNV-1a. The output depends only on the prompt, so that tests can verify a response that another engine resumed.
    std::uint64_t hashText(std::string_view text)
    {
        std::uint64_t hash = 1469598103934665603ULL;
        for (unsigned char c : text) {
            hash ^= c;
            hash *= 1099511628211ULL;
        }
        return hash;
    }

    std::string tokenAt(std::uint64_t promptHash, int index)
    {
        return "w" + std::to_string((promptHash + static_cast<std::uint64_t>(index) * 7919) % 10007) + " ";
    }

    struct Job {
        std::string prompt;
        std::string resumeText;
        int length = defaultLength;
        int priority = 0;
        bool stream = false;
        std::uint64_t order = 0;
    };

    /// Output length in tokens: `length=N` in the prompt or the default, limited by `max_tokens`.
    int responseLength(const std::string& prompt, const Json& body)
    {
        int length = defaultLength;
        auto at = prompt.find("length=");
        if (at != std::string::npos)
            length = std::max(1, std::atoi(prompt.c_str() + at + 7));
        return std::min(length, body.value("max_tokens", length));
    }

    Job readJob(const Json& body)
    {
        Job job;
        Json messages = body.value("messages", Json::array());
        bool resumes = body.value("continue_final_message", false) && !messages.empty();
        for (std::size_t i = 0; i < messages.size(); ++i) {
            std::string content = messages[i].value("content", "");
            if (resumes && i + 1 == messages.size())
                job.resumeText = content;
            else
                job.prompt += content;
        }
        job.length = responseLength(job.prompt, body);
        job.priority = body.value("priority", 0);
        job.stream = body.value("stream", false);
        return job;
    }

    class FakeEngine {
    public:
        FakeEngine(boost::asio::io_context& io, const Settings& settings)
            : m_io(io)
            , m_settings(settings)
        {
        }

        boost::asio::awaitable<HandlerResult> handle(HttpRequest request, HttpStreamWriter& writer)
        {
            std::string path(request.target());
            if (path == "/v1/chat/completions")
                co_return co_await chat(request, writer);
            if (path == "/load")
                co_return jsonResponse(m_report);
            if (path == "/orders")
                co_return order(request.body());
            if (path == "/fake/orders")
                co_return jsonResponse(m_orders);
            if (path == "/fake/captures")
                co_return jsonResponse(m_captures);
            if (path == "/fake/faults")
                co_return setFaults(request.body());
            co_return errorResponse(http::status::not_found, "no such path: " + path);
        }

    private:
        HandlerResult setFaults(const std::string& text)
        {
            Json json = Json::parse(text, nullptr, false);
            if (!json.is_object())
                return errorResponse(http::status::bad_request, "faults are not a JSON object");
            m_settings.tokenMs = json.value("token_ms", m_settings.tokenMs);
            m_settings.prefillMs = json.value("prefill_ms", m_settings.prefillMs);
            m_cutAfterTokens = json.value("cut_after_tokens", 0);
            return jsonResponse(Json::object());
        }

        HandlerResult order(const std::string& text)
        {
            Json json = Json::parse(text, nullptr, false);
            if (!json.is_object())
                return errorResponse(http::status::bad_request, "order is not a JSON object");
            std::int64_t epoch = json.value("epoch", std::int64_t(0));
            if (m_settings.checkFencing && epoch < m_highestEpoch)
                return errorResponse(http::status::conflict, "epoch is older than " + std::to_string(m_highestEpoch));
            m_highestEpoch = std::max(m_highestEpoch, epoch);
            m_orders.push_back(json);
            return jsonResponse({ { "accepted", true } });
        }

        void capture(const HttpRequest& request)
        {
            if (m_captures.size() >= maxCaptures)
                return;
            std::string head;
            for (const auto& header : request)
                head += std::string(header.name_string()) + ": " + std::string(header.value()) + "\n";
            m_captures.push_back({ { "head", head }, { "body", request.body() } });
        }

        bool usePrefixCache(const std::string& prompt)
        {
            std::string prefix = prompt.substr(0, prefixLength);
            auto it = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
            bool found = it != m_prefixes.end();
            if (found)
                m_prefixes.erase(it);
            m_prefixes.push_front(prefix);
            if (m_prefixes.size() > prefixCacheSize)
                m_prefixes.pop_back();
            return found;
        }

        /// Waits until a slot is free and this job is first by priority and arrival.
        boost::asio::awaitable<void> acquireSlot(Job& job)
        {
            job.order = m_nextOrder++;
            m_waiting.push_back(&job);
            auto before = [](const Job* a, const Job* b) {
                return a->priority != b->priority ? a->priority < b->priority : a->order < b->order;
            };
            while (
                m_running >= m_settings.slots || *std::min_element(m_waiting.begin(), m_waiting.end(), before) != &job)
                co_await sleepFor(m_io, slotPollInterval);
            m_waiting.erase(std::find(m_waiting.begin(), m_waiting.end(), &job));
            ++m_running;
        }

        boost::asio::awaitable<HandlerResult> chat(const HttpRequest& request, HttpStreamWriter& writer)
        {
            capture(request);
            Json body = Json::parse(request.body(), nullptr, false);
            if (!body.is_object() || !body.value("messages", Json()).is_array())
                co_return errorResponse(http::status::bad_request, "expected an object with messages");
            Job job = readJob(body);
            co_await acquireSlot(job);
            auto result = co_await generate(job, writer);
            --m_running;
            updateReport();
            co_return result;
        }

        boost::asio::awaitable<HandlerResult> generate(const Job& job, HttpStreamWriter& writer)
        {
            updateReport();
            bool hit = usePrefixCache(job.prompt);
            int prefill = hit ? m_settings.prefillMs / 10 : m_settings.prefillMs;
            co_await sleepFor(m_io, std::chrono::milliseconds(prefill));
            std::uint64_t hash = hashText(job.prompt);
            int first = static_cast<int>(std::count(job.resumeText.begin(), job.resumeText.end(), ' '));
            std::string text;
            Status status = boost::outcome_v2::success();
            if (job.stream)
                status = co_await writer.begin({}, "text/event-stream", writeTimeout);
            for (int i = first; i < job.length && status; ++i) {
                co_await sleepFor(m_io, std::chrono::milliseconds(m_settings.tokenMs));
                if (m_cutAfterTokens > 0 && i >= m_cutAfterTokens)
                    co_return dropResponse();
                std::string word = tokenAt(hash, i);
                if (job.stream)
                    status = co_await writer.write("data: " + chunk(word, "").dump() + "\n\n", writeTimeout);
                else
                    text += word;
            }
            Json usage = usageJson(job, std::max(0, job.length - first), hit);
            if (!job.stream)
                co_return jsonResponse(completion(text, usage));
            Json last = chunk("", "stop");
            last["usage"] = usage;
            if (status)
                status = co_await writer.write("data: " + last.dump() + "\n\ndata: [DONE]\n\n", writeTimeout);
            if (status)
                status = co_await writer.end(writeTimeout);
            co_return StreamedResponse { bool(status) };
        }

        static Json usageJson(const Job& job, int outputTokens, bool hit)
        {
            int promptTokens = static_cast<int>(job.prompt.size() / 4) + 1;
            return { { "prompt_tokens", promptTokens }, { "completion_tokens", outputTokens },
                { "prompt_tokens_details", { { "cached_tokens", hit ? promptTokens : 0 } } } };
        }

        static Json completion(const std::string& text, const Json& usage)
        {
            Json message = { { "role", "assistant" }, { "content", text } };
            Json choice = { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
            return { { "choices", Json::array({ choice }) }, { "usage", usage } };
        }

        Json chunk(const std::string& text, const std::string& finish) const
        {
            Json choice = { { "index", 0 }, { "delta", text.empty() ? Json::object() : Json({ { "content", text } }) },
                { "finish_reason", finish.empty() ? Json() : Json(finish) } };
            return { { "object", "chat.completion.chunk" }, { "model", m_settings.model },
                { "choices", Json::array({ choice }) } };
        }

        /// Sets the load report to the latest state that is older than the report lag.
        void updateReport()
        {
            TimePoint now = bootTimeNow();
            m_history.push_back({ now, m_running, static_cast<int>(m_waiting.size()) });
            Duration lag = std::chrono::milliseconds(m_settings.reportLagMs);
            while (m_history.size() > 1 && now - m_history[1].at >= lag)
                m_history.pop_front();
            m_report = { { "running", m_history.front().running }, { "waiting", m_history.front().waiting } };
        }

        struct Sample {
            TimePoint at;
            int running;
            int waiting;
        };

        boost::asio::io_context& m_io;
        Settings m_settings;
        int m_running = 0;
        std::vector<Job*> m_waiting;
        std::uint64_t m_nextOrder = 0;
        std::list<std::string> m_prefixes;
        std::int64_t m_highestEpoch = 0;
        int m_cutAfterTokens = 0;
        std::deque<Sample> m_history;
        Json m_report = { { "running", 0 }, { "waiting", 0 } };
        Json m_orders = Json::array();
        Json m_captures = Json::array();
    };

} // namespace

HttpHandler makeEngineHandler(boost::asio::io_context& io, const Settings& settings)
{
    auto engine = std::make_shared<FakeEngine>(io, settings);
    return
        [engine](HttpRequest request, HttpStreamWriter& writer) { return engine->handle(std::move(request), writer); };
}

} // namespace wisteriayard::fakes
