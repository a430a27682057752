#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace quetzal::promote {

/** Identifies a trial: the exact bytes that were tried, and the revision that they were tried
 * against. A trial prints the token and changes nothing; a promotion requires the token. */
struct TrialToken
{
  std::string digest_;
  /** Revision of the document that was in force during the trial; 0 if there was none. */
  std::int64_t revision_ = 0;

  auto operator<=>(const TrialToken&) const = default;
};

/** Returns "digest@revision". */
std::string
ToString(const TrialToken& aToken);

/** Parses a token. Returns nothing if the text is malformed. */
std::optional<TrialToken>
ParseToken(const std::string& aText);

} // namespace quetzal::promote
