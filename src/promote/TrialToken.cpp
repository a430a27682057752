#include "include/quetzal/promote/TrialToken.h"

#include <charconv>

namespace quetzal::promote {

std::string
ToString(const TrialToken& aToken)
{
  return aToken.digest_ + "@" + std::to_string(aToken.revision_);
}

std::optional<TrialToken>
ParseToken(const std::string& aText)
{
  const auto at = aText.find('@');
  if (at == 0 || at == std::string::npos) {
    return std::nullopt;
  }
  TrialToken token{ aText.substr(0, at), 0 };
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data() + at + 1, end, token.revision_);
  if (error != std::errc{} || parsedEnd != end || token.revision_ < 0) {
    return std::nullopt;
  }
  return token;
}

} // namespace quetzal::promote
