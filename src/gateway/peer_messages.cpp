#include "peer_messages.h"

#include "peer_messages.pb.h"
#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wisteriayard {

namespace {

    std::uint32_t clampToUint32(std::int64_t value)
    {
        return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint32_t>::max()));
    }

    /// Version of the datagram format; datagrams of other versions are rejected.
    constexpr std::uint32_t datagramVersion = 2;
    /// Limit for the keys and values in one message with changes: half of the largest datagram, which leaves room for
    /// revisions and framing.
    constexpr std::size_t maxItemBytes = 8 * 1024;
    /// Rate in the table of limits of an endpoint that names none.
    constexpr float noRateLimit = -1;

    Result<StoreView> decodeView(std::uint32_t view)
    {
        if (view != static_cast<std::uint32_t>(StoreView::Configuration)
            && view != static_cast<std::uint32_t>(StoreView::Endpoints))
            return fail(Errc::Protocol, "peer datagram: unknown part of the store");
        return static_cast<StoreView>(view);
    }

    bool isRate(float value) { return std::isfinite(value) && value >= 0; }

    struct DeltaPartEncoder {
        peer::DeltaPart& encoded;

        void operator()(const CopiedBytes& copy) const
        {
            encoded.set_offset(static_cast<std::uint32_t>(copy.offset));
            encoded.set_size(static_cast<std::uint32_t>(copy.size));
        }
        void operator()(const InsertedBytes& insertion) const { encoded.set_inserted(insertion.bytes); }
    };

    /// Visitor that writes a message into a datagram.
    struct Encoder {
        peer::Datagram& datagram;

        void operator()(const PeerLoads& loads) const
        {
            peer::Loads& message = *datagram.mutable_loads();
            message.set_time_ms(loads.wallClockMs);
            message.set_contact_ms(
                std::chrono::duration_cast<std::chrono::milliseconds>(loads.storeContactTime).count());
            for (const auto& [tag, use] : loads.endpoints) {
                message.add_endpoint_tags(static_cast<std::uint32_t>(tag));
                message.add_running(clampToUint32(use.running));
                message.add_memory_tokens(clampToUint32(use.memoryTokens));
                addBacklog(message, use.backlog);
            }
            for (const auto& [target, rates] : loads.work) {
                peer::TargetWork& work = *message.add_work();
                work.set_target(target.value());
                work.set_long_prompts(static_cast<float>(rates.longPrompts));
                work.set_short_prompts(static_cast<float>(rates.shortPrompts));
                work.set_long_ranks(static_cast<float>(rates.longRanks));
                work.set_short_ranks(static_cast<float>(rates.shortRanks));
            }
            for (const auto& [endpoint, hints] : loads.cacheHints) {
                for (SegmentTag tag : hints) {
                    message.add_part_endpoints(static_cast<std::uint32_t>(endpoint));
                    message.add_part_tags(static_cast<std::uint32_t>(tag));
                }
            }
            for (const auto& [view, progress] : loads.viewProgress) {
                peer::ViewMark& encoded = *message.add_views();
                encoded.set_view(static_cast<std::uint32_t>(view));
                encoded.set_last_change(progress.lastChange.value());
                encoded.set_revision(progress.revision.value());
                encoded.set_age_ms(std::chrono::duration_cast<std::chrono::milliseconds>(progress.age).count());
            }
            for (const auto& [endpoint, limit] : loads.limits) {
                message.add_limit_endpoints(static_cast<std::uint32_t>(endpoint));
                message.add_limit_rates(limit.rate ? static_cast<float>(limit.rate->value()) : noRateLimit);
                message.add_limit_ages_ms(clampToUint32(limit.age / std::chrono::milliseconds(1)));
            }
            for (const auto& [endpoint, entries] : loads.failing) {
                message.add_failing_endpoints(static_cast<std::uint32_t>(endpoint));
                message.add_failing_entries(entries);
            }
            addQuarantine(message, loads.quarantine);
            addSpeeds(message, loads.speeds);
            for (const ReturningCaller& each : loads.returning) {
                message.add_returning_segments(static_cast<std::uint32_t>(each.segment));
                message.add_returning_in_ms(clampToUint32(each.in / std::chrono::milliseconds(1)));
            }
            if (loads.closedWindow)
                message.set_closed_window(loads.closedWindow->value());
            message.set_leaving(loads.leaving);
            message.set_entries(loads.entryCount);
        }

        static void addSpeeds(peer::Loads& message, const std::map<EndpointTag, SpeedReport>& speeds)
        {
            for (const auto& [endpoint, speed] : speeds) {
                message.add_speed_endpoints(static_cast<std::uint32_t>(endpoint));
                message.add_speed_token_us(static_cast<float>(speed.tokenTime));
                message.add_speed_event_us(static_cast<float>(speed.eventTime));
                message.add_speed_ages_ms(clampToUint32(speed.age / std::chrono::milliseconds(1)));
            }
        }

        static void addQuarantine(peer::Loads& message, const QuarantineReport& report)
        {
            constexpr auto millisecond = std::chrono::milliseconds(1);
            for (const CrashObservation& each : report.crashes) {
                message.add_crash_segments(static_cast<std::uint32_t>(each.tag));
                message.add_crash_tags(static_cast<std::uint32_t>(each.crash));
                message.add_crash_ages_ms(clampToUint32(each.age / millisecond));
            }
            for (const BeginObservation& each : report.begins) {
                message.add_begun_segments(static_cast<std::uint32_t>(each.tag));
                message.add_begun_ages_ms(clampToUint32(each.age / millisecond));
            }
            for (const QuarantinedSuspect& each : report.quarantined) {
                message.add_quarantined_segments(static_cast<std::uint32_t>(each.tag));
                message.add_quarantined_ages_ms(clampToUint32(each.age / millisecond));
                message.add_quarantined_quiet_ms(clampToUint32(each.quiet / millisecond));
            }
        }

        /// Adds the backlog of the last row of the endpoint table.
        static void addBacklog(peer::Loads& message, const PrefillBacklog& backlog)
        {
            auto row = static_cast<std::uint32_t>(message.endpoint_tags_size() - 1);
            for (std::uint32_t rank = 0; rank < engineRanks; ++rank) {
                if (backlog.at(rank).value() <= 0)
                    continue;
                message.add_backlog_rows(row);
                message.add_backlog_ranks(rank);
                message.add_backlog_tokens(clampToUint32(backlog.at(rank).value()));
            }
        }

        void operator()(const PeerUsageToWrite& usage) const
        {
            peer::UsageToWrite& message = *datagram.mutable_usage();
            message.set_window(usage.window.value());
            message.set_entry(usage.entry.value());
            message.set_part(partialUsageRecordJson(usage.record));
        }

        void operator()(const PeerUsageWritten& written) const
        {
            peer::UsageWritten& message = *datagram.mutable_written();
            message.set_window(written.window.value());
            message.set_entry(written.entry.value());
            message.set_sequence(written.sequence);
        }

        void operator()(const PeerWindowClosed& closed) const
        {
            peer::WindowClosed& message = *datagram.mutable_closed();
            message.set_window(closed.window.value());
            message.set_entry(closed.entry.value());
            if (closed.countedSequence)
                message.set_counted(*closed.countedSequence);
        }

        void operator()(const PeerLimitCredit& credit) const
        {
            datagram.mutable_credit()->set_endpoint(static_cast<std::uint32_t>(credit.endpoint));
        }

        void operator()(const ViewChanges& changes) const
        {
            peer::ViewChanges& message = *datagram.mutable_changes();
            message.set_view(static_cast<std::uint32_t>(changes.view));
            message.set_from(changes.from.value());
            message.set_to(changes.to.value());
            for (const StoreItem& item : changes.items) {
                peer::ChangedItem& encoded = *message.add_items();
                encoded.set_key(item.key);
                encoded.set_value(item.value);
                encoded.set_revision(item.modRevision.value());
            }
            if (changes.keysHash)
                message.set_keys_hash(*changes.keysHash);
        }

        void operator()(const ViewDelta& change) const
        {
            peer::ViewDelta& message = *datagram.mutable_delta();
            message.set_view(static_cast<std::uint32_t>(change.view));
            message.set_from(change.from.value());
            message.set_to(change.to.value());
            message.set_key(change.key);
            message.set_revision(change.revision.value());
            message.set_base(change.base.value());
            message.set_checksum(change.delta.checksum);
            if (change.keysHash)
                message.set_keys_hash(*change.keysHash);
            for (const DeltaPart& part : change.delta.parts)
                std::visit(DeltaPartEncoder { *message.add_parts() }, part);
        }
    };

    Result<QuarantineReport> decodeQuarantine(const peer::Loads& message)
    {
        int crashes = message.crash_segments_size();
        int begins = message.begun_segments_size();
        int quarantined = message.quarantined_segments_size();
        if (message.crash_tags_size() != crashes || message.crash_ages_ms_size() != crashes
            || message.begun_ages_ms_size() != begins || message.quarantined_ages_ms_size() != quarantined
            || message.quarantined_quiet_ms_size() != quarantined)
            return fail(Errc::Protocol, "peer datagram: columns of crash observations have different lengths");
        QuarantineReport report;
        for (int i = 0; i < crashes; ++i)
            report.crashes.push_back({ SuspectTag(message.crash_segments(i)), CrashTag(message.crash_tags(i)),
                std::chrono::milliseconds(message.crash_ages_ms(i)) });
        for (int i = 0; i < begins; ++i)
            report.begins.push_back(
                { SuspectTag(message.begun_segments(i)), std::chrono::milliseconds(message.begun_ages_ms(i)) });
        for (int i = 0; i < quarantined; ++i)
            report.quarantined.push_back({ SuspectTag(message.quarantined_segments(i)),
                std::chrono::milliseconds(message.quarantined_ages_ms(i)),
                std::chrono::milliseconds(message.quarantined_quiet_ms(i)) });
        return report;
    }

    Result<std::map<EndpointTag, ReportedLimit>> decodeLimits(const peer::Loads& message)
    {
        int rows = message.limit_endpoints_size();
        if (message.limit_rates_size() != rows || message.limit_ages_ms_size() != rows)
            return fail(Errc::Protocol, "peer datagram: columns of limits have different lengths");
        std::map<EndpointTag, ReportedLimit> limits;
        for (int i = 0; i < rows; ++i) {
            float rate = message.limit_rates(i);
            if (!isRate(rate) && rate != noRateLimit)
                return fail(Errc::Protocol, "peer datagram: rate limit is not a rate");
            ReportedLimit& limit = limits[EndpointTag(message.limit_endpoints(i))];
            if (rate != noRateLimit)
                limit.rate = RequestRate(rate);
            limit.age = std::chrono::milliseconds(message.limit_ages_ms(i));
        }
        return limits;
    }

    Result<std::map<EndpointTag, SpeedReport>> decodeSpeeds(const peer::Loads& message)
    {
        int rows = message.speed_endpoints_size();
        if (message.speed_token_us_size() != rows || message.speed_event_us_size() != rows
            || message.speed_ages_ms_size() != rows)
            return fail(Errc::Protocol, "peer datagram: columns of speeds have different lengths");
        std::map<EndpointTag, SpeedReport> speeds;
        for (int i = 0; i < rows; ++i) {
            if (!isRate(message.speed_token_us(i)) || !isRate(message.speed_event_us(i)))
                return fail(Errc::Protocol, "peer datagram: time is negative or not finite");
            speeds[EndpointTag(message.speed_endpoints(i))] = SpeedReport { message.speed_token_us(i),
                message.speed_event_us(i), std::chrono::milliseconds(message.speed_ages_ms(i)) };
        }
        return speeds;
    }

    Result<std::vector<ReturningCaller>> decodeReturning(const peer::Loads& message)
    {
        if (message.returning_in_ms_size() != message.returning_segments_size())
            return fail(Errc::Protocol, "peer datagram: columns of refused requests have different lengths");
        std::vector<ReturningCaller> returning;
        for (int i = 0; i < message.returning_segments_size(); ++i)
            returning.push_back(
                { SegmentTag(message.returning_segments(i)), std::chrono::milliseconds(message.returning_in_ms(i)) });
        return returning;
    }

    Result<PeerMessage> decodeLoads(const peer::Loads& message)
    {
        PeerLoads loads;
        loads.wallClockMs = message.time_ms();
        if (message.contact_ms() < 0 || message.contact_ms() > std::numeric_limits<std::int32_t>::max())
            return fail(Errc::Protocol, "peer datagram: contact time out of range");
        loads.storeContactTime = std::chrono::milliseconds(message.contact_ms());
        int rows = message.endpoint_tags_size();
        int backlogs = message.backlog_rows_size();
        int hints = message.part_tags_size();
        if (message.running_size() != rows || message.memory_tokens_size() != rows
            || message.backlog_ranks_size() != backlogs || message.backlog_tokens_size() != backlogs
            || message.part_endpoints_size() != hints)
            return fail(Errc::Protocol, "peer datagram: columns have different lengths");
        for (int i = 0; i < rows; ++i) {
            EndpointUse use;
            use.running
                = static_cast<int>(std::min<std::uint32_t>(message.running(i), std::numeric_limits<int>::max()));
            use.memoryTokens = message.memory_tokens(i);
            loads.endpoints[EndpointTag(message.endpoint_tags(i))] = use;
        }
        for (int i = 0; i < backlogs; ++i) {
            std::uint32_t row = message.backlog_rows(i);
            std::uint32_t rank = message.backlog_ranks(i);
            if (row >= static_cast<std::uint32_t>(rows) || rank >= engineRanks)
                return fail(Errc::Protocol, "peer datagram: backlog with an unknown row or rank");
            loads.endpoints[EndpointTag(message.endpoint_tags(static_cast<int>(row)))].backlog.add(
                Priority(static_cast<std::int32_t>(rank)), Tokens(message.backlog_tokens(i)));
        }
        for (int i = 0; i < hints; ++i)
            loads.cacheHints[EndpointTag(message.part_endpoints(i))].push_back(SegmentTag(message.part_tags(i)));
        for (const peer::TargetWork& work : message.work()) {
            if (!isRate(work.long_prompts()) || !isRate(work.short_prompts()) || !isRate(work.long_ranks())
                || !isRate(work.short_ranks()))
                return fail(Errc::Protocol, "peer datagram: rate is negative or not finite");
            loads.work[TargetId(work.target())]
                = WorkRates { work.long_prompts(), work.short_prompts(), work.long_ranks(), work.short_ranks() };
        }
        for (const peer::ViewMark& reported : message.views()) {
            BOOST_OUTCOME_TRY(auto view, decodeView(reported.view()));
            if (reported.age_ms() < 0 || reported.age_ms() > std::numeric_limits<std::int32_t>::max()
                || reported.last_change() < 0 || reported.revision() < reported.last_change())
                return fail(Errc::Protocol, "peer datagram: progress of a view out of range");
            loads.viewProgress[view] = ViewProgress { Revision(reported.last_change()), Revision(reported.revision()),
                std::chrono::milliseconds(reported.age_ms()) };
        }
        BOOST_OUTCOME_TRY(loads.limits, decodeLimits(message));
        if (message.failing_entries_size() != message.failing_endpoints_size())
            return fail(Errc::Protocol, "peer datagram: columns of failures have different lengths");
        for (int i = 0; i < message.failing_endpoints_size(); ++i)
            loads.failing[EndpointTag(message.failing_endpoints(i))] = message.failing_entries(i);
        BOOST_OUTCOME_TRY(loads.quarantine, decodeQuarantine(message));
        BOOST_OUTCOME_TRY(loads.speeds, decodeSpeeds(message));
        BOOST_OUTCOME_TRY(loads.returning, decodeReturning(message));
        if (message.has_closed_window())
            loads.closedWindow = WindowId(message.closed_window());
        loads.leaving = message.leaving();
        loads.entryCount = std::max<std::uint32_t>(1, message.entries());
        return PeerMessage(std::move(loads));
    }

    Result<PeerMessage> decodeUsage(const peer::UsageToWrite& message)
    {
        PeerUsageToWrite usage;
        usage.window = WindowId(message.window());
        usage.entry = IncarnationId(message.entry());
        BOOST_OUTCOME_TRY(usage.record, parsePartialUsageRecord(message.part()));
        return PeerMessage(std::move(usage));
    }

    Result<PeerMessage> decodeClosed(const peer::WindowClosed& message)
    {
        PeerWindowClosed closed;
        closed.window = WindowId(message.window());
        closed.entry = IncarnationId(message.entry());
        if (message.has_counted())
            closed.countedSequence = message.counted();
        return PeerMessage(std::move(closed));
    }

    Result<PeerMessage> decodeDelta(const peer::ViewDelta& message)
    {
        ViewDelta delta;
        BOOST_OUTCOME_TRY(delta.view, decodeView(message.view()));
        if (message.from() < 0 || message.revision() <= message.from() || message.to() < message.revision())
            return fail(Errc::Protocol, "peer datagram: change outside of the revision range");
        delta.from = Revision(message.from());
        delta.to = Revision(message.to());
        delta.key = message.key();
        delta.revision = Revision(message.revision());
        delta.base = Revision(message.base());
        delta.delta.checksum = message.checksum();
        if (message.has_keys_hash())
            delta.keysHash = message.keys_hash();
        for (const peer::DeltaPart& part : message.parts()) {
            if (part.inserted().empty())
                delta.delta.parts.emplace_back(CopiedBytes { part.offset(), part.size() });
            else
                delta.delta.parts.emplace_back(InsertedBytes { part.inserted() });
        }
        return PeerMessage(std::move(delta));
    }

    Result<PeerMessage> decodeChanges(const peer::ViewChanges& message)
    {
        ViewChanges changes;
        BOOST_OUTCOME_TRY(changes.view, decodeView(message.view()));
        changes.from = Revision(message.from());
        changes.to = Revision(message.to());
        if (message.has_keys_hash())
            changes.keysHash = message.keys_hash();
        if (message.from() < 0 || message.to() < message.from())
            return fail(Errc::Protocol, "peer datagram: changes end before they start");
        for (const peer::ChangedItem& encoded : message.items()) {
            if (encoded.revision() <= message.from() || encoded.revision() > message.to())
                return fail(Errc::Protocol, "peer datagram: change outside of the revision range");
            StoreItem item;
            item.key = encoded.key();
            item.value = encoded.value();
            item.modRevision = Revision(encoded.revision());
            changes.items.push_back(std::move(item));
        }
        return PeerMessage(std::move(changes));
    }

} // namespace

