#include "entry.h"

#include "address.h"
#include "admin_server.h"
#include "agent_links.h"
#include "caller_handler.h"
#include "clock.h"
#include "entry_control.h"
#include "entry_usage.h"
#include "event_loop.h"
#include "planner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace wisteriayard {

namespace {

    constexpr Duration drainPoll = std::chrono::milliseconds(20);
    constexpr std::int64_t minOtherDescriptors = 100;
    constexpr std::int64_t minHeadMemory = 128 * 1024;
    /// Shortest time between two log lines of one traffic thread about exhausted memory; the metric counts all.
    constexpr Duration shortageLogInterval = std::chrono::seconds(1);

    /// Returns the limit on callers' connections: the setting, or what the limit on descriptors allows if that is less.
    /// A tenth of the descriptors, at least minOtherDescriptors, is left to connections to agents, entries and the
    /// store.
    int callerConnections(int setting)
    {
        rlimit descriptors {};
        if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
            return setting;
        auto limit = static_cast<std::int64_t>(descriptors.rlim_cur);
        std::int64_t most = std::max<std::int64_t>(1, limit - std::max(minOtherDescriptors, limit / 10));
        return static_cast<int>(std::min<std::int64_t>(setting, most));
    }

    /// A thread that serves callers: its event loop, connections to agents and HTTP server.
    struct TrafficThread {
        EventLoop io { 1 };
        std::shared_ptr<AgentLinks> links;
        std::shared_ptr<CallerHandler> handler;
        std::shared_ptr<HttpServer> server;
        std::thread thread;
    };

    /// An entry instance with its threads.
    class Entry {
    public:
        Entry(const EntrySettings& settings, std::shared_ptr<EventLog> log)
            : m_settings(settings)
            , m_log(std::move(log))
            , m_signals(m_controlIo, SIGINT, SIGTERM)
        {
        }
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;
        ~Entry()
        {
            for (auto& traffic : m_traffic)
                traffic->io.discardPending();
            m_controlIo.discardPending();
        }

        Status start()
        {
            EntryControl::EndpointHandlers handlers;
            handlers.added = [this](const EndpointId& id, const std::string& address) { endpointAdded(id, address); };
            handlers.removed = [this](const EndpointId& id) { endpointRemoved(id); };
            m_control = std::make_shared<EntryControl>(m_controlIo, m_zmq, m_settings, m_log, std::move(handlers));
            m_usage = makeUsageReporter(m_controlIo, m_settings, m_log);
            m_planner = std::make_shared<Planner>(
                m_controlIo, m_settings, m_log, [control = m_control] { return control->zoneLoads(); });
            for (int i = 0; i < m_settings.trafficThreads; ++i) {
                BOOST_OUTCOME_TRY(addTrafficThread());
            }
            m_admin = makeAdminServer(m_controlIo,
                { [this] { return m_control->ready(); }, [this] { return m_metrics->text(); },
                    [this] { return statusJson(); } });
            BOOST_OUTCOME_TRY(m_admin->listen(m_settings.common.admin));
            BOOST_OUTCOME_TRY(m_control->start());
            m_usage->start();
            m_planner->start();
            return boost::outcome_v2::success();
        }

        void run()
        {
            m_log->write(Event::ProcessStarted,
                { { "role", "entry" }, { "listen", formatAddress(m_settings.listen) },
                    { "admin", formatAddress(m_settings.common.admin) } });
            for (auto& traffic : m_traffic)
                traffic->thread = std::thread([&traffic] { traffic->io.run(); });
            boost::asio::co_spawn(
                m_controlIo, [this] { return shutDownOnSignal(); }, boost::asio::detached);
            m_controlIo.run();
            for (auto& traffic : m_traffic) {
                traffic->io.stop();
                traffic->thread.join();
            }
            m_log->write(Event::ProcessStopped, nlohmann::json::object());
        }

    private:
        std::string statusJson() const
        {
            auto status = nlohmann::json::parse(m_control->statusJson(bootTimeNow()));
            status["planner"] = m_planner->status();
            status["usage"] = m_usage->status();
            return status.dump();
        }

