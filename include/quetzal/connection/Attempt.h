#pragma once

#include "include/quetzal/clock/Deadline.h"
#include "include/quetzal/document/Document.h"

#include <cstdint>
#include <string>

namespace quetzal::connection {

/** One attempt to run a request on a backend server. */
struct Attempt
{
  std::uint64_t request_ = 0;
  std::string bytes_;
  bool isHead_ = false;
  bool idempotent_ = false;
  document::WorkClass class_ = document::WorkClass::kQuick;
  clock::Moment deadline_{};
  /** An idempotent attempt is silent if no byte of its answer arrives within this time. */
  clock::Milliseconds silenceTimeout_{ 0 };
  /** Whether an open connection must be probed before the request is written to it, even if the
   * connection received a byte recently. */
  bool needsProbe_ = false;
};

} // namespace quetzal::connection
