#include "once_keeper.h"

#include "clock.h"
#include "once_hash.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>

namespace wisteriayard {

using boost::asio::awaitable;
namespace http = boost::beast::http;

namespace {

    constexpr Duration releasePollInterval = std::chrono::milliseconds(20);

    wire::Failed failure(http::status status, wire::Outcome outcome, const char* code, const char* reason)
    {
        wire::Failed failed;
        failed.set_outcome(outcome);
        failed.set_http_status(static_cast<std::uint32_t>(status));
        failed.set_code(code);
        failed.set_reason(reason);
        return failed;
    }

    wire::Failed storeUnavailable()
    {
        return failure(http::status::service_unavailable, wire::NOT_RUN, "store_unavailable",
            "the store of at-most-once calls does not answer; the call was not run");
    }

    wire::Rejected rejection(const char* reason, const EndpointId& owner)
    {
        wire::Rejected rejected;
        rejected.set_reason(reason);
        rejected.set_owner(owner.value());
        return rejected;
    }

    /// Converts a decision of the at-most-once log into a permit or the reply to the entry.
    struct AdmissionVisitor {
        std::shared_ptr<OncePartition> partition;

        OnceAdmission operator()(const OnceExecute& each) const { return OncePermit { partition, each.call }; }

        OnceAdmission operator()(const OnceAnswerFromRecord& each) const
        {
            wire::Finished finished;
            finished.set_http_status(each.answer.status);
            finished.set_content_type(each.answer.contentType);
            finished.set_body(each.answer.body);
            return finished;
        }

        OnceAdmission operator()(const OnceRefuse& each) const
        {
            switch (each.reason) {
            case OnceRefusalReason::NotOwner:
                return rejection("not_owner", {});
            case OnceRefusalReason::LogFull:
                return failure(http::status::service_unavailable, wire::NOT_RUN, "log_full",
                    "the log of at-most-once calls is full; the call was not run");
            case OnceRefusalReason::StoreUnavailable:
                break;
            }
            return storeUnavailable();
        }

        OnceAdmission operator()(const OnceAnswerUnknown& each) const
        {
            switch (each.reason) {
            case OnceUnknownReason::Running:
                return failure(
                    http::status::conflict, wire::UNKNOWN, "call_running", "a call with this Idempotency-Key runs now");
            case OnceUnknownReason::NoResult:
                return failure(http::status::conflict, wire::UNKNOWN, "outcome_unknown",
                    "a call with this Idempotency-Key may have run; it is not run again");
            case OnceUnknownReason::AnswerNotKept:
                return failure(http::status::conflict, wire::UNKNOWN, "answer_not_kept",
                    "a call with this Idempotency-Key ran; its answer was too large to keep");
            case OnceUnknownReason::IntentIndeterminate:
                break;
            }
            return failure(http::status::service_unavailable, wire::UNKNOWN, "intent_in_doubt",
                "the store did not confirm the call; ask again with the same Idempotency-Key");
        }

        OnceAdmission operator()(const OnceKeyReused&) const
        {
            return failure(http::status::unprocessable_entity, wire::NOT_RUN, "idempotency_key_reused",
                "this Idempotency-Key was used for a different request");
        }
    };

    OnceClaimMode claimModeFromWire(wire::OnceMode mode)
    {
        if (mode == wire::ONCE_TAKE_OVER)
            return OnceClaimMode::TakeOver;
        return mode == wire::ONCE_AWAIT_RELEASE ? OnceClaimMode::AwaitRelease : OnceClaimMode::Redirect;
    }

} // namespace

OnceKeeper::OnceKeeper(boost::asio::io_context& io, const AgentSettings& settings, std::shared_ptr<EventLog> log,
    std::uint64_t incarnation)
    : m_context(std::make_shared<OnceContext>(
        OnceContext { io, EtcdStoreClient(io.get_executor(), settings.common.store, settings.common.storeTimeout),
            std::move(log), settings.once, settings.endpoint, incarnation }))
    , m_prefix("once/" + settings.target.value() + "/")
{
}

awaitable<Result<std::uint32_t>> OnceKeeper::partitionCount()
{
    // Agents with different settings would look for the same key in different partitions, so the number that the first
    // agent stored applies to all.
    std::string key = m_prefix + "partitions";
    while (!m_partitionCount) {
        auto item = co_await m_context->store.read(key);
        if (item) {
            const std::string& text = item.value().value;
            std::uint32_t count = 0;
            auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
            if (parsed.ec != std::errc() || count == 0)
                co_return fail(Errc::Protocol, "store: " + key + " is not a number above 0");
            m_partitionCount = count;
            break;
        }
        if (item.error().code != Errc::NotFound)
            co_return item.error();
        Transaction create;
        create.compares.push_back(CompareModRevision { key, Revision(0) });
        create.onSuccess.push_back(PutOperation { key, std::to_string(m_context->settings.partitions), LeaseId() });
        auto created = co_await m_context->store.transact(std::move(create));
        if (!created)
            co_return created.error();
    }
    co_return *m_partitionCount;
}

awaitable<OnceAdmission> OnceKeeper::admit(wire::Submit submit)
{
    auto count = co_await partitionCount();
    if (!count)
        co_return storeUnavailable();
    if (m_draining)
        co_return rejection("leaving", {});
    OnceCall call;
    call.id = OnceCallId(++m_lastCall);
    call.key = onceKey(AccountId(submit.account()), submit.idempotency_key(), RequestId(submit.request_id()));
    call.fingerprint = onceFingerprint(submit);
    std::uint32_t number = oncePartitionOf(call.key, count.value());
    auto& known = m_partitions[number];
    if (!known)
        known = std::make_shared<OncePartition>(m_context, m_prefix + std::to_string(number));
    auto partition = known;
    OnceClaim claim = co_await partition->claim(claimModeFromWire(submit.once_mode()));
    if (claim.kind == OnceClaim::Kind::OtherOwner)
        co_return rejection("not_owner", claim.owner);
    if (claim.kind == OnceClaim::Kind::StoreUnavailable)
        co_return storeUnavailable();
    OnceDecision decision = co_await partition->submit(std::move(call));
    co_return std::visit(AdmissionVisitor { partition }, decision);
}

void OnceKeeper::recordAnswer(const OncePermit& permit, const wire::Finished& answer)
{
    permit.partition->recordAnswer(permit.call, { answer.http_status(), answer.content_type(), answer.body() });
}

void OnceKeeper::recordFailure(const OncePermit& permit, wire::Outcome outcome)
{
    if (outcome == wire::NOT_RUN)
        permit.partition->cancel(permit.call);
    else
        permit.partition->markUnresolved(permit.call);
}

awaitable<void> OnceKeeper::drain()
{
    m_draining = true;
    boost::asio::steady_timer timer(m_context->io);
    while (heldPartitions() > 0) {
        auto partitions = m_partitions;
        for (const auto& [number, partition] : partitions)
            co_await partition->release();
        timer.expires_after(releasePollInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

std::size_t OnceKeeper::heldPartitions() const
{
    return static_cast<std::size_t>(
        std::count_if(m_partitions.begin(), m_partitions.end(), [](const auto& each) { return each.second->held(); }));
}

std::size_t OnceKeeper::writingPartitions() const
{
    return static_cast<std::size_t>(std::count_if(
        m_partitions.begin(), m_partitions.end(), [](const auto& each) { return each.second->writing(); }));
}

} // namespace wisteriayard
