#pragma once

#include "http_head.h"
#include "platform_port.h"
#include "wisteriayard/byte_budget.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

/// Head of a caller's request in the form in which it is kept until the request ends.
///
/// The parser's fields take up to twenty times the size of the head (one node per line), so they are released as soon
/// as the head is complete: the values that routing needs are decoded, the rest is kept as the text that endpoints get.
class CallerHead {
public:
    /// A head without a request line, whose traits are an error.
    CallerHead();
    /// @param fields complete head as the parser has it
    /// @param budget counts the memory of this head
    CallerHead(const RequestHead& fields, const WireCodec& codec, ByteBudget& budget);

    /// Bytes that the head takes.
    Bytes size() const;
    /// Memory of the head, empty until it is extended to size().
    ByteReservation& reservation() { return m_lines->reservation; }
    /// Releases all but the decoded values, for a head for which there is no memory.
    void dropLines();

    std::string_view method() const { return std::string_view(m_lines->text).substr(0, m_methodSize); }
    std::string_view target() const;
    bool isHeadRequest() const { return m_isHeadRequest; }
    /// Value of the Host field.
    const std::optional<std::string>& host() const { return m_host; }
    /// Decoded values, or the reason why the platform does not accept the request.
    Result<RequestTraits>& traits() { return m_traits; }
    /// Request line and fields for an endpoint, without the end of the head; shared with writes in progress.
    std::shared_ptr<const std::string> lines() const;

private:
    std::shared_ptr<ReservedText> m_lines;
    std::size_t m_methodSize = 0;
    std::size_t m_targetSize = 0;
    bool m_isHeadRequest = false;
    std::optional<std::string> m_host;
    Result<RequestTraits> m_traits;
};

} // namespace wisteriayard
