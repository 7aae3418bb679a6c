#pragma once

#include "wisteriayard/ids.h"

#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriayard {

/// Start-time fair queue over accounts, by work and weight. Each operation takes O(log n) time in the number of
/// accounts with waiting items, whatever the number of items.
class FairQueue {
public:
    /// Index of a request in the scheduler.
    using Item = std::uint32_t;

    /// Position of an item in the queue, passed to dispatch() and remove().
    struct Handle {
        std::uint32_t flow = 0;
        std::list<std::pair<Item, double>>::iterator position;
    };

    /// Adds an item to the queue of an account.
    /// @param weight above 0
    /// @param work estimated tokens of work, above 0
    /// @param first adds the item before the others of the account instead of behind them
    Handle push(const AccountId& account, double weight, Item item, double work, bool first);
    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    /// Item with the smallest start tag; the queue must not be empty.
    Item front() const;
    /// Work of the front item.
    double frontWork() const;
    /// Removes an item for dispatch and charges its work to its account.
    void dispatch(const Handle& handle);
    /// Removes an item without charging its work.
    void remove(const Handle& handle);
    /// Charges the difference between actual and estimated work of a dispatched item.
    void adjustCharge(const AccountId& account, double work);
    /// Work that is dispatched before a new item of the account.
    double workAhead(const AccountId& account, double weight) const;
    /// Last item of the account with the largest finish tag; the queue must not be empty.
    Item lastByFinishTag() const;

private:
    /// Start or finish tag of a flow, and the index of the flow.
    using Tag = std::pair<double, std::uint32_t>;
    /// Queue of one account.
    struct Flow {
        double weight = 1;
        /// Start tag of the next item.
        double start = 0;
        double waitingWork = 0;
        std::list<std::pair<Item, double>> items;
    };

    /// Adds the tags and weight of a flow with waiting items to the ordered sets and the total. Any change of a flow is
    /// enclosed in eraseTags() and insertTags().
    void insertTags(std::uint32_t index);
    void eraseTags(std::uint32_t index);
    double finishTag(const Flow& flow) const { return flow.start + flow.waitingWork / flow.weight; }

    std::unordered_map<AccountId, std::uint32_t> m_index;
    std::vector<Flow> m_flows;
    std::set<Tag> m_byStart;
    std::set<Tag> m_byFinish;
    /// Largest start tag dispatched so far. An account that was idle continues from here, so idle time earns no credit.
    double m_virtualTime = 0;
    /// Total weight of the flows with waiting items.
    double m_activeWeight = 0;
    double m_waitingWork = 0;
    std::size_t m_size = 0;
};

} // namespace wisteriayard