void PeerLoads::add(const PeerLoads& other, Duration age)
{
    for (const auto& [endpoint, limit] : other.limits) {
        ReportedLimit aged { limit.rate, limit.age + age };
        auto [known, inserted] = limits.try_emplace(endpoint, aged);
        if (!inserted && aged.age < known->second.age)
            known->second = aged;
    }
    quarantine.add(other.quarantine, age);
    for (const auto& [endpoint, entries] : other.failing)
        failing[endpoint] += entries;
    for (const auto& [endpoint, speed] : other.speeds) {
        SpeedReport aged { speed.tokenTime, speed.eventTime, speed.age + age };
        auto [known, inserted] = speeds.try_emplace(endpoint, aged);
        if (!inserted && aged.age < known->second.age)
            known->second = aged;
    }
    for (const auto& [tag, use] : other.endpoints)
        endpoints[tag] += use;
    for (const auto& [endpoint, hints] : other.cacheHints)
        cacheHints[endpoint].insert(cacheHints[endpoint].end(), hints.begin(), hints.end());
    for (const auto& [target, rates] : other.work)
        work[target] += rates;
    entryCount += other.entryCount;
}

std::string_view storeViewName(StoreView view) { return view == StoreView::Configuration ? "config" : "endpoints"; }

namespace {

