#pragma once

#include "include/quetzal/admission/Queue.h"

#include <optional>
#include <vector>

namespace quetzal::admission {

void
Push(Queue& aQueue, const QueuedRequest& aRequest);

/** Takes a request out wherever it stands. @return false where it is not in the queue. */
bool
Remove(Queue& aQueue, const QueuedRequest& aRequest);

/** Takes the next request: quick before long, but one long for every few quick ones, and by
 * deadline within a class. @param aTakesLong whether a slot for long work is free. */
std::optional<QueuedRequest>
TakeNext(Queue& aQueue, bool aTakesQuick, bool aTakesLong);

/** Takes out every request whose deadline is not after a moment. */
std::vector<QueuedRequest>
TakeDue(Queue& aQueue, document::WorkClass aClass, clock::Moment aMoment);

} // namespace quetzal::admission
