#pragma once

#include <cstddef>

namespace cornellever {

/// Holds a counter up by one for its own lifetime.
class scoped_count {
public:
    explicit scoped_count(std::size_t& counter) : m_counter{counter} { ++m_counter; }
    ~scoped_count() { --m_counter; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

private:
    std::size_t& m_counter;
};

} // namespace cornellever
