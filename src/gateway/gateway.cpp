#include "gateway.h"

#include "address.h"
#include "admin_server.h"
#include "buffered_sink.h"
#include "caller_session.h"
#include "clock.h"
#include "gateway_state.h"
#include "http_server.h"
#include "peer_exchange.h"
#include "store_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <list>

namespace wisteriayard {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace {

    constexpr std::size_t logBufferBytes = 512 * 1024;
    /// Lines reach standard output within this time.
    constexpr Duration logDrainInterval = std::chrono::milliseconds(200);
    /// Time between two rounds of housekeeping.
    constexpr Duration housekeepingInterval = std::chrono::milliseconds(500);
    /// A store call that outlasts this is given up; a slow store answers within some hundred milliseconds.
    constexpr Duration storeTimeout = std::chrono::milliseconds(1500);
    /// Store calls for leases have to end well within the lease.
    constexpr Duration leaseCallTimeout = std::chrono::milliseconds(700);
    constexpr Duration leaseMargin = std::chrono::milliseconds(600);
    /// Without fencing a new holder of the lease waits until the reports of the former one have arrived: it stopped the
    /// margin before its lease ended, and its connections drop what they have not sent.
    constexpr Duration unfencedWait = std::chrono::milliseconds(500);
    /// The settings file is compared with the one in force this often, in case no signal tells of a change.
    constexpr Duration settingsCheckInterval = std::chrono::seconds(2);
    /// After SIGTERM: connections are accepted for at least this long, because the balancer asks for readiness once a
    /// second and acts on the second refusal.
    constexpr Duration leastDrain = std::chrono::milliseconds(3200);
    /// Idle connections of callers are closed from then on.
    constexpr Duration idleCloseDelay = std::chrono::milliseconds(2200);
    /// Share of the time before SIGKILL that requests in hand may take.
    constexpr double usedGrace = 0.85;
    /// Time to write the last usage: further tries after this could outlast the grace.
    constexpr Duration flushTimeLimit = std::chrono::milliseconds(200);
    constexpr Duration drainPoll = std::chrono::milliseconds(50);
    constexpr Duration acceptRetry = std::chrono::milliseconds(20);
    /// Time between two writes of an entry's usage: what a killed process loses.
    constexpr Duration usagePartInterval = std::chrono::milliseconds(1600);
    /// Share of the allowed delay of a usage report after which its window is closed: late enough for the parts of
    /// entries that stood still, early enough for another holder of the lease to take over.
    constexpr double usageGraceShare = 0.35;
    constexpr Duration usageSettleDelay = std::chrono::milliseconds(1500);
    constexpr Duration usageStepInterval = std::chrono::milliseconds(400);
    constexpr std::int64_t usageRetainedWindows = 24;
    constexpr Duration reportTimeout = std::chrono::milliseconds(1200);

    /// A gateway process.
    class Gateway {
    public:
        Gateway(const GatewaySettings& settings, const PlatformPort& platform, const GatewayOptions& options)
            : m_platform(platform)
            , m_options(options)
            , m_sink(std::make_shared<BufferedSink>(logBufferBytes))
            , m_state(m_io, settings, platform, EventLog::open(m_sink, settings.instance.value()))
            , m_acceptor(m_io)
            , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
            , m_peers(m_state, platform.makeStore(m_io.get_executor(), leaseCallTimeout))
            , m_config(m_io, platform.makeStore(m_io.get_executor(), storeTimeout), platform.configPrefix(),
                  configHandlers(), m_state.log)
            , m_endpoints(m_io, platform.makeStore(m_io.get_executor(), storeTimeout), platform.endpointPrefix(),
                  endpointHandlers(), m_state.log)
        {
        }

        Status start()
        {
            BOOST_OUTCOME_TRY(openListener(m_acceptor, m_state.settings.callerAddress));
            m_ready = makeReadyServer();
            BOOST_OUTCOME_TRY(m_ready->listen(m_state.settings.readyAddress));
            if (m_options.metricsPort != 0) {
                m_admin = makeAdminServer(m_io, adminSources());
                boost::asio::ip::tcp::endpoint address(m_state.settings.callerAddress.address(), m_options.metricsPort);
                BOOST_OUTCOME_TRY(m_admin->listen(address));
            }
            BOOST_OUTCOME_TRY(m_peers.open());
            m_peers.setViews(peerViews());
            if (m_state.settings.reportsUsage)
                startUsage();
            spawn([this] { return m_state.watchdog.run([this](Duration gap) { paused(gap); }); });
            spawn([this] { return m_config.run(); });
            spawn([this] { return m_endpoints.run(); });
            spawn([this] { return m_peers.followRegistrations(); });
            spawn([this] { return m_peers.keepRegistered(); });
            spawn([this] { return m_peers.sendLoads(); });
            spawn([this] { return m_peers.receiveLoads(); });
            spawn([this] { return accept(); });
            spawn([this] { return drainLog(); });
            spawn([this] { return keepHouse(); });
            spawn([this] { return handleSignals(); });
            return boost::outcome_v2::success();
        }

