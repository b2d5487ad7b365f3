#pragma once

#include <cstddef>

namespace cornellever {

/// Increments a counter on construction and decrements it on destruction.
class scoped_increment {
public:
    explicit scoped_increment(std::size_t& counter) : m_counter{counter} { ++m_counter; }
    ~scoped_increment() { --m_counter; }
    scoped_increment(const scoped_increment&) = delete;
    scoped_increment& operator=(const scoped_increment&) = delete;

private:
    std::size_t& m_counter;
};

} // namespace cornellever
