#include "include/quetzal/workers/Book.h"

#include <algorithm>

namespace quetzal::workers {
namespace {

/** Added to the time of a lapse, which is reckoned to the millisecond. */
constexpr clock::Milliseconds kLapseSlack{ 60 };

void
AddUse(Capacity& aUsed, const Capacity& aNeed, int aSign)
{
  aUsed.cpu_ += aSign * aNeed.cpu_;
  aUsed.memory_ += aSign * aNeed.memory_;
  aUsed.accelerators_ += aSign * aNeed.accelerators_;
}

double
MillisecondsSince(clock::Moment aThen, clock::Moment aNow)
{
  return std::chrono::duration<double, std::milli>(aNow - aThen).count();
}

} // namespace

void
AddSlot(Book& aBook, const jobs::TaskId& aTask, const Slot& aSlot)
{
  const auto [row, added] = aBook.slots_.emplace(aTask, aSlot);
  if (!added) {
    AddUse(aBook.used_, row->second.need_, -1);
    row->second = aSlot;
  }
  AddUse(aBook.used_, aSlot.need_, 1);
}

bool
RemoveSlot(Book& aBook, const jobs::TaskId& aTask, std::int64_t aRun)
{
  const auto row = aBook.slots_.find(aTask);
  if (row == aBook.slots_.end() || row->second.run_ != aRun) {
    return false;
  }
  AddUse(aBook.used_, row->second.need_, -1);
  aBook.slots_.erase(row);
  return true;
}

std::int64_t
ClockAt(const Book& aBook, clock::Moment aNow)
{
  if (!aBook.clock_) {
    return 0;
  }
  return aBook.clock_->clockMs_ +
         static_cast<std::int64_t>(MillisecondsSince(aBook.clock_->readAt_, aNow));
}

bool
HasSurelyLapsed(const Book& aBook, clock::Moment aNow)
{
  if (!aBook.clock_) {
    return false;
  }
  const double passed =
    MillisecondsSince(aBook.clock_->readAt_ + kLapseSlack, aNow) * (1 - kClockSlowness);
  return static_cast<double>(aBook.clock_->clockMs_) + passed >
         static_cast<double>(aBook.grantedMs_);
}

std::int64_t
RecordedUpTo(const Book& aBook)
{
  return aBook.unrecorded_.empty() ? aBook.processed_ : *aBook.unrecorded_.begin() - 1;
}

Capacity
FreeOf(const Book& aBook, const Capacity& aCapacity)
{
  return { aCapacity.cpu_ - aBook.used_.cpu_,
           aCapacity.memory_ - aBook.used_.memory_,
           aCapacity.accelerators_ - aBook.used_.accelerators_ };
}

bool
HasLasting(const Book& aBook)
{
  return std::any_of(aBook.slots_.begin(), aBook.slots_.end(), [](const auto& aRow) {
    return aRow.second.lasting_;
  });
}

bool
IsShared(const Book& aBook)
{
  bool serves = false;
  bool fills = false;
  for (const auto& [task, slot] : aBook.slots_) {
    serves = serves || slot.targetMs_ > 0;
    fills = fills || slot.fills_;
  }
  return serves && fills;
}

} // namespace quetzal::workers