        Status addTrafficThread()
        {
            auto traffic = std::make_unique<TrafficThread>();
            traffic->links = std::make_shared<AgentLinks>(
                traffic->io, m_zmq,
                [this](const EndpointId& id, const EndpointLoad& load) { m_control->endpointReported(id, load); },
                [this](const EndpointId& id) { m_control->agentLost(id); });
            traffic->handler
                = std::make_shared<CallerHandler>(traffic->io, m_control, traffic->links, m_metrics, m_log, m_usage);
            HttpServerLimits limits;
            limits.maxBody = m_settings.maxBody;
            limits.readTimeout = m_settings.readTimeout;
            limits.maxConnections = callerConnections(m_settings.maxConnections) / m_settings.trafficThreads + 1;
            // A thread has memory for a few heads of the largest size at least.
            limits.headMemory
                = std::max(Bytes(minHeadMemory), Bytes(m_settings.headMemory.value() / m_settings.trafficThreads));
            // With less than one body and its copy, a single request of the largest size would always be refused.
            limits.copiesBodies = true;
            limits.bodyMemory = std::max(Bytes(2 * m_settings.maxBody.value()),
                Bytes(m_settings.bodyMemory.value() / m_settings.trafficThreads));
            limits.keptFields = CallerHandler::requestFields();
            limits.sharePort = true;
            auto handler = [callers = traffic->handler](HttpRequest request, HttpStreamWriter& writer) {
                return callers->handle(std::move(request), writer);
            };
            traffic->server = std::make_shared<HttpServer>(traffic->io, limits, handler);
            traffic->server->onShortage(
                [metrics = m_metrics, log = m_log, logged = TimePoint {}](HttpShortage shortage) mutable {
                    metrics->memoryExhausted(shortage);
                    TimePoint now = bootTimeNow();
                    if (now - logged < shortageLogInterval)
                        return;
                    logged = now;
                    log->write(Event::CallerMemoryExhausted, { { "cause", shortageName(shortage) } });
                });
            BOOST_OUTCOME_TRY(traffic->server->listen(m_settings.listen));
            m_traffic.push_back(std::move(traffic));
            return boost::outcome_v2::success();
        }

        void endpointAdded(const EndpointId& id, const std::string& address)
        {
            // Only the first traffic thread receives load reports; the others connect to an endpoint when they dispatch
            // a request to it.
            auto& first = *m_traffic.front();
            boost::asio::post(first.io, [links = first.links, id, address] { links->watch(id, address); });
        }

        void endpointRemoved(const EndpointId& id)
        {
            for (auto& traffic : m_traffic)
                boost::asio::post(traffic->io, [links = traffic->links, id] { links->retire(id); });
        }

        boost::asio::awaitable<void> shutDownOnSignal()
        {
            int signal = co_await m_signals.async_wait(boost::asio::use_awaitable);
            m_log->write(Event::ProcessStopping, { { "signal", signal } });
            m_control->beginShutdown();
            boost::asio::steady_timer timer(m_controlIo, m_settings.common.drainDelay);
            co_await timer.async_wait(boost::asio::use_awaitable);
            for (auto& traffic : m_traffic)
                boost::asio::post(traffic->io, [server = traffic->server] { server->drain(); });
            TimePoint deadline = bootTimeNow() + m_settings.common.drainTimeout;
            while (openConnections() > 0 && bootTimeNow() < deadline) {
                timer.expires_after(drainPoll);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            co_await m_planner->release();
            co_await m_usage->flush();
            m_controlIo.stop();
        }

        int openConnections() const
        {
            int open = 0;
            for (const auto& traffic : m_traffic)
                open += traffic->server->connections();
            return open;
        }

        EntrySettings m_settings;
        std::shared_ptr<EventLog> m_log;
        std::shared_ptr<Metrics> m_metrics = std::make_shared<Metrics>();
        zmq::context_t m_zmq { 1 };
        EventLoop m_controlIo { 1 };
        boost::asio::signal_set m_signals;
        std::shared_ptr<EntryControl> m_control;
        std::shared_ptr<UsageReporter> m_usage;
        std::shared_ptr<Planner> m_planner;
        std::vector<std::unique_ptr<TrafficThread>> m_traffic;
        std::shared_ptr<HttpServer> m_admin;
    };

} // namespace

int runEntry(const EntrySettings& settings)
{
    auto log = EventLog::open(settings.common.logFile, settings.common.instance.value());
    if (!log) {
        std::cerr << "wisteriayardd: " << log.error().message << '\n';
        return 1;
    }
    Entry entry(settings, log.value());
    if (auto started = entry.start(); !started) {
        std::cerr << "wisteriayardd: " << started.error().message << '\n';
        return 1;
    }
    entry.run();
    return 0;
}

} // namespace wisteriayard
