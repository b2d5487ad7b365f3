# Compiler flags with which clang 16, the newest in Debian 12, compiles this code
# like g++ 12. Meant to be sourced. clang 16 calls -std=c++23 c++2b; libstdc++ 12
# provides <expected> only for a __cpp_concepts value that clang 16 does not
# define; and Boost 1.74 does not detect clang's coroutines.
CLANG16_FLAGS=(-std=c++2b
  -U__cpp_concepts -D__cpp_concepts=202002L
  -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1)
