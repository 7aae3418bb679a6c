#include "wisteriayard/once.h"

#include "once.pb.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Maximum encoded size of a call without its answer: two 16-byte hashes, time, flags and field tags.
    constexpr std::int64_t callBytes = 64;
    /// Maximum encoded size of the owner.
    constexpr std::int64_t ownerBytes = 512;

    std::int64_t answerBytes(const std::optional<OnceAnswer>& answer)
    {
        constexpr std::int64_t fieldBytes = 16;
        if (!answer)
            return 0;
        return fieldBytes + static_cast<std::int64_t>(answer->contentType.size() + answer->body.size());
    }

    Result<record::OncePartition> decode(std::string_view value)
    {
        record::OncePartition partition;
        if (!partition.ParseFromArray(value.data(), static_cast<int>(value.size())))
            return fail(Errc::Protocol, "at-most-once log: the stored value is not a partition");
        return partition;
    }

    OnceOwner readOwner(const record::OncePartition& partition)
    {
        return { Epoch(partition.epoch()), EndpointId(partition.owner()), partition.incarnation() };
    }

} // namespace

Result<OnceOwner> OnceLog::ownerOf(std::string_view value)
{
    BOOST_OUTCOME_TRY(auto partition, decode(value));
    return readOwner(partition);
}

OnceLog::OnceLog(OnceOwner owner, OnceLimits limits)
    : m_owner(std::move(owner))
    , m_limits(limits)
    , m_encodedSizeBound(ownerBytes)
{
}

Status OnceLog::load(std::string_view value)
{
    BOOST_OUTCOME_TRY(auto partition, decode(value));
    for (const record::OnceCall& call : partition.calls()) {
        Entry entry;
        entry.fingerprint = OnceFingerprint(call.fingerprint());
        entry.intentTime = WallTime(call.intent_ms());
        entry.phase = call.finished() ? Phase::Finished : Phase::Unresolved;
        if (call.status() != 0)
            entry.answer = OnceAnswer { call.status(), call.content_type(), call.body() };
        m_encodedSizeBound += callBytes + answerBytes(entry.answer);
        m_entries[OnceKey(call.key())] = std::move(entry);
    }
    return boost::outcome_v2::success();
}

OnceDecision OnceLog::decideRepeat(const OnceCall& call, const Entry& entry) const
{
    if (entry.fingerprint != call.fingerprint)
        return OnceKeyReused { call.id };
    switch (entry.phase) {
    case Phase::Queued:
    case Phase::Writing:
    case Phase::Executing:
        return OnceAnswerUnknown { call.id, OnceUnknownReason::Running };
    case Phase::Unresolved:
        return OnceAnswerUnknown { call.id, OnceUnknownReason::NoResult };
    case Phase::Finished:
        break;
    }
    if (!entry.answer)
        return OnceAnswerUnknown { call.id, OnceUnknownReason::AnswerNotKept };
    return OnceAnswerFromRecord { call.id, *entry.answer };
}

std::optional<OnceDecision> OnceLog::submit(const OnceCall& call, WallTime now)
{
    auto it = m_entries.find(call.key);
    if (it != m_entries.end() && expired(it->second, now)) {
        erase(it);
        it = m_entries.end();
    }
    if (it != m_entries.end())
        return decideRepeat(call, it->second);
    if (m_writeIndeterminate)
        return OnceRefuse { call.id, OnceRefusalReason::StoreUnavailable };
    if (!ensureCapacity(now))
        return OnceRefuse { call.id, OnceRefusalReason::LogFull };
    Entry entry;
    entry.call = call.id;
    entry.fingerprint = call.fingerprint;
    entry.intentTime = now;
    m_entries[call.key] = std::move(entry);
    m_open[call.id] = call.key;
    m_encodedSizeBound += callBytes;
    m_dirty = true;
    return std::nullopt;
}

OnceLog::Entry* OnceLog::executingEntry(OnceCallId call)
{
    auto it = m_open.find(call);
    if (it == m_open.end())
        return nullptr;
    Entry& entry = m_entries.at(it->second);
    return entry.phase == Phase::Executing ? &entry : nullptr;
}

void OnceLog::recordAnswer(OnceCallId call, OnceAnswer answer)
{
    Entry* entry = executingEntry(call);
    if (!entry)
        return; // the partition changed owner while the call ran
    entry->phase = Phase::Finished;
    std::optional<OnceAnswer> kept = std::move(answer);
    bool small = answerBytes(kept) <= m_limits.maxAnswer.value();
    if (small && m_encodedSizeBound + answerBytes(kept) <= m_limits.maxValue.value()) {
        m_encodedSizeBound += answerBytes(kept);
        entry->answer = std::move(kept);
    }
    m_open.erase(call);
    m_dirty = true;
}

void OnceLog::markUnresolved(OnceCallId call)
{
    if (Entry* entry = executingEntry(call)) {
        entry->phase = Phase::Unresolved;
        m_open.erase(call);
    }
}

void OnceLog::cancel(OnceCallId call)
{
    if (!executingEntry(call))
        return;
    m_entries.erase(m_open.at(call));
    m_open.erase(call);
    m_encodedSizeBound -= callBytes;
    m_dirty = true;
}

std::optional<std::string> OnceLog::beginWrite(WallTime now)
{
    if (m_writeInFlight || !m_dirty)
        return std::nullopt;
    dropExpired(now);
    for (auto& [key, entry] : m_entries) {
        if (entry.phase == Phase::Queued)
            entry.phase = Phase::Writing;
    }
    m_writeInFlight = true;
    m_dirty = false;
    return encode(m_owner);
}