        void run()
        {
            m_state.log->write(Event::ProcessStarted,
                { { "role", "gateway" }, { "listen", formatAddress(m_state.settings.callerAddress) },
                    { "zone", m_state.settings.zone.value() }, { "store", formatAddress(m_state.settings.store) } });
            m_io.run();
            m_state.log->write(Event::ProcessStopped, nlohmann::json::object());
            m_sink->drainAtExit();
        }

    private:
        template <typename Task> void spawn(Task task)
        {
            boost::asio::co_spawn(m_io, std::move(task), boost::asio::detached);
        }

        std::shared_ptr<HttpServer> makeReadyServer()
        {
            HttpServerLimits limits;
            limits.maxBody = Bytes(4096);
            auto handler = [this](HttpRequest request, HttpStreamWriter&) -> awaitable<HandlerResult> {
                namespace http = boost::beast::http;
                auto status = http::status::not_found;
                if (request.target() == m_platform.readyPath())
                    status = m_state.isReady() ? http::status::ok : http::status::service_unavailable;
                co_return makeHttpResponse(status, std::string(), "text/plain");
            };
            return std::make_shared<HttpServer>(m_io, limits, std::move(handler));
        }

        AdminSources adminSources()
        {
            AdminSources sources;
            sources.ready = [this] { return m_state.isReady(); };
            sources.metrics = [this] { return m_state.metrics.text(); };
            sources.status = [this] { return statusJson(); };
            return sources;
        }

        std::string statusJson() const
        {
            nlohmann::json status = { { "entries", m_state.liveEntries }, { "endpoints", m_state.directory.size() },
                { "config_version", m_state.routes ? m_state.routes->config().version.value() : 0 },
                { "active_requests", m_state.activeRequests } };
            if (m_state.usage)
                status["usage"] = m_state.usage->status();
            return status.dump();
        }

        StoreFollower::Handlers configHandlers()
        {
            StoreFollower::Handlers handlers;
            handlers.snapshot = [this](const StoreRange& range, TimePoint now) {
                m_state.configConfirmedAt = now;
                for (const StoreItem& item : range.items)
                    takeConfig(item);
            };
            handlers.changes = [this](const WatchBatch& batch, TimePoint now) {
                m_state.configConfirmedAt = now;
                for (const StoreItem& item : batch.items)
                    takeConfig(item);
            };
            follow(handlers, StoreView::Configuration);
            return handlers;
        }

        /// Joins a copy of the store to the exchange with other entries.
        void follow(StoreFollower::Handlers& handlers, StoreView view)
        {
            handlers.role = [this] { return m_peers.role(); };
            handlers.passOn
                = [this, view](Revision from, const WatchBatch& batch) { m_peers.passOnChanges(view, from, batch); };
            handlers.reading = [this, view](ReadCause cause) {
                m_state.metrics.viewRead(std::string(storeViewName(view)), std::string(readCauseName(cause)));
            };
        }

        PeerExchange::Views peerViews()
        {
            PeerExchange::Views views;
            views.marks = [this](TimePoint now) {
                return std::map<StoreView, ViewProgress> { { StoreView::Configuration, m_config.mark(now) },
                    { StoreView::Endpoints, m_endpoints.mark(now) } };
            };
            views.takeMark = [this](StoreView view, const ViewProgress& mark, TimePoint now) {
                follower(view).takeMark(mark, now);
            };
            views.takeChanges = [this](const ViewChanges& changes, TimePoint now) {
                follower(changes.view).takeChanges(changes, now);
            };
            return views;
        }

        StoreFollower& follower(StoreView view) { return view == StoreView::Configuration ? m_config : m_endpoints; }

        void takeConfig(const StoreItem& item)
        {
            if (item.key != m_platform.configKey() || item.value.empty())
                return;
            auto config = m_platform.decodeConfig(item.value);
            if (config) {
                m_state.configure(std::move(config.value()));
                return;
            }
            m_state.log->write(Event::ConfigRejected,
                { { "key", item.key }, { "revision", item.modRevision.value() }, { "error", config.error().message } });
        }

