#include "planner.h"

#include "authority_call.h"
#include "clock.h"
#include "hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

using boost::asio::awaitable;

namespace {

    constexpr std::size_t incarnationBytes = 8;

    std::string orderBody(const ZoneOrder& order, Epoch epoch)
    {
        nlohmann::json body
            = { { "target", order.target.value() }, { "endpoints", order.endpoints }, { "epoch", epoch.value() } };
        return body.dump();
    }

    PlannerPolicy plannerPolicy(const EntrySettings& settings)
    {
        PlannerPolicy policy;
        policy.scaleUpAfter = settings.plannerScaleUpAfter;
        policy.scaleDownAfter = settings.plannerScaleDownAfter;
        return policy;
    }

} // namespace

Planner::Planner(boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log,
    std::function<std::vector<TargetLoad>()> loads)
    : m_io(io)
    , m_settings(settings)
    , m_log(std::move(log))
    , m_loads(std::move(loads))
    , m_store(io.get_executor(), settings.common.store,
          std::min(settings.common.storeTimeout, settings.lease.timeToLive / 4))
    , m_keeper(io, m_store, m_log, "planner/" + settings.common.zone.value(),
          settings.common.instance.value() + "." + randomHex(incarnationBytes), settings.lease)
    , m_planner(plannerPolicy(settings))
{
}

void Planner::start()
{
    if (!m_settings.planner)
        return;
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->m_keeper.run(); }, boost::asio::detached);
    boost::asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->planForever(); }, boost::asio::detached);
}

awaitable<void> Planner::planForever()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        timer.expires_after(m_settings.plannerInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        TimePoint now = bootTimeNow();
        if (!m_keeper.authorityEnds(now)) {
            m_planner.reset();
            continue;
        }
        for (const ZoneOrder& order : m_planner.plan(m_loads(), now))
            co_await sendOrder(order);
    }
}

awaitable<void> Planner::sendOrder(ZoneOrder order)
{
    Epoch epoch = m_keeper.epoch();
    std::string path = "/v1/zones/" + m_settings.common.zone.value() + "/endpoints";
    auto sent = co_await postWithAuthority(
        m_io.get_executor(), m_keeper, m_settings.common.platform, path, orderBody(order, epoch));
    nlohmann::json fields
        = { { "target", order.target.value() }, { "endpoints", order.endpoints }, { "epoch", epoch.value() } };
    if (!sent)
        fields["error"] = sent.error().message;
    m_log->write(sent ? Event::OrderSent : Event::OrderFailed, std::move(fields));
}

awaitable<void> Planner::release() { return m_keeper.release(); }

nlohmann::json Planner::status() const
{
    return { { "lease", leaseStateName(m_keeper.state()) }, { "epoch", m_keeper.epoch().value() } };
}

} // namespace wisteriayard