OnceLog::Decisions OnceLog::writeCommitted()
{
    Decisions decisions;
    m_writeInFlight = false;
    m_writeIndeterminate = false;
    for (auto it = m_open.begin(); it != m_open.end();) {
        Entry& entry = m_entries.at(it->second);
        if (entry.phase != Phase::Writing) {
            ++it;
        } else if (entry.abandoned) {
            m_entries.erase(it->second);
            it = m_open.erase(it);
            m_encodedSizeBound -= callBytes;
            m_dirty = true;
        } else {
            entry.phase = Phase::Executing;
            decisions.push_back(OnceExecute { it->first });
            ++it;
        }
    }
    return decisions;
}

OnceLog::Decisions OnceLog::refusePending(bool writingToo, OnceRefusalReason reason)
{
    Decisions decisions;
    for (auto it = m_open.begin(); it != m_open.end();) {
        const Entry& entry = m_entries.at(it->second);
        if (entry.phase != Phase::Queued && !(writingToo && entry.phase == Phase::Writing)) {
            ++it;
            continue;
        }
        if (!entry.abandoned)
            decisions.push_back(OnceRefuse { it->first, reason });
        m_entries.erase(it->second);
        it = m_open.erase(it);
        m_encodedSizeBound -= callBytes;
    }
    return decisions;
}

OnceLog::Decisions OnceLog::writeFailed()
{
    m_writeInFlight = false;
    m_writeIndeterminate = false;
    // Results and cancellations of the failed write are included in the next one.
    m_dirty = true;
    return refusePending(true, OnceRefusalReason::StoreUnavailable);
}

OnceLog::Decisions OnceLog::writeIndeterminate()
{
    m_writeIndeterminate = true;
    return refusePending(false, OnceRefusalReason::StoreUnavailable);
}

OnceLog::Decisions OnceLog::abandonIndeterminateWrite()
{
    Decisions decisions;
    for (auto& [call, key] : m_open) {
        Entry& entry = m_entries.at(key);
        if (entry.phase != Phase::Writing || entry.abandoned)
            continue;
        entry.abandoned = true;
        decisions.push_back(OnceAnswerUnknown { call, OnceUnknownReason::IntentIndeterminate });
    }
    return decisions;
}

OnceLog::Decisions OnceLog::fenced(std::string_view value)
{
    Decisions decisions;
    auto stored = decode(value);
    if (m_writeIndeterminate) {
        // An intent in the new owner's value was stored. One that is missing there can't be stored any more.
        for (auto& [call, key] : m_open) {
            Entry& entry = m_entries.at(key);
            bool present = !stored
                || std::any_of(stored.value().calls().begin(), stored.value().calls().end(),
                    [wanted = key.value()](const record::OnceCall& each) { return each.key() == wanted; });
            if (entry.phase != Phase::Writing || entry.abandoned || !present)
                continue;
            entry.abandoned = true;
            decisions.push_back(OnceAnswerUnknown { call, OnceUnknownReason::IntentIndeterminate });
        }
    }
    Decisions refused = refusePending(true, OnceRefusalReason::NotOwner);
    decisions.insert(decisions.end(), refused.begin(), refused.end());
    m_entries.clear();
    m_open.clear();
    m_dirty = false;
    m_writeInFlight = false;
    return decisions;
}

std::string OnceLog::claimValue() const { return encode(m_owner); }

std::string OnceLog::releaseValue() const { return encode({ m_owner.epoch, EndpointId(), 0 }); }

std::size_t OnceLog::openCalls() const { return m_open.size(); }

bool OnceLog::expired(const Entry& entry, WallTime now) const
{
    bool final = entry.phase == Phase::Unresolved || entry.phase == Phase::Finished;
    std::int64_t retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.retention).count();
    return final && now.value() - entry.intentTime.value() > retention;
}

std::map<OnceKey, OnceLog::Entry>::iterator OnceLog::erase(std::map<OnceKey, Entry>::iterator entry)
{
    m_encodedSizeBound -= callBytes + answerBytes(entry->second.answer);
    return m_entries.erase(entry);
}

void OnceLog::dropExpired(WallTime now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();)
        it = expired(it->second, now) ? erase(it) : std::next(it);
}

bool OnceLog::ensureCapacity(WallTime now)
{
    std::int64_t limit = m_limits.maxValue.value() - callBytes;
    if (m_encodedSizeBound > limit)
        dropExpired(now);
    while (m_encodedSizeBound > limit) {
        Entry* oldest = nullptr;
        for (auto& [key, entry] : m_entries) {
            if (entry.answer && (!oldest || entry.intentTime < oldest->intentTime))
                oldest = &entry;
        }
        if (!oldest)
            return false;
        m_encodedSizeBound -= answerBytes(oldest->answer);
        oldest->answer.reset();
    }
    return true;
}

std::string OnceLog::encode(const OnceOwner& owner) const
{
    record::OncePartition partition;
    partition.set_epoch(owner.epoch.value());
    partition.set_owner(owner.endpoint.value());
    partition.set_incarnation(owner.incarnation);
    for (const auto& [key, entry] : m_entries) {
        if (entry.phase == Phase::Queued)
            continue;
        record::OnceCall* call = partition.add_calls();
        call->set_key(key.value());
        call->set_fingerprint(entry.fingerprint.value());
        call->set_intent_ms(entry.intentTime.value());
        call->set_finished(entry.phase == Phase::Finished);
        if (entry.answer) {
            call->set_status(entry.answer->status);
            call->set_content_type(entry.answer->contentType);
            call->set_body(entry.answer->body);
        }
    }
    return partition.SerializeAsString();
}

} // namespace wisteriayard
