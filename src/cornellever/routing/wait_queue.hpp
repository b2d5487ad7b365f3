#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <list>
#include <tuple>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// A queue of requests that wait for a connection, ordered by priority number and then by deadline. `T` has the members
/// `priority` and `until` (the deadline). If it also has the member `over_share`, the requests for which this is true
/// are behind all others of their priority (see `account_shares`).
template <typename T>
class wait_queue {
public:
    /// Adds an item. The address of the item must stay valid until the item is removed.
    void enqueue(T& item) {
        auto at = m_items.begin();
        while (at != m_items.end() && !before(item, **at)) {
            ++at;
        }
        m_items.insert(at, &item);
    }

    void dequeue(T& item) { m_items.remove(&item); }

    /// Removes and returns the first eligible item, or returns null if there is none.
    template <std::predicate<const T&> Predicate>
    T* take_first(Predicate eligible) {
        for (auto at = m_items.begin(); at != m_items.end(); ++at) {
            if (eligible(**at)) {
                T* found = *at;
                m_items.erase(at);
                return found;
            }
        }
        return nullptr;
    }

    /// The items in the order in which they are served.
    [[nodiscard]] const std::list<T*>& items() const noexcept { return m_items; }

    /// Returns how many items would be served before an item with this priority and deadline.
    [[nodiscard]] std::size_t queue_position(std::int64_t priority, boot_clock::time_point until,
                                             bool over_share = false) const {
        const auto behind = std::ranges::find_if(m_items, [&](const auto* item) {
            return std::tuple{priority, over_share, until} < rank(*item);
        });
        return static_cast<std::size_t>(std::distance(m_items.begin(), behind));
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_items.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

private:
    static std::tuple<std::int64_t, bool, boot_clock::time_point> rank(const T& item) {
        if constexpr (requires { item.over_share; }) {
            return {item.priority, item.over_share, item.until};
        } else {
            return {item.priority, false, item.until};
        }
    }

    static bool before(const T& left, const T& right) { return rank(left) < rank(right); }

    std::list<T*> m_items;
};

} // namespace cornellever::routing