    /// Collects the messages for a batch of changes, in the order of their revisions.
    class ChangeSplitter {
    public:
        ChangeSplitter(StoreView view, Revision from)
            : m_view(view)
            , m_open { view, from, from, {} }
        {
        }

        void add(StoreItem item)
        {
            // Omitted with another change of its revision.
            if (item.modRevision <= m_open.from)
                return;
            std::size_t itemSize = item.key.size() + item.value.size();
            // Changes of one revision stay in one message, because a copy is complete up to whole revisions only.
            bool sameRevision = item.modRevision == m_open.to;
            if (m_size + itemSize > maxItemBytes && !sameRevision)
                close();
            m_size += itemSize;
            m_open.to = item.modRevision;
            m_open.items.push_back(std::move(item));
        }
        /// Adds a change that is relayed as a difference.
        void add(ViewDelta delta)
        {
            close();
            delta.from = m_open.from;
            delta.to = delta.revision;
            skipTo(delta.revision);
            m_messages.emplace_back(std::move(delta));
        }
        /// Omits a change and all changes before it or of its revision.
        void omit(const StoreItem& item)
        {
            m_messages.clear();
            skipTo(item.modRevision);
        }
        /// @param to revision up to which the changes are complete
        std::vector<RelayedChange> finish(Revision to)
        {
            m_open.to = std::max(m_open.to, to);
            auto* last = m_messages.empty() ? nullptr : std::get_if<ViewDelta>(&m_messages.back());
            if (last && m_open.items.empty())
                last->to = m_open.to;
            else
                m_messages.emplace_back(std::move(m_open));
            return std::move(m_messages);
        }