        StoreFollower::Handlers endpointHandlers()
        {
            StoreFollower::Handlers handlers;
            handlers.snapshot = [this](const StoreRange& range, TimePoint now) {
                m_state.endpointsConfirmedAt = now;
                m_state.directory.replace(range, now);
            };
            handlers.changes = [this](const WatchBatch& batch, TimePoint now) {
                m_state.endpointsConfirmedAt = now;
                m_state.directory.apply(batch, now);
            };
            follow(handlers, StoreView::Endpoints);
            return handlers;
        }

        std::int64_t guardedTime()
        {
            std::int64_t time = m_state.clock.guardedMilliseconds(wallClockMilliseconds(), bootTimeNow());
            if (auto jump = m_state.clock.takeJump())
                m_state.log->write(Event::ClockCorrected, { { "milliseconds", *jump }, { "cause", "jump" } });
            return time;
        }

        void startUsage()
        {
            const GatewaySettings& settings = m_state.settings;
            UsageReporter::Options parts;
            parts.instance = settings.instance;
            parts.times.window = settings.usageWindow;
            parts.times.partInterval = usagePartInterval;
            parts.times.grace = scaled(settings.usageDelay, usageGraceShare);
            parts.times.settleDelay = usageSettleDelay;
            parts.times.stepInterval = usageStepInterval;
            parts.times.retainedWindows = usageRetainedWindows;
            parts.lease.timeToLive = settings.leaseTime;
            parts.lease.safetyMargin = leaseMargin;
            if (settings.checksFencing) {
                parts.lease.activationDelay = Duration(0);
            } else {
                parts.lease.activationDelay = unfencedWait;
                parts.lease.reacquisitionGap = settings.leaseTime + leaseMargin;
            }
            parts.store = m_platform.makeStore(m_io.get_executor(), leaseCallTimeout);
            parts.sender = [this](LeaseKeeper& keeper, WindowId window, const std::string& record) {
                return sendUsage(keeper, window, record);
            };
            parts.clock = [this] { return guardedTime(); };
            parts.forwardUnstored = [this](WindowId window, const IncarnationId& entry,
                                        const PartialUsageRecord& part) { m_peers.passOnUsage(window, entry, part); };
            parts.submitToWriter = [this](WindowId window, const IncarnationId& entry, const PartialUsageRecord& part) {
                return m_peers.offerUsage(window, entry, part);
            };
            parts.closed = [this](const FinalUsageRecord& final) { m_peers.announceClosed(final); };
            m_state.usage = std::make_shared<UsageReporter>(m_io, std::move(parts), m_state.log);
            m_state.usage->start([this] { return m_peers.isLeaseCandidate(); });
        }

        awaitable<Status> sendUsage(LeaseKeeper& keeper, WindowId window, const std::string& record)
        {
            auto final = parseFinalUsageRecord(record);
            if (!final)
                co_return final.error();
            std::map<AccountId, std::int64_t> requests;
            for (const auto& [key, figures] : final.value().content.lines)
                requests[key.account] += figures.requests;
            auto ends = keeper.authorityEnds(bootTimeNow());
            if (!ends)
                co_return fail(Errc::Unauthorized, "the lease is not held");
            Duration timeout = std::min(reportTimeout, *ends - bootTimeNow());
            Epoch epoch = keeper.epoch();
            co_return co_await m_platform.sendUsage(m_io.get_executor(), window, epoch, requests, timeout);
        }

        awaitable<void> accept()
        {
            while (m_acceptor.is_open()) {
                boost::system::error_code error;
                auto socket = co_await m_acceptor.async_accept(redirect_error(use_awaitable, error));
                if (error) {
                    boost::asio::steady_timer timer(m_io, acceptRetry);
                    co_await timer.async_wait(redirect_error(use_awaitable, error));
                    continue;
                }
                auto session = std::make_shared<CallerSession>(m_state, std::move(socket));
                m_sessions.push_back(session);
                spawn([session] { return session->run(); });
            }
        }

        awaitable<void> drainLog()
        {
            boost::asio::steady_timer timer(m_io);
            while (true) {
                timer.expires_after(logDrainInterval);
                co_await timer.async_wait(use_awaitable);
                m_sink->drain();
            }
        }

        awaitable<void> keepHouse()
        {
            boost::asio::steady_timer timer(m_io);
            std::uint64_t dropped = 0;
            TimePoint checkedSettings = bootTimeNow();
            while (true) {
                timer.expires_after(housekeepingInterval);
                co_await timer.async_wait(use_awaitable);
                TimePoint now = bootTimeNow();
                m_state.pool.expire(now);
                m_state.directory.removeLapsed(now);
                m_state.directory.logPools(now);
                std::erase_if(m_sessions, [](const auto& session) { return session.expired(); });
                std::uint64_t suppressed = m_state.requestLogBudget.takeSuppressedCount();
                if (suppressed > 0 || m_sink->dropped() > dropped)
                    m_state.log->write(Event::LinesSuppressed,
                        { { "suppressed", suppressed }, { "dropped", m_sink->dropped() - dropped } });
                dropped = m_sink->dropped();
                updateGauges(now);
                if (now - checkedSettings >= settingsCheckInterval) {
                    checkedSettings = now;
                    reloadSettings("changed");
                }
            }
        }

