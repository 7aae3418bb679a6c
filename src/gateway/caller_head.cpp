#include "caller_head.h"

#include "wisteriayard/crash_quarantine.h"

namespace wisteriayard {

namespace http = boost::beast::http;

CallerHead::CallerHead()
    : m_traits(Error { Errc::InvalidArgument, "no request" })
{
}

CallerHead::CallerHead(const RequestHead& fields, const WireCodec& codec, ByteBudget& budget)
    : m_lines(std::make_shared<ReservedText>(budget))
    , m_methodSize(fields.method_string().size())
    , m_targetSize(fields.target().size())
    , m_isHeadRequest(fields.method() == http::verb::head)
    , m_traits(codec.decodeRequest(fields))
{
    m_lines->text = endpointRequestLines(fields, codec);
    auto host = fields.find(http::field::host);
    if (host != fields.end())
        m_host = std::string(host->value().data(), host->value().size());
    if (m_traits)
        m_traits.value().prompt.shrink_to_fit();
}

Bytes CallerHead::size() const
{
    std::size_t size = m_lines->text.capacity() + (m_host ? m_host->size() : 0);
    if (m_traits) {
        const RequestTraits& traits = m_traits.value();
        size += traits.id.value().size() + traits.key.size();
        // The request's handler keeps a tag of each segment beside it.
        size += traits.prompt.size() * (sizeof(PromptSegment) + sizeof(SuspectTag));
    }
    return Bytes(static_cast<std::int64_t>(size));
}

void CallerHead::dropLines()
{
    m_lines->text = std::string();
    m_host.reset();
    m_methodSize = m_targetSize = 0;
}

std::string_view CallerHead::target() const
{
    if (m_lines->text.empty())
        return {};
    return std::string_view(m_lines->text).substr(m_methodSize + 1, m_targetSize);
}

std::shared_ptr<const std::string> CallerHead::lines() const { return { m_lines, &m_lines->text }; }

} // namespace wisteriayard