    private:
        void close()
        {
            if (m_open.items.empty())
                return;
            Revision to = m_open.to;
            m_messages.emplace_back(std::move(m_open));
            skipTo(to);
        }
        void skipTo(Revision revision)
        {
            m_open = { m_view, revision, revision, {} };
            m_size = 0;
        }

        StoreView m_view;
        ViewChanges m_open;
        std::size_t m_size = 0;
        std::vector<RelayedChange> m_messages;
    };

    /// @return the difference to the former value; none if that is not known or the difference is too large
    std::optional<ViewDelta> relayableDelta(StoreView view, const StoreItem& item, const StoreValues& formerValues)
    {
        auto former = formerValues.find(item.key);
        if (former == formerValues.end())
            return std::nullopt;
        ViewDelta delta;
        delta.view = view;
        delta.key = item.key;
        delta.revision = item.modRevision;
        delta.base = former->second.modRevision;
        delta.delta = makeValueDelta(former->second.value, item.value);
        if (delta.delta.encodedSize() > maxItemBytes)
            return std::nullopt;
        return delta;
    }

} // namespace

std::vector<RelayedChange> splitChanges(
    StoreView view, Revision from, const WatchBatch& batch, const StoreValues& formerValues)
{
    std::vector<StoreItem> items = batch.items;
    std::stable_sort(items.begin(), items.end(),
        [](const StoreItem& a, const StoreItem& b) { return a.modRevision < b.modRevision; });
    std::map<Revision, std::size_t> itemsOfRevision;
    for (const StoreItem& item : items)
        ++itemsOfRevision[item.modRevision];
    ChangeSplitter splitter(view, from);
    for (StoreItem& item : items) {
        if (item.key.size() + item.value.size() <= maxItemBytes) {
            splitter.add(std::move(item));
            continue;
        }
        // A difference is a message of its own, so it can't be relayed with other changes of its revision.
        std::optional<ViewDelta> delta;
        if (itemsOfRevision[item.modRevision] == 1)
            delta = relayableDelta(view, item, formerValues);
        if (delta)
            splitter.add(std::move(*delta));
        else
            splitter.omit(item);
    }
    std::vector<RelayedChange> messages = splitter.finish(batch.revision);
    if (!batch.keysHash)
        return messages;
    // After a part of them a copy would be at a revision between the compared ones, at which it may have removed keys.
    if (messages.size() > 1)
        messages = { ViewChanges { view, batch.revision, batch.revision, {} } };
    std::visit([&batch](auto& message) { message.keysHash = batch.keysHash; }, messages.front());
    return messages;
}

