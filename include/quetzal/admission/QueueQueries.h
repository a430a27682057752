#pragma once

#include "include/quetzal/admission/Queue.h"
#include "include/quetzal/outcome/Outcome.h"

namespace quetzal::admission {

std::size_t
SizeOf(const Queue& aQueue);

/** Returns how many queued requests are taken before one of this class and deadline. */
std::size_t
CountAhead(const Queue& aQueue, document::WorkClass aClass, clock::Moment aDeadline);

/** The facts for an admission decision, when a request arrives. */
struct AdmissionContext
{
  std::size_t queued_ = 0;
  std::size_t maxQueued_ = 0;   ///< The queue's limit.
  std::size_t queuedAhead_ = 0; ///< Queued requests that are taken first.
  int slots_ = 0;               ///< Requests that this entry host may run at once.
  std::chrono::duration<double, std::milli> serviceTime_{ 0 };
  clock::Milliseconds likelyTime_{ 0 }; ///< Time within which most requests are answered.
  clock::Milliseconds timeLeft_{ 0 };   ///< Time until the deadline.
};

/** Decides whether an arriving request is admitted. @return kNone where it is. */
outcome::Reason
DecideAdmission(const AdmissionContext& aContext);

/** Returns how many slots of one backend server long work may take. The others are kept for quick
 * work. */
int
SlotsForLongWork(int aSlots);

} // namespace quetzal::admission
