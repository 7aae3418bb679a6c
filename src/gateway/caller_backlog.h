#pragma once

#include "gateway_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace wisteriayard {

/// The part of a stream that its caller has not read yet. It is written in order when the connection accepts bytes, and
/// is counted in GatewayState::streamBuffers.
class CallerBacklog : public std::enable_shared_from_this<CallerBacklog> {
public:
    /// @param caller connection, which must exist until stop()
    /// @param lost called at most once, if the connection was lost or was closed in favour of others
    CallerBacklog(
        GatewayState& state, boost::asio::ip::tcp::socket& caller, RequestId request, std::function<void()> lost);

    bool isEmpty() const { return m_blocks.empty(); }
    bool isLost() const { return m_isLost; }
    /// Whether the connection has the longer time limit for callers that pause. It stays in force after the request.
    bool isPauseAllowed() const { return m_isPauseAllowed; }
    /// Keeps the part of a text that is not written yet. Callers that have not read for the longest time are closed for
    /// it.
    /// @param written bytes at the start of the text that were written; 0 unless the backlog is empty
    /// @return false, with the text unchanged, if there is no memory for it or the connection is lost
    [[nodiscard]] bool keep(std::string& text, std::size_t written, TimePoint now);
    /// Waits until all is written.
    /// @return false if the connection was lost
    boost::asio::awaitable<bool> drained();
    /// Drops all that is not written. The connection is not used any more.
    void stop();

private:
    struct Block {
        std::string text;
        std::size_t written = 0;
    };

    /// Memory of the blocks if a text is added.
    Bytes sizeWith(const std::string& text) const;
    bool fitsLastBlock(const std::string& text) const;
    void add(std::string text, std::size_t written);
    /// Lets the caller pause for longer than the kernel allows by default, also when nothing more is kept: the kernel's
    /// buffer is full then, and a shorter time would reset a caller that pauses.
    void allowPause();
    void waitUntilWritable();
    void writeSome();
    void clear();
    void lose();
    void closeForMemory();

    GatewayState& m_state;
    boost::asio::ip::tcp::socket& m_caller;
    RequestId m_request;
    std::function<void()> m_lost;
    std::deque<Block> m_blocks;
    std::size_t m_blockBytes = 0;
    ByteReservation m_memory;
    StalledTransfers::Entry m_entry;
    /// Cancelled when the backlog is empty or lost.
    boost::asio::steady_timer m_ended;
    bool m_isPauseAllowed = false;
    bool m_isLost = false;
};

} // namespace wisteriayard
