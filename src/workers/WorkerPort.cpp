#include "include/quetzal/workers/WorkerPort.h"

#include <array>

namespace quetzal::workers {

const char*
ToString(OrderStatus aStatus)
{
  static constexpr std::array kNames{ "accepted",       "fenced",    "superseded", "late",
                                      "no-room",        "no-ticket", "invalid",    "unhealthy",
                                      "other-lifetime", "no-answer" };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

} // namespace quetzal::workers
