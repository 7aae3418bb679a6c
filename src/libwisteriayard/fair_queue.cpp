#include "wisteriayard/fair_queue.h"

#include <algorithm>

namespace wisteriayard {

void FairQueue::insertTags(std::uint32_t index)
{
    Flow& flow = m_flows[index];
    if (flow.items.empty())
        return;
    m_byStart.emplace(flow.start, index);
    m_byFinish.emplace(finishTag(flow), index);
    m_activeWeight += flow.weight;
}

void FairQueue::eraseTags(std::uint32_t index)
{
    Flow& flow = m_flows[index];
    if (flow.items.empty())
        return;
    m_byStart.erase({ flow.start, index });
    m_byFinish.erase({ finishTag(flow), index });
    m_activeWeight -= flow.weight;
}

FairQueue::Handle FairQueue::push(const AccountId& account, double weight, Item item, double work, bool first)
{
    auto [it, added] = m_index.emplace(account, static_cast<std::uint32_t>(m_flows.size()));
    if (added)
        m_flows.emplace_back();
    std::uint32_t index = it->second;
    eraseTags(index);
    Flow& flow = m_flows[index];
    if (flow.items.empty())
        flow.start = std::max(flow.start, m_virtualTime);
    flow.weight = weight;
    auto position = flow.items.emplace(first ? flow.items.begin() : flow.items.end(), item, work);
    flow.waitingWork += work;
    m_waitingWork += work;
    ++m_size;
    insertTags(index);
    return { index, position };
}

FairQueue::Item FairQueue::front() const { return m_flows[m_byStart.begin()->second].items.front().first; }

double FairQueue::frontWork() const { return m_flows[m_byStart.begin()->second].items.front().second; }

void FairQueue::dispatch(const Handle& handle)
{
    double work = handle.position->second;
    m_virtualTime = std::max(m_virtualTime, m_flows[handle.flow].start);
    remove(handle);
    eraseTags(handle.flow);
    Flow& flow = m_flows[handle.flow];
    flow.start += work / flow.weight;
    insertTags(handle.flow);
}

void FairQueue::remove(const Handle& handle)
{
    eraseTags(handle.flow);
    Flow& flow = m_flows[handle.flow];
    double work = handle.position->second;
    flow.items.erase(handle.position);
    flow.waitingWork = flow.items.empty() ? 0 : flow.waitingWork - work;
    --m_size;
    m_waitingWork = m_size == 0 ? 0 : m_waitingWork - work;
    insertTags(handle.flow);
    if (m_size == 0)
        m_activeWeight = 0;
}

void FairQueue::adjustCharge(const AccountId& account, double work)
{
    auto it = m_index.find(account);
    if (it == m_index.end())
        return;
    eraseTags(it->second);
    Flow& flow = m_flows[it->second];
    flow.start = std::max(flow.start + work / flow.weight, m_virtualTime);
    insertTags(it->second);
}

double FairQueue::workAhead(const AccountId& account, double weight) const
{
    double start = m_virtualTime;
    double active = m_activeWeight;
    auto it = m_index.find(account);
    if (it != m_index.end()) {
        const Flow& flow = m_flows[it->second];
        start = std::max(start, finishTag(flow));
        active += flow.items.empty() ? weight : 0;
    }
    return std::min(m_waitingWork, (start - m_virtualTime) * active);
}

FairQueue::Item FairQueue::lastByFinishTag() const { return m_flows[m_byFinish.rbegin()->second].items.back().first; }

} // namespace wisteriayard
