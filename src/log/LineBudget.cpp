#include "include/quetzal/log/LineBudget.h"

#include <limits>

namespace quetzal::log {
namespace {

constexpr std::size_t kMaxDetailBytes = 512 * 1024;
constexpr std::size_t kMaxInfoBytes = 1024 * 1024;

} // namespace

std::size_t
MaxBytesPerSecond(Level aLevel)
{
  if (aLevel >= Level::kWarning) {
    return std::numeric_limits<std::size_t>::max();
  }
  return aLevel == Level::kInfo ? kMaxInfoBytes : kMaxDetailBytes;
}

void
AdvanceTo(LineBudget& aBudget, std::chrono::seconds aSecond)
{
  if (aSecond != aBudget.second_) {
    aBudget.second_ = aSecond;
    aBudget.bytes_ = 0;
  }
}

bool
TakeLine(LineBudget& aBudget, Level aLevel, std::size_t aBytes)
{
  if (aBudget.bytes_ > MaxBytesPerSecond(aLevel)) {
    ++aBudget.droppedLines_;
    return false;
  }
  aBudget.bytes_ += aBytes;
  return true;
}

} // namespace quetzal::log
