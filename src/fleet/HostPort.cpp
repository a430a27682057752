#include "include/quetzal/fleet/HostPort.h"

#include <array>

namespace quetzal::fleet {

const char*
ToString(HostOrderStatus aStatus)
{
  static constexpr std::array kNames{ "accepted", "fenced",  "busy",     "not-of-wave",
                                      "invalid",  "refused", "no-answer" };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

} // namespace quetzal::fleet
