#pragma once

#include "include/quetzal/admission/Queue.h"

#include <optional>
#include <vector>

namespace quetzal::admission {

void
Push(Queue& aQueue, const QueuedRequest& aRequest);

/** Removes a request. @return false where the request is not in the queue. */
bool
Remove(Queue& aQueue, const QueuedRequest& aRequest);

/** Takes the next request. Quick requests are taken before long ones, except that a long request is
 * taken after every few quick ones. Within a class, the request with the earliest deadline is taken
 * first.
 * @param aTakesQuick whether a slot for quick work is free.
 * @param aTakesLong whether a slot for long work is free. */
std::optional<QueuedRequest>
TakeNext(Queue& aQueue, bool aTakesQuick, bool aTakesLong);

/** Takes every request whose deadline is at or before the given time. */
std::vector<QueuedRequest>
TakeDue(Queue& aQueue, document::WorkClass aClass, clock::Moment aMoment);

} // namespace quetzal::admission
