#pragma once

#include "include/quetzal/admission/Queue.h"
#include "include/quetzal/outcome/Outcome.h"

namespace quetzal::admission {

std::size_t
SizeOf(const Queue& aQueue);

/** Returns how many waiting requests are taken before one of this class and deadline. */
std::size_t
CountAhead(const Queue& aQueue, document::WorkClass aClass, clock::Moment aDeadline);

/** What is known of a service when a request arrives. */
struct AdmissionContext
{
  std::size_t queued_ = 0;
  std::size_t maxQueued_ = 0;   ///< Bound on the queue.
  std::size_t queuedAhead_ = 0; ///< Requests that are taken first.
  int slots_ = 0;               ///< Requests that run at once for this entry host.
  std::chrono::duration<double, std::milli> serviceTime_{ 0 };
  clock::Milliseconds likelyTime_{ 0 }; ///< That most requests stay within.
  clock::Milliseconds timeLeft_{ 0 };   ///< Until the deadline.
};

/** Decides about a request that arrives. @return kNone where it is admitted. */
outcome::Reason
DecideAdmission(const AdmissionContext& aContext);

/** Returns the slots of one backend server that long work may take, so that quick work always
 * finds some. */
int
SlotsForLongWork(int aSlots);

} // namespace quetzal::admission
