#include "peer_messages.h"

#include "peer_messages.pb.h"
#include "wisteriayard/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wisteriayard {

namespace {

    std::uint32_t unsignedFigure(std::int64_t value)
    {
        return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint32_t>::max()));
    }

    /// Version of the datagrams; those of another one are refused.
    constexpr std::uint32_t datagramVersion = 2;
    /// Items of one message with changes take up to this: half of the largest datagram, as keys and framing come on
    /// top.
    constexpr std::size_t mostItemBytes = 8 * 1024;

    Result<StoreView> decodeView(std::uint32_t view)
    {
        if (view != static_cast<std::uint32_t>(StoreView::Configuration)
            && view != static_cast<std::uint32_t>(StoreView::Endpoints))
            return fail(Errc::Protocol, "peer datagram: unknown part of the store");
        return static_cast<StoreView>(view);
    }

    bool isRate(float value) { return std::isfinite(value) && value >= 0; }

    struct Encode {
        peer::Datagram& datagram;

        void operator()(const PeerLoads& loads) const
        {
            peer::Loads& message = *datagram.mutable_loads();
            message.set_time_ms(loads.time);
            message.set_contact_ms(std::chrono::duration_cast<std::chrono::milliseconds>(loads.contact).count());
            for (const auto& [tag, use] : loads.endpoints) {
                message.add_endpoint_tags(static_cast<std::uint32_t>(tag));
                message.add_running(unsignedFigure(use.running));
                message.add_memory_tokens(unsignedFigure(use.memoryTokens));
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
            for (const auto& [endpoint, parts] : loads.parts) {
                for (SegmentTag part : parts) {
                    message.add_part_endpoints(static_cast<std::uint32_t>(endpoint));
                    message.add_part_tags(static_cast<std::uint32_t>(part));
                }
            }
            for (const auto& [view, mark] : loads.views) {
                peer::ViewMark& told = *message.add_views();
                told.set_view(static_cast<std::uint32_t>(view));
                told.set_last_change(mark.lastChange.value());
                told.set_revision(mark.revision.value());
                told.set_age_ms(std::chrono::duration_cast<std::chrono::milliseconds>(mark.age).count());
            }
            message.set_leaving(loads.leaving);
            message.set_entries(loads.entries);
        }

        /// Adds the backlog of the table's last row.
        static void addBacklog(peer::Loads& message, const PrefillBacklog& backlog)
        {
            auto row = static_cast<std::uint32_t>(message.endpoint_tags_size() - 1);
            for (std::uint32_t rank = 0; rank < engineRanks; ++rank) {
                if (backlog.at(rank).value() <= 0)
                    continue;
                message.add_backlog_rows(row);
                message.add_backlog_ranks(rank);
                message.add_backlog_tokens(unsignedFigure(backlog.at(rank).value()));
            }
        }

        void operator()(const PeerUsage& usage) const
        {
            peer::UsageToWrite& message = *datagram.mutable_usage();
            message.set_window(usage.window.value());
            message.set_entry(usage.entry.value());
            message.set_part(partialUsageRecordJson(usage.part));
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
            if (closed.counted)
                message.set_counted(*closed.counted);
        }

        void operator()(const ViewChanges& changes) const
        {
            peer::ViewChanges& message = *datagram.mutable_changes();
            message.set_view(static_cast<std::uint32_t>(changes.view));
            message.set_from(changes.from.value());
            message.set_to(changes.to.value());
            for (const StoreItem& item : changes.items) {
                peer::ChangedItem& told = *message.add_items();
                told.set_key(item.key);
                told.set_value(item.value);
                told.set_revision(item.modRevision.value());
            }
        }
    };

    Result<PeerMessage> decodeLoads(const peer::Loads& message)
    {
        PeerLoads loads;
        loads.time = message.time_ms();
        if (message.contact_ms() < 0 || message.contact_ms() > std::numeric_limits<std::int32_t>::max())
            return fail(Errc::Protocol, "peer datagram: contact time out of range");
        loads.contact = std::chrono::milliseconds(message.contact_ms());
        int rows = message.endpoint_tags_size();
        int backlogs = message.backlog_rows_size();
        int parts = message.part_tags_size();
        if (message.running_size() != rows || message.memory_tokens_size() != rows
            || message.backlog_ranks_size() != backlogs || message.backlog_tokens_size() != backlogs
            || message.part_endpoints_size() != parts)
            return fail(Errc::Protocol, "peer datagram: columns of different lengths");
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
                return fail(Errc::Protocol, "peer datagram: backlog of an unknown row or rank");
            loads.endpoints[EndpointTag(message.endpoint_tags(static_cast<int>(row)))].backlog.add(
                Priority(static_cast<std::int32_t>(rank)), Tokens(message.backlog_tokens(i)));
        }
        for (int i = 0; i < parts; ++i)
            loads.parts[EndpointTag(message.part_endpoints(i))].push_back(SegmentTag(message.part_tags(i)));
        for (const peer::TargetWork& work : message.work()) {
            if (!isRate(work.long_prompts()) || !isRate(work.short_prompts()) || !isRate(work.long_ranks())
                || !isRate(work.short_ranks()))
                return fail(Errc::Protocol, "peer datagram: rate below 0 or not finite");
            loads.work[TargetId(work.target())]
                = WorkRates { work.long_prompts(), work.short_prompts(), work.long_ranks(), work.short_ranks() };
        }
        for (const peer::ViewMark& told : message.views()) {
            BOOST_OUTCOME_TRY(auto view, decodeView(told.view()));
            if (told.age_ms() < 0 || told.age_ms() > std::numeric_limits<std::int32_t>::max() || told.last_change() < 0
                || told.revision() < told.last_change())
                return fail(Errc::Protocol, "peer datagram: mark of a view out of range");
            loads.views[view] = ViewProgress { Revision(told.last_change()), Revision(told.revision()),
                std::chrono::milliseconds(told.age_ms()) };
        }
        loads.leaving = message.leaving();
        loads.entries = std::max<std::uint32_t>(1, message.entries());
        return PeerMessage(std::move(loads));
    }

    Result<PeerMessage> decodeUsage(const peer::UsageToWrite& message)
    {
        PeerUsage usage;
        usage.window = WindowId(message.window());
        usage.entry = IncarnationId(message.entry());
        BOOST_OUTCOME_TRY(usage.part, parsePartialUsageRecord(message.part()));
        return PeerMessage(std::move(usage));
    }

    Result<PeerMessage> decodeClosed(const peer::WindowClosed& message)
    {
        PeerWindowClosed closed;
        closed.window = WindowId(message.window());
        closed.entry = IncarnationId(message.entry());
        if (message.has_counted())
            closed.counted = message.counted();
        return PeerMessage(std::move(closed));
    }

    Result<PeerMessage> decodeChanges(const peer::ViewChanges& message)
    {
        ViewChanges changes;
        BOOST_OUTCOME_TRY(changes.view, decodeView(message.view()));
        changes.from = Revision(message.from());
        changes.to = Revision(message.to());
        if (message.from() < 0 || message.to() < message.from())
            return fail(Errc::Protocol, "peer datagram: changes run backwards");
        for (const peer::ChangedItem& told : message.items()) {
            if (told.revision() <= message.from() || told.revision() > message.to())
                return fail(Errc::Protocol, "peer datagram: change outside of its revisions");
            StoreItem item;
            item.key = told.key();
            item.value = told.value();
            item.modRevision = Revision(told.revision());
            changes.items.push_back(std::move(item));
        }
        return PeerMessage(std::move(changes));
    }

} // namespace

