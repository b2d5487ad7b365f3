#pragma once

namespace cornellever::ini {

struct origin;
struct entry;
struct finding;
struct document;

} // namespace cornellever::ini
