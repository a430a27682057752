#pragma once

#include "include/quetzal/http/Message.h"

#include <optional>
#include <string_view>

namespace quetzal::http {

/** Returns the token of a request's Authorization field with the scheme "Bearer" (RFC 6750, section
 * 2.1). Returns nothing if there is no such field, if there are several, or if it is malformed. */
std::optional<std::string_view>
BearerToken(const Fields& aFields);

} // namespace quetzal::http
