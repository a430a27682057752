#pragma once

#include "review/standin/World.h"

namespace review {

/** Waits for `finish_s` and then judges for 3 s, as the rule LOST says, which of the accepted jobs
 * have nothing running although there is room for their subtasks twice over and under half of the
 * service's capacity is in use. The jobs have one step, whose subtasks need @p aCpu. Writes them to
 * the record. */
std::set<std::string>
FindLostJobs(World& aWorld,
             const Queue& aQueue,
             const std::set<std::string>& aAccepted,
             std::int64_t aCpu);

} // namespace review
