#pragma once

#include "include/quetzal/fleet/Effect.h"
#include "include/quetzal/promote/TrialToken.h"

namespace quetzal::promote {

/** Returns the report of a trial as a table. */
std::string
ToTable(const fleet::Effect& aEffect, const TrialToken& aToken);

/** Returns the report of a trial as JSON. */
std::string
ToJson(const fleet::Effect& aEffect, const TrialToken& aToken);

} // namespace quetzal::promote
