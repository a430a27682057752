#include "include/quetzal/log/Level.h"

#include <array>

namespace quetzal::log {

const char*
ToString(Level aLevel)
{
  static constexpr std::array kNames{ "debug", "detail", "info", "warning", "error" };
  return kNames.at(static_cast<std::size_t>(aLevel));
}

} // namespace quetzal::log
