#include "wisteriayard/value_delta.h"

#include "wisteriayard/hash.h"
#include "wisteriayard/rendezvous.h"

#include <unordered_map>

namespace wisteriayard {

namespace {

    /// A piece ends where the hash of its last 64 bytes has these bits clear, on average every 64 bytes. The borders
    /// depend on the content only, so they are the same in both versions except around a change.
    constexpr std::uint64_t pieceEndMask = 0x3fULL << 58;
    constexpr std::size_t minPieceBytes = 24;
    constexpr std::size_t maxPieceBytes = 512;
    /// Size of the fields around a part in a message.
    constexpr std::size_t partOverhead = 8;

    std::vector<std::string_view> splitIntoPieces(std::string_view text)
    {
        std::vector<std::string_view> pieces;
        std::uint64_t hash = 0;
        std::size_t start = 0;
        for (std::size_t i = 0; i < text.size(); ++i) {
            hash = (hash << 1) + mixHash(static_cast<unsigned char>(text[i]) + 1U);
            std::size_t size = i + 1 - start;
            bool ends = (size >= minPieceBytes && (hash & pieceEndMask) == 0) || size >= maxPieceBytes;
            if (!ends)
                continue;
            pieces.push_back(text.substr(start, size));
            start = i + 1;
        }
        if (start < text.size())
            pieces.push_back(text.substr(start));
        return pieces;
    }

    void appendCopy(std::vector<DeltaPart>& parts, std::size_t offset, std::size_t size)
    {
        auto* last = parts.empty() ? nullptr : std::get_if<CopiedBytes>(&parts.back());
        if (last && last->offset + last->size == offset)
            last->size += size;
        else
            parts.emplace_back(CopiedBytes { offset, size });
    }

    void appendInsertion(std::vector<DeltaPart>& parts, std::string_view bytes)
    {
        auto* last = parts.empty() ? nullptr : std::get_if<InsertedBytes>(&parts.back());
        if (last)
            last->bytes += bytes;
        else
            parts.emplace_back(InsertedBytes { std::string(bytes) });
    }

    /// Position after the bytes of the former value that were copied last, where most further bytes are found.
    std::size_t endOfLastCopy(const std::vector<DeltaPart>& parts)
    {
        auto* last = parts.empty() ? nullptr : std::get_if<CopiedBytes>(&parts.back());
        return last ? last->offset + last->size : std::string_view::npos;
    }

    /// Visitor that appends a part to the new value.
    struct PartApplier {
        std::string_view former;
        std::string& value;
        std::size_t maxBytes;

        bool operator()(const CopiedBytes& copy) const
        {
            if (copy.offset > former.size() || copy.size > former.size() - copy.offset || copy.size > space())
                return false;
            value += former.substr(copy.offset, copy.size);
            return true;
        }
        bool operator()(const InsertedBytes& insertion) const
        {
            if (insertion.bytes.size() > space())
                return false;
            value += insertion.bytes;
            return true;
        }
        std::size_t space() const { return maxBytes - value.size(); }
    };

} // namespace

std::size_t ValueDelta::encodedSize() const
{
    std::size_t size = 0;
    for (const DeltaPart& part : parts) {
        auto* insertion = std::get_if<InsertedBytes>(&part);
        size += partOverhead + (insertion ? insertion->bytes.size() : 0);
    }
    return size;
}

ValueDelta makeValueDelta(std::string_view former, std::string_view value)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    std::size_t offset = 0;
    for (std::string_view piece : splitIntoPieces(former)) {
        offsets.emplace(piece, offset);
        offset += piece.size();
    }
    ValueDelta delta;
    delta.checksum = fnv1a(value);
    for (std::string_view piece : splitIntoPieces(value)) {
        std::size_t next = endOfLastCopy(delta.parts);
        if (next < former.size() && former.substr(next, piece.size()) == piece) {
            appendCopy(delta.parts, next, piece.size());
            continue;
        }
        auto found = offsets.find(piece);
        if (found != offsets.end())
            appendCopy(delta.parts, found->second, piece.size());
        else
            appendInsertion(delta.parts, piece);
    }
    return delta;
}

Result<std::string> applyValueDelta(std::string_view former, const ValueDelta& delta, std::size_t maxBytes)
{
    std::string value;
    PartApplier applier { former, value, maxBytes };
    for (const DeltaPart& part : delta.parts) {
        if (!std::visit(applier, part))
            return fail(Errc::Protocol, "the difference does not fit the former value or exceeds the size limit");
    }
    if (fnv1a(value) != delta.checksum)
        return fail(Errc::Protocol, "the difference was made from another value");
    return value;
}

} // namespace wisteriayard
