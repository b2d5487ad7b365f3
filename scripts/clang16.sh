# What clang 16 needs to read this code as g++ 12 does. Sourced.
# clang 16 is Debian 12's newest. It does not know -std=c++23 (it is c++2b
# there), libstdc++ 12 gates <expected> on a concepts level clang 16 does not
# announce, and Boost 1.74 does not detect clang's coroutines.
CLANG16_FLAGS=(-std=c++2b
  -U__cpp_concepts -D__cpp_concepts=202002L
  -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1)