EndpointTag endpointTag(const EndpointId& id)
{
    return EndpointTag(static_cast<std::uint32_t>(rendezvousWeight("tag", InstanceId(id.value()))));
}

std::string encodePeerMessage(const PeerMessage& message)
{
    peer::Datagram datagram;
    datagram.set_version(datagramVersion);
    std::visit(Encoder { datagram }, message);
    return datagram.SerializeAsString();
}

Result<PeerMessage> decodePeerMessage(std::string_view datagram)
{
    peer::Datagram decoded;
    if (!decoded.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return fail(Errc::Protocol, "peer datagram: not a valid message");
    if (decoded.version() != datagramVersion)
        return fail(Errc::Protocol, "peer datagram: unsupported version " + std::to_string(decoded.version()));
    switch (decoded.content_case()) {
    case peer::Datagram::kLoads:
        return decodeLoads(decoded.loads());
    case peer::Datagram::kUsage:
        return decodeUsage(decoded.usage());
    case peer::Datagram::kChanges:
        return decodeChanges(decoded.changes());
    case peer::Datagram::kWritten:
        return PeerMessage(PeerUsageWritten { WindowId(decoded.written().window()),
            IncarnationId(decoded.written().entry()), decoded.written().sequence() });
    case peer::Datagram::kClosed:
        return decodeClosed(decoded.closed());
    case peer::Datagram::kCredit:
        return PeerMessage(PeerLimitCredit { EndpointTag(decoded.credit().endpoint()) });
    case peer::Datagram::kDelta:
        return decodeDelta(decoded.delta());
    case peer::Datagram::CONTENT_NOT_SET:
        break;
    }
    return fail(Errc::Protocol, "peer datagram: unknown content");
}

} // namespace wisteriayard
