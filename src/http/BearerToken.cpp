#include "include/quetzal/http/BearerToken.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cctype>

namespace quetzal::http {
namespace {

constexpr std::string_view kFieldName = "Authorization";
constexpr std::string_view kScheme = "Bearer ";

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

bool
IsTokenCharacter(unsigned char aByte)
{
  constexpr std::string_view kPunctuation = "-._~+/=";
  return std::isalnum(aByte) != 0 ||
         kPunctuation.find(static_cast<char>(aByte)) != kPunctuation.npos;
}

} // namespace

std::optional<std::string_view>
BearerToken(const Fields& aFields)
{
  const auto isAuthorization = [](const Field& aField) {
    return EqualIgnoringCase(aField.name_, kFieldName);
  };
  if (std::count_if(aFields.begin(), aFields.end(), isAuthorization) != 1) {
    return std::nullopt;
  }
  const std::string_view value = *FindField(aFields, kFieldName);
  if (!EqualIgnoringCase(value.substr(0, kScheme.size()), kScheme)) {
    return std::nullopt;
  }
  std::string_view token = value.substr(kScheme.size());
  token.remove_prefix(std::min(token.find_first_not_of(' '), token.size()));
  if (token.empty() || !std::all_of(token.begin(), token.end(), IsTokenCharacter)) {
    return std::nullopt;
  }
  return token;
}

} // namespace quetzal::http