        void updateGauges(TimePoint now)
        {
            m_state.metrics.endpoints(m_state.directory.size());
            m_state.metrics.activeRequests(m_state.activeRequests);
            m_state.metrics.viewAge("config", now - m_state.configConfirmedAt);
            m_state.metrics.viewAge("endpoints", now - m_state.endpointsConfirmedAt);
            m_state.metrics.droppedLines(static_cast<double>(m_sink->dropped()));
        }

        void paused(Duration gap)
        {
            m_state.log->write(Event::ProcessPaused, { { "milliseconds", gap.count() / 1000 } });
            // Endpoints may have closed them meanwhile.
            m_state.pool.dropAll();
        }

        void reloadSettings(std::string_view cause)
        {
            auto loaded = m_options.loadSettings();
            if (!loaded) {
                if (loaded.error().message != m_settingsError)
                    m_state.log->write(
                        Event::SettingsRejected, { { "cause", cause }, { "error", loaded.error().message } });
                m_settingsError = loaded.error().message;
                return;
            }
            m_settingsError.clear();
            const GatewaySettings& next = loaded.value();
            GatewaySettings& current = m_state.settings;
            bool changed = next.retryRatio != current.retryRatio || next.retrySlack != current.retrySlack
                || next.shutdownGrace != current.shutdownGrace || next.zones != current.zones;
            if (!changed && cause == "changed")
                return;
            // Addresses and duties are fixed for the life of the process.
            current.retryRatio = next.retryRatio;
            current.retrySlack = next.retrySlack;
            current.shutdownGrace = next.shutdownGrace;
            current.zones = next.zones;
            m_state.log->write(Event::SettingsReloaded, { { "cause", cause } });
        }

        awaitable<void> handleSignals()
        {
            while (true) {
                boost::system::error_code error;
                int signal = co_await m_signals.async_wait(redirect_error(use_awaitable, error));
                if (error)
                    co_return;
                if (signal == SIGHUP) {
                    reloadSettings("signal");
                    continue;
                }
                m_state.log->write(Event::ProcessStopping, { { "signal", signal } });
                m_state.drainingSince = bootTimeNow();
                m_peers.announceLeaving();
                co_await shutDown();
                m_io.stop();
                co_return;
            }
        }

        awaitable<void> shutDown()
        {
            TimePoint start = bootTimeNow();
            TimePoint end = start + scaled(m_state.settings.shutdownGrace, usedGrace);
            boost::asio::steady_timer timer(m_io);
            while (bootTimeNow() < end) {
                timer.expires_after(drainPoll);
                co_await timer.async_wait(use_awaitable);
                TimePoint now = bootTimeNow();
                if (now - start >= idleCloseDelay)
                    closeIdleSessions();
                if (now - start >= leastDrain && m_state.activeRequests == 0)
                    break;
            }
            boost::system::error_code ignored;
            m_acceptor.close(ignored);
            if (m_state.usage)
                co_await m_state.usage->flush(flushTimeLimit);
            co_await m_peers.leave();
        }

        void closeIdleSessions()
        {
            for (const auto& weak : m_sessions) {
                if (auto session = weak.lock())
                    session->closeIfIdle();
            }
        }

        boost::asio::io_context m_io { 1 };
        const PlatformPort& m_platform;
        GatewayOptions m_options;
        std::shared_ptr<BufferedSink> m_sink;
        GatewayState m_state;
        boost::asio::ip::tcp::acceptor m_acceptor;
        boost::asio::signal_set m_signals;
        std::shared_ptr<HttpServer> m_ready;
        std::shared_ptr<HttpServer> m_admin;
        PeerExchange m_peers;
        StoreFollower m_config;
        StoreFollower m_endpoints;
        std::list<std::weak_ptr<CallerSession>> m_sessions;
        std::string m_settingsError;
    };

} // namespace

int runGateway(const GatewaySettings& settings, const PlatformPort& platform, const GatewayOptions& options)
{
    std::signal(SIGPIPE, SIG_IGN);
    Gateway gateway(settings, platform, options);
    auto started = gateway.start();
    if (!started) {
        std::fprintf(stderr, "wisteriayard-gateway: %s\n", started.error().message.c_str());
        return 1;
    }
    gateway.run();
    return 0;
}

} // namespace wisteriayard
