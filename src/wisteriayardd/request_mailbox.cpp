#include "request_mailbox.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

RequestMailbox::RequestMailbox(boost::asio::io_context& io, RequestId id)
    : m_io(io)
    , m_id(std::move(id))
    , m_wake(io)
{
}

void RequestMailbox::post(RequestEvent event)
{
    boost::asio::post(
        m_io, [self = shared_from_this(), event = std::move(event)]() mutable { self->push(std::move(event)); });
}

void RequestMailbox::push(RequestEvent event)
{
    m_events.push_back(std::move(event));
    m_wake.cancel();
}

boost::asio::awaitable<RequestEvent> RequestMailbox::next(Duration timeout)
{
    if (m_events.empty()) {
        boost::system::error_code ignored;
        m_wake.expires_after(timeout);
        co_await m_wake.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (m_events.empty())
        co_return TimedOut {};
    RequestEvent event = std::move(m_events.front());
    m_events.pop_front();
    co_return event;
}

} // namespace wisteriayard
