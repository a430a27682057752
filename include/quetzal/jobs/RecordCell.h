#pragma once

#include <optional>
#include <string>

namespace quetzal::jobs {

/** Returns the cell of an encoded JobRecord without decoding the rest, since a new owner reads the
 * records of all cells and needs only its own. Returns nothing if the bytes do not begin as a
 * JobRecord. */
std::optional<std::string>
CellOf(const std::string& aBytes);

} // namespace quetzal::jobs
