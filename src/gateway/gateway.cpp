#include "gateway.h"

#include "address.h"
#include "admin_server.h"
#include "buffered_sink.h"
#include "caller_session.h"
#include "clock.h"
#include "evacuation_control.h"
#include "event_loop.h"
#include "gateway_state.h"
#include "http_server.h"
#include "peer_exchange.h"
#include "placement_query.h"
#include "quarantine_store.h"
#include "store_follower.h"
#include "wisteriayard/store_numbers.h"

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

    /// Connections to the port for readiness, which callers don't use.
    constexpr int maxReadinessConnections = 64;
    constexpr std::size_t logBufferBytes = 512 * 1024;
    /// Log lines are written to standard output within this time.
    constexpr Duration logDrainInterval = std::chrono::milliseconds(200);
    constexpr Duration housekeepingInterval = std::chrono::milliseconds(500);
    /// Timeout of store calls; a slow store responds within several hundred milliseconds.
    constexpr Duration storeTimeout = std::chrono::milliseconds(1500);
    /// Timeout of store calls for leases, well below the lease's time to live.
    constexpr Duration leaseCallTimeout = std::chrono::milliseconds(700);
    constexpr Duration leaseMargin = std::chrono::milliseconds(600);
    /// Without fencing, a new lease holder waits for this time until the reports of the previous holder have arrived.
    /// The previous holder stopped sending one safety margin before its lease expired, and its connections discard
    /// unsent data.
    constexpr Duration unfencedActivationDelay = std::chrono::milliseconds(500);
    /// Interval at which the settings file is compared with the settings in force, for changes without a SIGHUP.
    constexpr Duration settingsCheckInterval = std::chrono::seconds(2);
    /// Time for which the last usage records are written again if that fails.
    constexpr Duration flushTimeLimit = std::chrono::milliseconds(200);
    constexpr Duration drainPollInterval = std::chrono::milliseconds(50);
    /// Polling interval while the last store calls are made.
    constexpr Duration finishPollInterval = std::chrono::milliseconds(10);
    /// Kernel buffer for what a caller sends and the process has not read, which counts as memory of the process on
    /// some platforms. It is the size that connections have at first by default; without a limit the kernel lets it
    /// grow to megabytes. The kernel doubles the value for its own overhead.
    constexpr int callerReceiveBufferBytes = 64 * 1024;
    /// The same for responses. The kernel would hold up to 4 MiB for a caller that doesn't read, and reset the
    /// connection because of it, while the process takes the response for delivered.
    constexpr int callerSendBufferBytes = 64 * 1024;
    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);
    /// Interval at which an entry writes its partial usage records. A killed process loses the usage of up to one
    /// interval.
    constexpr Duration partialUsageRecordInterval = std::chrono::milliseconds(1600);
    /// Fraction of the allowed delay of a usage report after which its window is closed: late enough for the partial
    /// records of entries that were paused, early enough for another lease holder to take over.
    constexpr double usageGraceFraction = 0.35;
    constexpr Duration usageSettleDelay = std::chrono::milliseconds(1500);
    constexpr Duration usageStepInterval = std::chrono::milliseconds(400);
    /// An entry notices a restoration of the store within a few hundred milliseconds; its records are then written in
    /// the next round, those of followers by an observer.
    constexpr Duration usageRestorationSettling = std::chrono::milliseconds(2400);
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
            , m_peers(m_state, platform.makeStore(m_io.get_executor(), leaseCallTimeout, m_eras))
            , m_evacuations(m_state)
            , m_config(m_io, platform.makeStore(m_io.get_executor(), storeTimeout, m_eras), platform.configPrefix(),
                  CatchUp::CurrentState, configHandlers(), m_state.log)
            , m_endpoints(m_io, platform.makeStore(m_io.get_executor(), storeTimeout, m_eras),
                  platform.endpointPrefix(), CatchUp::History, endpointHandlers(), m_state.log)
            , m_quarantine(
                  m_io, platform.makeStore(m_io.get_executor(), storeTimeout, m_eras), m_state.crashGuard, m_state.log)
        {
            m_state.hedges = HedgePolicy(options.hedgeRatio);
            m_state.directory.setLateRetryShare(options.lateRetryRatio);
        }
        Gateway(const Gateway&) = delete;
        Gateway& operator=(const Gateway&) = delete;
        ~Gateway() { m_io.discardPending(); }

        Status start()
        {
            BOOST_OUTCOME_TRY(openListener(m_acceptor, m_state.settings.callerAddress));
            boost::system::error_code ignored; // the kernel's own limits apply otherwise
            m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(callerReceiveBufferBytes), ignored);
            m_acceptor.set_option(boost::asio::socket_base::send_buffer_size(callerSendBufferBytes), ignored);
            m_readinessServer = makeReadinessServer();
            BOOST_OUTCOME_TRY(m_readinessServer->listen(m_state.settings.readyAddress));
            if (m_options.metricsPort != 0) {
                m_adminServer = makeAdminServer(m_io, adminSources());
                boost::asio::ip::tcp::endpoint address(m_state.settings.callerAddress.address(), m_options.metricsPort);
                BOOST_OUTCOME_TRY(m_adminServer->listen(address));
            }
            BOOST_OUTCOME_TRY(m_peers.open());
            m_peers.setViews(peerViews());
            m_state.crashGuard.setTrialOrder([this](SuspectTag suspect) { return m_peers.trialTurn(suspect); });
            m_state.crashGuard.setChangeHandler([this](const QuarantineChange& change) { storeQuarantine(change); });
            if (m_state.settings.reportsUsage)
                startUsage();
            m_eras->addHandler([this](StoreEra former, StoreEra current) { storeRestored(former, current); });
            spawn([this] { return m_state.watchdog.run([this](Duration gap) { handleProcessPause(gap); }); });
            spawn([this] { return m_config.run(); });
            spawn([this] { return m_endpoints.run(); });
            spawn([this] { return m_quarantine.run(); });
            spawn([this] { return m_peers.followRegistrations(); });
            spawn([this] { return m_peers.keepRegistered(); });
            spawn([this] { return m_peers.sendLoads(); });
            spawn([this] { return m_peers.receiveDatagrams(); });
            spawn([this] { return accept(); });
            spawn([this] { return drainLog(); });
            spawn([this] { return runHousekeeping(); });
            spawn([this] { return handleSignals(); });
            return boost::outcome_v2::success();
        }

        void run()
        {
            m_state.log->write(Event::ProcessStarted,
                { { "role", "gateway" }, { "listen", formatAddress(m_state.settings.callerAddress) },
                    { "zone", m_state.settings.zone.value() }, { "store", formatAddress(m_state.settings.store) } });
            for (const InvalidField& field : m_state.settings.invalidFields)
                m_state.logInvalidField("settings", field);
            m_io.run();
            m_state.log->write(Event::ProcessStopped, nlohmann::json::object());
            m_sink->drainAtExit();
        }

    private:
        template <typename Task> void spawn(Task task)
        {
            boost::asio::co_spawn(m_io, std::move(task), boost::asio::detached);
        }

        std::shared_ptr<HttpServer> makeReadinessServer()
        {
            HttpServerLimits limits;
            limits.maxBody = Bytes(4096);
            limits.maxConnections = maxReadinessConnections;
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
            sources.where = [this](const std::string& query) -> Result<std::string> {
                BOOST_OUTCOME_TRY(nlohmann::json report, explainPlacement(m_state, query, bootTimeNow()));
                return report.dump();
            };
            return sources;
        }

        std::string statusJson() const
        {
            nlohmann::json status = { { "entries", m_state.liveEntries }, { "endpoints", m_state.directory.size() },
                { "config_version", m_state.routes ? m_state.routes->config().version.value() : 0 },
                { "active_requests", m_state.activeRequests }, { "evacuated_zones", m_evacuations.zonesField() } };
            if (m_state.usage)
                status["usage"] = m_state.usage->status();
            return status.dump();
        }

        StoreFollower::Handlers configHandlers()
        {
            StoreFollower::Handlers handlers;
            handlers.snapshot = [this](const StoreRange& range, const ChangeOrigin& origin, TimePoint now) {
                m_state.configConfirmedAt = now;
                m_evacuations.replace(range, origin, bootTimeNow());
                for (const StoreItem& item : range.items)
                    applyConfig(item, origin);
            };
            handlers.changes = [this](const WatchBatch& batch, const ChangeOrigin& origin, TimePoint now) {
                m_state.configConfirmedAt = now;
                m_evacuations.apply(batch, origin, bootTimeNow());
                for (const StoreItem& item : batch.items)
                    applyConfig(item, origin);
            };
            connectToPeers(handlers, StoreView::Configuration);
            return handlers;
        }

        /// Writes a change to the store, if it is this entry's turn.
        void storeQuarantine(const QuarantineChange& change)
        {
            if (m_peers.trialTurn(change.tag).position == 0)
                m_quarantine.changed(change);
        }

        void storeRestored(StoreEra former, StoreEra current)
        {
            TimePoint now = bootTimeNow();
            m_state.metrics.storeRestored();
            m_state.log->write(Event::StoreRestored,
                { { "former_era", former.value() }, { "era", current.value() },
                    { "config_revision", numberInEra(m_config.progress(now).revision) },
                    { "endpoints_revision", numberInEra(m_endpoints.progress(now).revision) } });
            m_peers.storeRestored(now);
            if (m_state.usage)
                m_state.usage->storeRestored(now);
            for (const QuarantinedSuspect& each : m_state.crashGuard.report(now).quarantined)
                storeQuarantine({ each.tag, SuspectState::Free, SuspectState::Quarantined });
        }

        /// Connects a copy of a part of the store to the exchange with other entries.
        void connectToPeers(StoreFollower::Handlers& handlers, StoreView view)
        {
            handlers.role = [this] { return m_peers.role(); };
            handlers.relayChanges = [this, view](Revision from, const WatchBatch& batch, const StoreValues& former) {
                m_peers.relayChanges(view, from, batch, former);
            };
            handlers.readStarted = [this, view](ReadCause cause) {
                m_state.metrics.viewRead(std::string(storeViewName(view)), std::string(readCauseName(cause)));
            };
            handlers.supersededReceived = [this, view](std::size_t count) {
                m_state.metrics.supersededChangesReceived(std::string(storeViewName(view)), count);
            };
        }

        PeerExchange::Views peerViews()
        {
            PeerExchange::Views views;
            views.progress = [this](TimePoint now) {
                return std::map<StoreView, ViewProgress> { { StoreView::Configuration, m_config.progress(now) },
                    { StoreView::Endpoints, m_endpoints.progress(now) } };
            };
            views.applyProgress = [this](StoreView view, const ViewProgress& reported, TimePoint now) {
                follower(view).applyProgress(reported, now);
            };
            views.applyChange = [this](const RelayedChange& change, TimePoint now) {
                auto apply = [this, now](const auto& each) { follower(each.view).applyRelayed(each, now); };
                std::visit(apply, change);
            };
            return views;
        }

        StoreFollower& follower(StoreView view) { return view == StoreView::Configuration ? m_config : m_endpoints; }

        void applyConfig(const StoreItem& item, const ChangeOrigin& origin)
        {
            if (item.key != m_platform.configKey() || item.value.empty())
                return;
            auto config = m_platform.decodeConfig(item.value);
            if (config) {
                m_state.configure(std::move(config.value()),
                    { item.modRevision, changeSourceName(origin.source), origin.unconfirmedFor });
                return;
            }
            m_state.metrics.configRejected();
            m_state.log->write(Event::ConfigRejected,
                { { "key", item.key }, { "revision", numberInEra(item.modRevision) },
                    { "error", config.error().message } });
        }

        StoreFollower::Handlers endpointHandlers()
        {
            StoreFollower::Handlers handlers;
            handlers.snapshot = [this](const StoreRange& range, const ChangeOrigin&, TimePoint now) {
                m_state.endpointsConfirmedAt = now;
                m_state.directory.replace(range, now);
            };
            handlers.changes = [this](const WatchBatch& batch, const ChangeOrigin&, TimePoint now) {
                m_state.endpointsConfirmedAt = now;
                m_state.directory.apply(batch, now);
            };
            connectToPeers(handlers, StoreView::Endpoints);
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
            UsageReporter::Options options;
            options.instance = settings.instance;
            options.times.window = settings.usageWindow;
            options.times.partialRecordInterval = partialUsageRecordInterval;
            options.times.grace = scaled(settings.usageDelay, usageGraceFraction);
            options.times.settleDelay = usageSettleDelay;
            options.times.stepInterval = usageStepInterval;
            options.times.restorationSettling = usageRestorationSettling;
            options.times.retainedWindows = usageRetainedWindows;
            options.lease.timeToLive = settings.leaseTime;
            options.lease.safetyMargin = leaseMargin;
            if (settings.checksFencing) {
                options.lease.activationDelay = Duration(0);
            } else {
                options.lease.activationDelay = unfencedActivationDelay;
                options.lease.reacquisitionGap = settings.leaseTime + leaseMargin;
            }
            options.store = m_platform.makeStore(m_io.get_executor(), leaseCallTimeout, m_eras);
            options.sender = [this](LeaseKeeper& keeper, WindowId window, const std::string& record) {
                return sendUsage(keeper, window, record);
            };
            options.clock = [this] { return guardedTime(); };
            options.forwardUnstored
                = [this](WindowId window, const IncarnationId& entry, const PartialUsageRecord& record) {
                      m_peers.requestUsageWrite(window, entry, record);
                  };
            options.submitToWriter
                = [this](WindowId window, const IncarnationId& entry, const PartialUsageRecord& record) {
                      return m_peers.sendUsageToObserver(window, entry, record);
                  };
            options.closed = [this](const FinalUsageRecord& final) { m_peers.announceWindowClosed(final); };
            m_state.usage = std::make_shared<UsageReporter>(m_io, std::move(options), m_state.log);
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
                    boost::asio::steady_timer timer(m_io, acceptRetryDelay);
                    co_await timer.async_wait(redirect_error(use_awaitable, error));
                    continue;
                }
                // All others have complete requests, so the new connection is closed.
                if (!m_state.makeRoomForConnection())
                    continue;
                auto session = std::make_shared<CallerSession>(m_state, std::move(socket), bootTimeNow());
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

        awaitable<void> runHousekeeping()
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
                m_evacuations.expire(now);
                m_state.crashGuard.expire(now);
                m_state.directory.logPrefillPools(now);
                m_state.directory.updateCold(now);
                m_state.directory.updateFullEngines(now);
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
            m_state.metrics.setEndpointCount(m_state.directory.size());
            m_state.metrics.setColdEndpointCount(m_state.directory.coldEndpointCount());
            m_state.metrics.setFullEngineCount(m_state.directory.fullEngineCount());
            m_state.metrics.setActiveRequests(m_state.activeRequests);
            m_state.metrics.setRequestBodyMemory(m_state.requestBodies.reserved() - m_state.streamBuffers.reserved());
            m_state.metrics.setStreamBufferMemory(m_state.streamBuffers.reserved());
            m_state.metrics.setRequestHeadMemory(m_state.requestHeads.reserved());
            m_state.metrics.setConnections(m_state.clients.size(), m_state.pool.connections());
            m_state.metrics.setViewAge("config", now - m_state.configConfirmedAt);
            m_state.metrics.setViewAge("endpoints", now - m_state.endpointsConfirmedAt);
            m_state.metrics.setStoreEra(m_eras->current());
            m_state.metrics.setDroppedLogLines(static_cast<double>(m_sink->dropped()));
        }

        void handleProcessPause(Duration gap)
        {
            m_state.log->write(Event::ProcessPaused, { { "milliseconds", gap.count() / 1000 } });
            // Endpoints may have closed pooled connections during the pause.
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
            bool zonesChanged = next.zones != current.zones;
            bool changed = next.retryRatio != current.retryRatio || next.retrySlack != current.retrySlack
                || next.shutdownGrace != current.shutdownGrace || zonesChanged || next.coldExcess != current.coldExcess
                || next.coldSlack != current.coldSlack;
            if (!changed && cause == "changed")
                return;
            // Addresses and roles do not change while the process runs.
            current.retryRatio = next.retryRatio;
            current.retrySlack = next.retrySlack;
            current.shutdownGrace = next.shutdownGrace;
            current.zones = next.zones;
            current.coldExcess = next.coldExcess;
            current.coldSlack = next.coldSlack;
            for (const InvalidField& field : next.invalidFields)
                m_state.logInvalidField("settings", field);
            m_state.log->write(Event::SettingsReloaded, { { "cause", cause } });
            if (!zonesChanged)
                return;
            m_state.directory.settingsChanged();
            m_state.reportRegions();
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
                m_state.shutdown.emplace(bootTimeNow(), m_state.settings.shutdownGrace);
                m_peers.announceShutdown();
                co_await shutDown(*m_state.shutdown);
                m_io.stop();
                co_return;
            }
        }

        awaitable<void> shutDown(ShutdownPlan& plan)
        {
            // Another entry may close windows from now on. Callers don't wait for this call.
            if (m_state.usage)
                spawn([usage = m_state.usage] { return usage->releaseLease(); });
            boost::asio::steady_timer timer(m_io);
            TimePoint now = bootTimeNow();
            for (ShutdownPhase phase {}; phase != ShutdownPhase::Finishing;) {
                timer.expires_after(drainPollInterval);
                co_await timer.async_wait(use_awaitable);
                now = bootTimeNow();
                phase = plan.phase(m_state.busyConnections, now);
                if (phase == ShutdownPhase::ClosingIdle)
                    forEachSession([now](CallerSession& session) { session.closeIfIdle(now); });
            }
            plan.finish(now);
            endRequests(now - plan.signalledAt());
            co_await makeLastStoreCalls(plan.storeCallsEnd(now));
        }

        void endRequests(Duration afterSignal)
        {
            m_state.log->write(Event::RequestsEnded,
                { { "busy_connections", m_state.busyConnections }, { "active_requests", m_state.activeRequests },
                    { "after_ms", afterSignal.count() / 1000 } });
            boost::system::error_code ignored;
            m_acceptor.close(ignored);
            forEachSession([](CallerSession& session) { session.end(); });
        }

        /// Writes the last usage and ends the registration, beside each other. Callers' connections that have not ended
        /// yet get their answers meanwhile.
        awaitable<void> makeLastStoreCalls(TimePoint end)
        {
            auto pending = std::make_shared<int>(1);
            spawn([this, pending]() -> awaitable<void> {
                co_await m_peers.unregister();
                --*pending;
            });
            if (m_state.usage) {
                ++*pending;
                spawn([usage = m_state.usage, pending]() -> awaitable<void> {
                    co_await usage->flush(flushTimeLimit);
                    --*pending;
                });
            }
            boost::asio::steady_timer timer(m_io);
            do {
                timer.expires_after(finishPollInterval);
                co_await timer.async_wait(use_awaitable);
            } while ((*pending > 0 || m_state.busyConnections > 0) && bootTimeNow() < end);
            if (*pending > 0 || m_state.busyConnections > 0)
                logIncomplete(*pending);
        }

        void logIncomplete(int storeCalls)
        {
            m_state.log->write(Event::ShutdownIncomplete,
                { { "store_calls", storeCalls }, { "busy_connections", m_state.busyConnections } });
        }

        template <typename Action> void forEachSession(Action action)
        {
            for (const auto& weak : m_sessions) {
                if (auto session = weak.lock())
                    action(*session);
            }
        }

        EventLoop m_io { 1 };
        const PlatformPort& m_platform;
        GatewayOptions m_options;
        std::shared_ptr<BufferedSink> m_sink;
        GatewayState m_state;
        std::shared_ptr<StoreEraMonitor> m_eras = std::make_shared<StoreEraMonitor>();
        boost::asio::ip::tcp::acceptor m_acceptor;
        boost::asio::signal_set m_signals;
        std::shared_ptr<HttpServer> m_readinessServer;
        std::shared_ptr<HttpServer> m_adminServer;
        PeerExchange m_peers;
        EvacuationControl m_evacuations;
        StoreFollower m_config;
        StoreFollower m_endpoints;
        QuarantineStore m_quarantine;
        std::list<std::weak_ptr<CallerSession>> m_sessions;
        std::string m_settingsError;
    };

} // namespace

int runGateway(const GatewaySettings& settings, const PlatformPort& platform, const GatewayOptions& options)
{
    std::signal(SIGPIPE, SIG_IGN);
    Gateway gateway(settings, platform, options);
    if (options.signalsHandled)
        options.signalsHandled();
    auto started = gateway.start();
    if (!started) {
        std::fprintf(stderr, "wisteriayard-gateway: %s\n", started.error().message.c_str());
        return 1;
    }
    gateway.run();
    return 0;
}

} // namespace wisteriayard
