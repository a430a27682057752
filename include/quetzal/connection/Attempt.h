#pragma once

#include "include/quetzal/clock/Deadline.h"
#include "include/quetzal/document/Document.h"

#include <cstdint>
#include <string>

namespace quetzal::connection {

/** One attempt that a backend server is asked to make. */
struct Attempt
{
  std::uint64_t request_ = 0;
  std::string bytes_;
  bool isHead_ = false;
  bool idempotent_ = false;
  document::WorkClass class_ = document::WorkClass::kQuick;
  clock::Moment deadline_{};
  clock::Milliseconds silenceTimeout_{ 0 }; ///< When an idempotent attempt is said to be silent.
  bool needsProbe_ = false; ///< A kept connection must be proven first, however young its silence.
};

} // namespace quetzal::connection
