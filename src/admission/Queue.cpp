#include "include/quetzal/admission/QueueCommands.h"
#include "include/quetzal/admission/QueueQueries.h"

#include <algorithm>

namespace quetzal::admission {
namespace {

using document::WorkClass;

/** A waiting long request is taken after this many quick requests. */
constexpr int kQuickPerLong = 8;
/** The expected wait is multiplied by this factor, since slots become free somewhat later than the
 * mean service time predicts. */
constexpr double kWaitFactor = 1.2;
constexpr int kLongSlotsNumerator = 3;
constexpr int kLongSlotsDenominator = 4;

std::set<QueuedRequest>&
ClassOf(Queue& aQueue, WorkClass aClass)
{
  return aClass == WorkClass::kQuick ? aQueue.quick_ : aQueue.long_;
}

std::size_t
CountBefore(const std::set<QueuedRequest>& aRequests, clock::Moment aDeadline)
{
  const auto end = aRequests.lower_bound({ aDeadline, 0, WorkClass::kQuick });
  return static_cast<std::size_t>(std::distance(aRequests.begin(), end));
}

QueuedRequest
TakeFirst(std::set<QueuedRequest>& aRequests)
{
  const QueuedRequest first = *aRequests.begin();
  aRequests.erase(aRequests.begin());
  return first;
}

} // namespace

void
Push(Queue& aQueue, const QueuedRequest& aRequests)
{
  ClassOf(aQueue, aRequests.class_).insert(aRequests);
}

bool
Remove(Queue& aQueue, const QueuedRequest& aRequests)
{
  return ClassOf(aQueue, aRequests.class_).erase(aRequests) > 0;
}

std::optional<QueuedRequest>
TakeNext(Queue& aQueue, bool aTakesQuick, bool aTakesLong)
{
  const bool quickWaits = aTakesQuick && !aQueue.quick_.empty();
  const bool longWaits = aTakesLong && !aQueue.long_.empty();
  const bool longIsDue = aQueue.consecutiveQuick_ >= kQuickPerLong;
  if (longWaits && (!quickWaits || longIsDue)) {
    aQueue.consecutiveQuick_ = 0;
    return TakeFirst(aQueue.long_);
  }
  if (!quickWaits) {
    return std::nullopt;
  }
  ++aQueue.consecutiveQuick_;
  return TakeFirst(aQueue.quick_);
}

std::vector<QueuedRequest>
TakeDue(Queue& aQueue, WorkClass aClass, clock::Moment aMoment)
{
  std::set<QueuedRequest>& requests = ClassOf(aQueue, aClass);
  std::vector<QueuedRequest> due;
  while (!requests.empty() && requests.begin()->deadline_ <= aMoment) {
    due.push_back(TakeFirst(requests));
  }
  return due;
}

std::size_t
SizeOf(const Queue& aQueue)
{
  return aQueue.quick_.size() + aQueue.long_.size();
}

std::size_t
CountAhead(const Queue& aQueue, WorkClass aClass, clock::Moment aDeadline)
{
  if (aClass == WorkClass::kQuick) {
    return CountBefore(aQueue.quick_, aDeadline);
  }
  return aQueue.quick_.size() + CountBefore(aQueue.long_, aDeadline);
}

outcome::Reason
DecideAdmission(const AdmissionContext& aContext)
{
  if (aContext.timeLeft_.count() <= 0) {
    return outcome::Reason::kDeadlineTooShort;
  }
  if (aContext.queued_ >= aContext.maxQueued_) {
    return outcome::Reason::kQueueFull;
  }
  const int slots = std::max(aContext.slots_, 1);
  const double rounds = static_cast<double>(aContext.queuedAhead_) / slots;
  const auto wait = aContext.serviceTime_ * rounds * kWaitFactor;
  if (wait + aContext.likelyTime_ > aContext.timeLeft_) {
    return outcome::Reason::kDeadlineTooShort;
  }
  return outcome::Reason::kNone;
}

int
SlotsForLongWork(int aSlots)
{
  return std::max(1, aSlots * kLongSlotsNumerator / kLongSlotsDenominator);
}

} // namespace quetzal::admission
