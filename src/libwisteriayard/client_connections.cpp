#include "wisteriayard/client_connections.h"

namespace wisteriayard {

const char* clientCloseCauseName(ClientCloseCause cause)
{
    return cause == ClientCloseCause::Descriptors ? "descriptors" : "head_memory";
}

std::list<ClientConnections::Id>* ClientConnections::order(ClientStage stage)
{
    switch (stage) {
    case ClientStage::Silent:
        return &m_silent;
    case ClientStage::UnfinishedHead:
        return &m_unfinishedHeads;
    case ClientStage::Served:
        break;
    }
    return nullptr;
}

void ClientConnections::removeFromOrder(Connection& connection)
{
    if (auto* current = order(connection.stage))
        current->erase(connection.position);
}

ClientConnections::Id ClientConnections::opened(Close close)
{
    Id id { ++m_lastId };
    m_connections.emplace(
        id, Connection { std::move(close), ClientStage::Silent, m_silent.insert(m_silent.end(), id) });
    return id;
}

void ClientConnections::enter(Id connection, ClientStage stage)
{
    auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    removeFromOrder(found->second);
    found->second.stage = stage;
    if (auto* next = order(stage))
        found->second.position = next->insert(next->end(), connection);
}

void ClientConnections::closed(Id connection)
{
    auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    removeFromOrder(found->second);
    m_connections.erase(found);
}

bool ClientConnections::closeFirst(ClientStage stage, ClientCloseCause cause)
{
    std::list<Id>& candidates = *order(stage);
    if (candidates.empty())
        return false;
    Id first = candidates.front();
    Close close = std::move(m_connections.find(first)->second.close);
    closed(first);
    close(cause);
    return true;
}

bool ClientConnections::closeForDescriptor()
{
    return closeFirst(ClientStage::Silent, ClientCloseCause::Descriptors)
        || closeFirst(ClientStage::UnfinishedHead, ClientCloseCause::Descriptors);
}

bool ClientConnections::closeOldestHead()
{
    return closeFirst(ClientStage::UnfinishedHead, ClientCloseCause::HeadMemory);
}

} // namespace wisteriayard
