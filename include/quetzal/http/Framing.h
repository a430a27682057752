#pragma once

#include <cstddef>

namespace quetzal::http {

/** Bytes of a chunked body that have been read so far. */
struct ChunkedBytes
{
  std::size_t framing_ = 0; ///< Sizes, extensions and line ends of chunks.
  std::size_t content_ = 0;

  bool operator==(const ChunkedBytes&) const = default;
};

/** Returns whether the framing is out of proportion to the content, as with long chunk extensions.
 * Chunks of one byte without extensions are in proportion. */
bool
IsFramingExcessive(const ChunkedBytes& aBytes);

} // namespace quetzal::http
