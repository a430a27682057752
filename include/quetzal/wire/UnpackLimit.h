#pragma once

#include <cstddef>
#include <msgpack.hpp>

namespace quetzal::wire {

/** Bound on the nesting of a message. */
inline constexpr std::size_t kMaxDepth = 16;

/** Returns limits under which a message can't declare more than its bytes can hold. Memory for a
 * declared size is allocated before its content is read. */
inline msgpack::unpack_limit
LimitFor(std::size_t aBytes)
{
  return { aBytes, aBytes, aBytes, aBytes, aBytes, kMaxDepth };
}

} // namespace quetzal::wire
