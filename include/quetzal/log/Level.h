#pragma once

#include <cstdint>

namespace quetzal::log {

/** How important a record is, in ascending order. */
enum class Level : std::uint8_t
{
  kDebug,
  kDetail, ///< One of many records of its kind, such as the start of a task.
  kInfo,
  kWarning,
  kError,
};

/** Returns the level's name in a log. */
const char*
ToString(Level aLevel);

} // namespace quetzal::log
