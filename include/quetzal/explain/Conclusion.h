#pragma once

#include "include/quetzal/explain/History.h"

#include <string>

namespace quetzal::explain {

/** Returns what became of the subject, and the likely cause of its longest wait, in one or two
 * sentences; for a job or task also a line for each of its first uncertain runs. */
std::string
ConclusionOf(const History& aHistory);

/** Returns the history as a table, one record a line: the time since the first record, the time
 * since the record before, process, event and fields; and then the conclusion. */
std::string
ToText(const History& aHistory);

} // namespace quetzal::explain
