#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

namespace wisteriayard {

/// What an entry has received on a caller's connection.
enum class ClientStage {
    /// No byte yet.
    Silent,
    /// A part of a request's head.
    UnfinishedHead,
    /// A request; the connection is no longer closed in favour of others.
    Served,
};

/// Why a connection is closed in favour of others.
enum class ClientCloseCause {
    /// The process has no descriptors left.
    Descriptors,
    /// The memory for heads is used up.
    HeadMemory,
};

/// Name of a cause in log lines and metrics.
const char* clientCloseCauseName(ClientCloseCause cause);

/// Open connections of callers in the order in which they reached their stage. Chooses those that are closed when
/// descriptors or memory run out: nothing was promised to a caller whose head is not complete. Not thread-safe.
class ClientConnections {
public:
    enum class Id : std::uint64_t {};
    using Close = std::function<void(ClientCloseCause)>;

    /// Adds a connection, in stage Silent.
    /// @param close called at most once, when the connection is closed in favour of others; it is already removed then
    Id opened(Close close);
    /// Moves a connection to the end of the order of a stage. Does nothing if it has been removed.
    void enter(Id connection, ClientStage stage);
    /// Removes a connection, unless it has been removed already.
    void closed(Id connection);

    /// Closes the connection that has been silent for the longest time or, without any, that with the oldest
    /// unfinished head.
    /// @return false if there is neither
    bool closeForDescriptor();
    /// Closes the connection with the oldest unfinished head.
    /// @return false if there is none
    bool closeOldestHead();

    std::size_t size() const { return m_connections.size(); }

private:
    struct Connection {
        Close close;
        ClientStage stage = ClientStage::Silent;
        /// Position in the order of the stage; not used for Served.
        std::list<Id>::iterator position;
    };

    /// Order of a stage, or null for Served, which needs none.
    std::list<Id>* order(ClientStage stage);
    void removeFromOrder(Connection& connection);
    bool closeFirst(ClientStage stage, ClientCloseCause cause);

    std::uint64_t m_lastId = 0;
    std::unordered_map<Id, Connection> m_connections;
    std::list<Id> m_silent;
    std::list<Id> m_unfinishedHeads;
};

} // namespace wisteriayard
