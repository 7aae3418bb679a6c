#include "view_messages.h"

namespace wisteriayard {

namespace {

    /// Size from which on a part takes no further item. The store's values have up to 1 MB, so a part stays below 2.1
    /// MB; the sockets accept messages of up to 9 MB.
    constexpr std::size_t fullPartBytes = 1024 * 1024;

    wire::Envelope emptyPart(const ViewUpdate& update, std::uint32_t part)
    {
        wire::Envelope envelope;
        wire::ViewUpdate& message = *envelope.mutable_view_update();
        message.set_digest_sequence(update.digestSequence);
        message.set_unconfirmed(!update.confirmedAfterDigest);
        message.set_confirmed_us(update.confirmedAfterDigest.value_or(Duration(0)).count());
        message.set_from_revision(update.from.value());
        message.set_revision(update.revision.value());
        message.set_snapshot(update.snapshot);
        message.set_part(part);
        return envelope;
    }

} // namespace

std::vector<wire::Envelope> packViewUpdate(const ViewUpdate& update)
{
    std::vector<wire::Envelope> envelopes { emptyPart(update, 0) };
    std::size_t bytes = 0;
    for (const ConfigItem& item : update.items) {
        if (bytes >= fullPartBytes) {
            envelopes.back().mutable_view_update()->set_more(true);
            envelopes.push_back(emptyPart(update, static_cast<std::uint32_t>(envelopes.size())));
            bytes = 0;
        }
        wire::ViewItem& packed = *envelopes.back().mutable_view_update()->add_items();
        packed.set_key(item.key);
        packed.set_value(item.value);
        packed.set_revision(item.revision.value());
        bytes += item.key.size() + item.value.size();
    }
    return envelopes;
}

std::optional<ViewUpdate> UpdateAssembler::add(const wire::ViewUpdate& part)
{
    if (part.part() == 0) {
        m_items.clear();
        m_nextPart = 0;
    }
    if (part.part() != m_nextPart)
        return std::nullopt;
    ++m_nextPart;
    for (const wire::ViewItem& item : part.items())
        m_items.push_back({ item.key(), item.value(), Revision(item.revision()) });
    if (part.more())
        return std::nullopt;
    ViewUpdate update;
    update.digestSequence = part.digest_sequence();
    if (!part.unconfirmed())
        update.confirmedAfterDigest = Duration(part.confirmed_us());
    update.from = Revision(part.from_revision());
    update.revision = Revision(part.revision());
    update.snapshot = part.snapshot();
    update.items = std::move(m_items);
    m_items.clear();
    m_nextPart = 0;
    return update;
}

} // namespace wisteriayard