void PeerLoads::add(const PeerLoads& other)
{
    for (const auto& [tag, use] : other.endpoints)
        endpoints[tag] += use;
    for (const auto& [endpoint, told] : other.parts)
        parts[endpoint].insert(parts[endpoint].end(), told.begin(), told.end());
    for (const auto& [target, rates] : other.work)
        work[target] += rates;
    entries += other.entries;
}

std::string_view storeViewName(StoreView view) { return view == StoreView::Configuration ? "config" : "endpoints"; }

std::vector<ViewChanges> splitChanges(StoreView view, Revision from, const WatchBatch& batch)
{
    std::vector<StoreItem> items = batch.items;
    std::stable_sort(items.begin(), items.end(),
        [](const StoreItem& a, const StoreItem& b) { return a.modRevision < b.modRevision; });
    std::vector<ViewChanges> messages { { view, from, from, {} } };
    std::size_t size = 0;
    for (std::size_t i = 0; i < items.size(); ++i) {
        StoreItem& item = items[i];
        std::size_t itemSize = item.key.size() + item.value.size();
        if (itemSize > mostItemBytes) {
            messages = { { view, item.modRevision, item.modRevision, {} } };
            size = 0;
            continue;
        }
        // Changes of one revision stay together: a copy is never complete up to the middle of one.
        bool sameRevision = item.modRevision == messages.back().to;
        if (size + itemSize > mostItemBytes && !sameRevision) {
            messages.push_back({ view, messages.back().to, messages.back().to, {} });
            size = 0;
        }
        size += itemSize;
        messages.back().to = item.modRevision;
        messages.back().items.push_back(std::move(item));
    }
    messages.back().to = std::max(messages.back().to, batch.revision);
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
    std::visit(Encode { datagram }, message);
    return datagram.SerializeAsString();
}

Result<PeerMessage> decodePeerMessage(std::string_view datagram)
{
    peer::Datagram decoded;
    if (!decoded.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return fail(Errc::Protocol, "peer datagram: not a message");
    if (decoded.version() != datagramVersion)
        return fail(Errc::Protocol, "peer datagram: version " + std::to_string(decoded.version()));
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
    case peer::Datagram::CONTENT_NOT_SET:
        break;
    }
    return fail(Errc::Protocol, "peer datagram: unknown content");
}

} // namespace wisteriayard
