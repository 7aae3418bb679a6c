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
            message.set_part(usagePartJson(usage.part));
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
        if (message.running_size() != rows || message.memory_tokens_size() != rows
            || message.backlog_ranks_size() != backlogs || message.backlog_tokens_size() != backlogs)
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
        for (const peer::TargetWork& work : message.work()) {
            if (!isRate(work.long_prompts()) || !isRate(work.short_prompts()) || !isRate(work.long_ranks())
                || !isRate(work.short_ranks()))
                return fail(Errc::Protocol, "peer datagram: rate below 0 or not finite");
            loads.work[TargetId(work.target())]
                = WorkRates { work.long_prompts(), work.short_prompts(), work.long_ranks(), work.short_ranks() };
        }
        return PeerMessage(std::move(loads));
    }

    Result<PeerMessage> decodeUsage(const peer::UsageToWrite& message)
    {
        PeerUsage usage;
        usage.window = WindowId(message.window());
        usage.entry = IncarnationId(message.entry());
        BOOST_OUTCOME_TRY(usage.part, parseUsagePart(message.part()));
        return PeerMessage(std::move(usage));
    }

} // namespace

EndpointTag endpointTag(const EndpointId& id)
{
    return EndpointTag(static_cast<std::uint32_t>(rendezvousWeight("tag", InstanceId(id.value()))));
}

std::string encodePeerMessage(const PeerMessage& message)
{
    peer::Datagram datagram;
    std::visit(Encode { datagram }, message);
    return datagram.SerializeAsString();
}

Result<PeerMessage> decodePeerMessage(std::string_view datagram)
{
    peer::Datagram decoded;
    if (!decoded.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return fail(Errc::Protocol, "peer datagram: not a message");
    switch (decoded.content_case()) {
    case peer::Datagram::kLoads:
        return decodeLoads(decoded.loads());
    case peer::Datagram::kUsage:
        return decodeUsage(decoded.usage());
    case peer::Datagram::CONTENT_NOT_SET:
        break;
    }
    return fail(Errc::Protocol, "peer datagram: unknown content");
}

} // namespace wisteriayard
