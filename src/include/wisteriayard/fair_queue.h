#pragma once

#include "wisteriayard/ids.h"

#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriayard {

/// Start-time fair queue over accounts, by work and weight. Each operation costs at most the logarithm of the number
/// of accounts with waiting items, whatever the number of items.
class FairQueue {
public:
    /// Index of a request in the scheduler.
    using Item = std::uint32_t;

    /// Place of an item in the queue, for its removal.
    struct Handle {
        std::uint32_t flow = 0;
        std::list<std::pair<Item, double>>::iterator position;
    };

    /// Adds an item behind the account's others.
    /// @param weight above 0
    /// @param work estimated tokens of work, above 0
    /// @param first put it before the account's others
    Handle push(const AccountId& account, double weight, Item item, double work, bool first);
    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    /// Item with the least start tag; the queue must not be empty.
    Item front() const;
    /// Work of the front item.
    double frontWork() const;
    /// Takes an item out for dispatch: its work is charged to its account.
    void dispatch(const Handle& handle);
    /// Takes an item out that is not dispatched.
    void remove(const Handle& handle);
    /// Charges the difference between real and estimated work of a dispatched item.
    void correct(const AccountId& account, double work);
    /// Work that goes before a new item of the account.
    double workAhead(const AccountId& account, double weight) const;
    /// Last item of the account that is furthest ahead of its share; the queue must not be empty.
    Item furthestBack() const;

private:
    using Tag = std::pair<double, std::uint32_t>;
    struct Flow {
        double weight = 1;
        /// Start tag of the next item.
        double start = 0;
        double waitingWork = 0;
        std::list<std::pair<Item, double>> items;
    };

    void insertTags(std::uint32_t index);
    void eraseTags(std::uint32_t index);
    double endTag(const Flow& flow) const { return flow.start + flow.waitingWork / flow.weight; }

    std::unordered_map<AccountId, std::uint32_t> m_index;
    std::vector<Flow> m_flows;
    std::set<Tag> m_byStart;
    std::set<Tag> m_byEnd;
    double m_virtualTime = 0;
    double m_activeWeight = 0;
    double m_waitingWork = 0;
    std::size_t m_size = 0;
};

} // namespace wisteriayard
