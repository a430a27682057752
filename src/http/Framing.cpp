#include "include/quetzal/http/Framing.h"

namespace quetzal::http {
namespace {

/** A chunk of one byte needs 5 bytes of framing; the rest allows for leading zeros of its size. */
constexpr std::size_t kFramingPerContentByte = 8;
/** Allowance for the first and the last chunk. */
constexpr std::size_t kFreeFramingBytes = 1024;

} // namespace

bool
IsFramingExcessive(const ChunkedBytes& aBytes)
{
  return aBytes.framing_ > kFreeFramingBytes + kFramingPerContentByte * aBytes.content_;
}

} // namespace quetzal::http
