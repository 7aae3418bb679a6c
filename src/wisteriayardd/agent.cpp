#include "agent.h"

#include "address.h"
#include "admin_server.h"
#include "attempt_hash.h"
#include "clock.h"
#include "engine_client.h"
#include "event_log.h"
#include "event_loop.h"
#include "hash.h"
#include "once_keeper.h"
#include "order_port.h"
#include "wire_socket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <set>

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    /// Queue limit of the agent per slot of the endpoint. Requests beyond it are rejected as busy.
    constexpr std::size_t queuedPerSlot = 2;
    constexpr Duration engineIdleTimeout = std::chrono::seconds(30);
    constexpr Duration serviceTimeout = std::chrono::seconds(10);
    constexpr Bytes maxServiceResponse { 8 * 1024 * 1024 };
    /// Entries ping an agent while they wait for responses. The jobs of an entry that sent no message for this long are
    /// cancelled.
    constexpr Duration entryContactTimeout = std::chrono::seconds(3);
    constexpr Duration pollInterval = std::chrono::milliseconds(200);

    /// An attempt that is queued or running at this agent.
    struct Job {
        std::string peer;
        wire::Submit submit;
        std::uint64_t arrival = 0;
        std::unique_ptr<HttpConnection> connection;
        std::uint64_t chunks = 0;
        bool started = false;
        bool cancelled = false;
        /// True until the at-most-once log has stored the call's intent or rejected the call; not started before.
        bool waitsForIntent = false;
        /// Set for an at-most-once call when its intent is stored.
        std::optional<OncePermit> permit;
    };

    /// Key of an attempt. Request ids are unique across all entries, so the key needs no entry id.
    std::string jobKey(const std::string& requestId, std::uint32_t attempt)
    {
        return requestId + "/" + std::to_string(attempt);
    }

    /// Process that runs requests of the entries at its endpoint and limits their concurrency.
    class Agent {
    public:
        Agent(const AgentSettings& settings, std::shared_ptr<EventLog> log)
            : m_settings(settings)
            , m_log(std::move(log))
            , m_signals(m_io, SIGINT, SIGTERM)
            , m_socket(m_io, m_zmq, WireSocket::Kind::Router,
                  [this](const std::string& peer, const wire::Envelope& envelope) { received(peer, envelope); })
        {
            m_incarnation = std::stoull(randomHex(7), nullptr, 16) | 1;
            m_once = std::make_unique<OnceKeeper>(m_io, m_settings, m_log, m_incarnation);
        }
        Agent(const Agent&) = delete;
        Agent& operator=(const Agent&) = delete;
        ~Agent() { m_io.discardPending(); }

        Status start()
        {
            if (m_settings.orderListen) {
                m_orders = std::make_shared<OrderPort>(m_io, m_settings, m_log);
                BOOST_OUTCOME_TRY(m_orders->start());
            }
            BOOST_OUTCOME_TRY(m_socket.bind(formatAddress(m_settings.listen)));
            m_admin = makeAdminServer(
                m_io, { [this] { return !m_leaving; }, [] { return std::string(); }, [this] { return statusJson(); } });
            return m_admin->listen(m_settings.common.admin);
        }

        void run()
        {
            m_log->write(Event::ProcessStarted,
                { { "role", "agent" }, { "endpoint", m_settings.endpoint.value() },
                    { "listen", formatAddress(m_settings.listen) } });
            boost::asio::co_spawn(
                m_io, [this] { return shutDownOnSignal(); }, boost::asio::detached);
            boost::asio::co_spawn(
                m_io, [this] { return detectLostEntries(); }, boost::asio::detached);
            m_io.run();
            m_log->write(Event::ProcessStopped, nlohmann::json::object());
        }

    private:
        void received(const std::string& peer, const wire::Envelope& envelope)
        {
            m_lastContact[peer] = bootTimeNow();
            switch (envelope.message_case()) {
            case wire::Envelope::kSubmit:
                handleSubmit(peer, envelope.submit());
                break;
            case wire::Envelope::kCancel:
                cancelJob(jobKey(envelope.cancel().request_id(), envelope.cancel().attempt()));
                break;
            case wire::Envelope::kPing:
                sendLoad(peer, envelope.ping().sequence());
                break;
            default:
                break; // messages that only entries handle
            }
        }

        void handleSubmit(const std::string& peer, const wire::Submit& submit)
        {
            std::string key = jobKey(submit.request_id(), submit.attempt());
            if (m_jobs.count(key))
                return; // duplicate delivery
            std::size_t capacity = static_cast<std::size_t>(m_settings.slots) * (1 + queuedPerSlot);
            if (m_leaving || m_jobs.size() >= capacity) {
                wire::Envelope reply;
                reply.mutable_rejected()->set_request_id(submit.request_id());
                reply.mutable_rejected()->set_attempt(submit.attempt());
                reply.mutable_rejected()->set_reason(m_leaving ? "leaving" : "busy");
                m_socket.send(peer, reply);
                return;
            }
            auto job = std::make_shared<Job>();
            job->peer = peer;
            job->submit = submit;
            job->arrival = m_nextArrival++;
            m_jobs[key] = job;
            if (submit.at_most_once() && submit.kind() == wire::SERVICE) {
                job->waitsForIntent = true;
                boost::asio::co_spawn(
                    m_io, [this, job] { return admitOnce(job); }, boost::asio::detached);
                return;
            }
            startQueuedJobs();
        }

        /// Queues an at-most-once call when its intent is stored; otherwise replies with the recorded answer or the
        /// reason why the call must not run.
        boost::asio::awaitable<void> admitOnce(std::shared_ptr<Job> job)
        {
            OnceAdmission admission = co_await m_once->admit(job->submit);
            job->waitsForIntent = false;
            if (auto* permit = std::get_if<OncePermit>(&admission)) {
                job->permit = *permit;
                startQueuedJobs();
                co_return;
            }
            wire::Envelope reply;
            if (auto* finished = std::get_if<wire::Finished>(&admission))
                *reply.mutable_finished() = *finished;
            if (auto* rejected = std::get_if<wire::Rejected>(&admission))
                *reply.mutable_rejected() = *rejected;
            if (auto* failed = std::get_if<wire::Failed>(&admission))
                *reply.mutable_failed() = *failed;
            sendReply(*job, reply);
            m_jobs.erase(jobKey(job->submit.request_id(), job->submit.attempt()));
        }

        /// Sets the ids of the attempt in the reply and sends it.
        void sendReply(const Job& job, wire::Envelope& envelope)
        {
            auto setIds = [&](auto* message) {
                message->set_request_id(job.submit.request_id());
                message->set_attempt(job.submit.attempt());
            };
            if (envelope.has_finished())
                setIds(envelope.mutable_finished());
            if (envelope.has_rejected())
                setIds(envelope.mutable_rejected());
            if (envelope.has_failed())
                setIds(envelope.mutable_failed());
            m_socket.send(job.peer, envelope);
        }

        void cancelJob(const std::string& key)
        {
            auto it = m_jobs.find(key);
            if (it == m_jobs.end())
                return;
            std::shared_ptr<Job> job = it->second;
            // At-most-once calls are not cancelled: the intent may be stored already, and without a result the call
            // would stay unresolved.
            if (job->submit.at_most_once())
                return;
            job->cancelled = true;
            if (!job->started) {
                m_jobs.erase(it);
                return;
            }
            if (job->connection)
                job->connection->close();
        }

        /// Starts queued jobs by priority, then in order of arrival, while slots are free.
        void startQueuedJobs()
        {
            while (m_running < m_settings.slots) {
                std::shared_ptr<Job> next;
                for (const auto& [key, job] : m_jobs) {
                    if (job->started || job->waitsForIntent)
                        continue;
                    auto rank = [](const Job& each) { return std::pair(each.submit.priority(), each.arrival); };
                    if (!next || rank(*job) < rank(*next))
                        next = job;
                }
                if (!next)
                    return;
                next->started = true;
                ++m_running;
                boost::asio::co_spawn(
                    m_io, [this, next] { return runJob(next); }, boost::asio::detached);
            }
        }

        boost::asio::awaitable<void> runJob(std::shared_ptr<Job> job)
        {
            wire::Envelope accepted;
            accepted.mutable_accepted()->set_request_id(job->submit.request_id());
            accepted.mutable_accepted()->set_attempt(job->submit.attempt());
            m_socket.send(job->peer, accepted);
            job->connection
                = std::make_unique<HttpConnection>(m_io.get_executor(), m_settings.endpointAddress, maxServiceResponse);
            if (job->submit.kind() == wire::CHAT)
                co_await runChatJob(*job);
            else
                co_await runServiceJob(*job);
            --m_running;
            m_jobs.erase(jobKey(job->submit.request_id(), job->submit.attempt()));
            startQueuedJobs();
        }

        boost::asio::awaitable<void> runChatJob(Job& job)
        {
            auto body = engineRequestBody(job.submit.body(), Priority(job.submit.priority()), job.submit.resume_text());
            if (!body) {
                sendFailed(job, wire::NOT_RUN, body.error().message);
                co_return;
            }
            TimePoint started = bootTimeNow();
            TokenUsage usage;
            std::string finishReason = "stop";
            auto handler = [&](const EngineEvent& event) {
                if (!event.text.empty())
                    sendChunk(job, event.text);
                if (event.usage)
                    usage = *event.usage;
                if (!event.finishReason.empty())
                    finishReason = event.finishReason;
            };
            auto status = co_await runChat(*job.connection, std::move(body.value()), engineIdleTimeout, handler);
            if (!status) {
                bool reached = status.error().code != Errc::Unavailable;
                sendFailed(job, reached ? wire::UNKNOWN : wire::NOT_RUN, status.error().message);
                co_return;
            }
            wire::Envelope envelope;
            auto* finished = envelope.mutable_finished();
            finished->set_prompt_tokens(static_cast<std::uint64_t>(usage.prompt.value()));
            finished->set_cached_tokens(static_cast<std::uint64_t>(usage.cached.value()));
            finished->set_output_tokens(static_cast<std::uint64_t>(usage.output.value()));
            finished->set_finish_reason(finishReason);
            sendFinished(job, envelope, started);
        }

        boost::asio::awaitable<void> runServiceJob(Job& job)
        {
            TimePoint started = bootTimeNow();
            auto method = http::string_to_verb(job.submit.method());
            auto request = makeHttpRequest(method, job.submit.path(), job.submit.body(), job.submit.content_type());
            if (!job.submit.idempotency_key().empty())
                request.set("Idempotency-Key", job.submit.idempotency_key());
            auto response = co_await job.connection->exchange(std::move(request), serviceTimeout);
            if (!response) {
                bool reached = response.error().code != Errc::Unavailable;
                wire::Outcome outcome = reached ? wire::UNKNOWN : wire::NOT_RUN;
                if (job.permit)
                    m_once->recordFailure(*job.permit, outcome);
                sendFailed(job, outcome, response.error().message);
                co_return;
            }
            wire::Envelope envelope;
            auto* finished = envelope.mutable_finished();
            finished->set_http_status(response.value().result_int());
            finished->set_content_type(std::string(response.value()[http::field::content_type]));
            finished->set_body(response.value().body());
            if (job.permit)
                m_once->recordAnswer(*job.permit, *finished);
            sendFinished(job, envelope, started);
        }

        void sendChunk(Job& job, const std::string& text)
        {
            wire::Envelope envelope;
            auto* chunk = envelope.mutable_chunk();
            chunk->set_request_id(job.submit.request_id());
            chunk->set_attempt(job.submit.attempt());
            chunk->set_sequence(job.chunks++);
            chunk->set_tokens(1);
            chunk->set_text(text);
            // If the entry can't be reached, it detects the missing chunk by its sequence number and discards the
            // response, so the engine need not go on.
            if (!m_socket.send(job.peer, envelope) && job.connection)
                job.connection->close();
        }

        void sendFinished(const Job& job, wire::Envelope& envelope, TimePoint started)
        {
            auto* finished = envelope.mutable_finished();
            finished->set_request_id(job.submit.request_id());
            finished->set_attempt(job.submit.attempt());
            finished->set_chunks(job.chunks);
            finished->set_endpoint_us(static_cast<std::uint64_t>((bootTimeNow() - started).count()));
            m_socket.send(job.peer, envelope);
        }

        void sendFailed(const Job& job, wire::Outcome outcome, const std::string& reason)
        {
            wire::Envelope envelope;
            auto* failed = envelope.mutable_failed();
            failed->set_request_id(job.submit.request_id());
            failed->set_attempt(job.submit.attempt());
            failed->set_outcome(outcome);
            failed->set_reason(reason);
            m_socket.send(job.peer, envelope);
        }

        void sendLoad(const std::string& peer, std::uint64_t sequence)
        {
            wire::Envelope envelope;
            auto* load = envelope.mutable_load();
            load->set_sequence(sequence);
            load->set_incarnation(m_incarnation);
            load->set_running(static_cast<std::uint32_t>(m_running));
            load->set_queued(static_cast<std::uint32_t>(m_jobs.size()) - static_cast<std::uint32_t>(m_running));
            load->set_leaving(m_leaving);
            for (const auto& [key, job] : m_jobs) {
                if (job->peer == peer && !job->cancelled)
                    load->add_attempts(attemptHash(job->submit.request_id(), job->submit.attempt()));
            }
            load->set_slots(static_cast<std::uint32_t>(m_settings.slots));
            m_socket.send(peer, envelope);
        }

        boost::asio::awaitable<void> detectLostEntries()
        {
            boost::asio::steady_timer timer(m_io);
            while (true) {
                timer.expires_after(pollInterval);
                co_await timer.async_wait(boost::asio::use_awaitable);
                cancelJobsOfLostEntries(bootTimeNow());
            }
        }

        /// Cancels the jobs of entries that have not sent a message within entryContactTimeout.
        void cancelJobsOfLostEntries(TimePoint now)
        {
            std::set<std::string> lost;
            for (const auto& [peer, lastContact] : m_lastContact) {
                if (now - lastContact > entryContactTimeout)
                    lost.insert(peer);
            }
            std::vector<std::string> abandoned;
            for (const auto& [key, job] : m_jobs) {
                if (lost.count(job->peer))
                    abandoned.push_back(key);
            }
            for (const std::string& key : abandoned)
                cancelJob(key);
            for (const std::string& peer : lost)
                m_lastContact.erase(peer);
        }

        boost::asio::awaitable<void> shutDownOnSignal()
        {
            int signal = co_await m_signals.async_wait(boost::asio::use_awaitable);
            m_log->write(Event::ProcessStopping, { { "signal", signal }, { "jobs", m_jobs.size() } });
            m_leaving = true;
            boost::asio::co_spawn(
                m_io, [this] { return m_once->drain(); }, boost::asio::detached);
            TimePoint deadline = bootTimeNow() + m_settings.common.drainDelay + m_settings.common.drainTimeout;
            TimePoint earliest = bootTimeNow() + m_settings.common.drainDelay;
            boost::asio::steady_timer timer(m_io);
            while (bootTimeNow() < earliest
                || ((!m_jobs.empty() || m_once->heldPartitions() > 0) && bootTimeNow() < deadline)) {
                timer.expires_after(pollInterval);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            m_io.stop();
        }

        std::string statusJson() const
        {
            nlohmann::json status = { { "instance", m_settings.common.instance.value() },
                { "zone", m_settings.common.zone.value() }, { "role", "agent" },
                { "endpoint", m_settings.endpoint.value() }, { "ready", !m_leaving }, { "running", m_running },
                { "jobs", m_jobs.size() }, { "once_partitions", m_once->heldPartitions() },
                { "once_writing", m_once->writingPartitions() } };
            return status.dump();
        }

        AgentSettings m_settings;
        std::shared_ptr<EventLog> m_log;
        zmq::context_t m_zmq { 1 };
        EventLoop m_io { 1 };
        boost::asio::signal_set m_signals;
        WireSocket m_socket;
        std::shared_ptr<HttpServer> m_admin;
        std::unique_ptr<OnceKeeper> m_once;
        std::shared_ptr<OrderPort> m_orders;
        std::uint64_t m_incarnation = 0;
        std::map<std::string, std::shared_ptr<Job>> m_jobs;
        std::map<std::string, TimePoint> m_lastContact;
        std::uint64_t m_nextArrival = 0;
        int m_running = 0;
        bool m_leaving = false;
    };

} // namespace

int runAgent(const AgentSettings& settings)
{
    auto log = EventLog::open(settings.common.logFile, settings.common.instance.value());
    if (!log) {
        std::cerr << "wisteriayardd: " << log.error().message << '\n';
        return 1;
    }
    Agent agent(settings, log.value());
    if (auto started = agent.start(); !started) {
        std::cerr << "wisteriayardd: " << started.error().message << '\n';
        return 1;
    }
    agent.run();
    return 0;
}

} // namespace wisteriayard
