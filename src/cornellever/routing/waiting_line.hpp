#pragma once

#include <cstddef>
#include <functional>
#include <list>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// Requests waiting for a connection: lower priority numbers first, and among
/// equals the one whose time runs out first. `T` has `priority` and `until`.
template <typename T>
class waiting_line {
public:
    /// Adds an item, which must stay where it is until removed.
    void join(T& item) {
        auto at = m_items.begin();
        while (at != m_items.end() && !before(item, **at)) {
            ++at;
        }
        m_items.insert(at, &item);
    }

    void leave(T& item) { m_items.remove(&item); }

    /// Removes and returns the first item that `suits`; null when none does.
    template <std::predicate<const T&> Suits>
    T* take_first(Suits suits) {
        for (auto at = m_items.begin(); at != m_items.end(); ++at) {
            if (suits(**at)) {
                T* found = *at;
                m_items.erase(at);
                return found;
            }
        }
        return nullptr;
    }

    /// How many items would be served before one of this priority.
    [[nodiscard]] std::size_t ahead_of(int priority) const {
        std::size_t count = 0;
        for (const auto* item : m_items) {
            count += item->priority <= priority ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_items.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

private:
    static bool before(const T& left, const T& right) {
        return left.priority != right.priority ? left.priority < right.priority : left.until < right.until;
    }

    std::list<T*> m_items;
};

} // namespace cornellever::routing
