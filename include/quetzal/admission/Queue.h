#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/document/Document.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>

/** Admission control: which requests are queued, in which order, and which are refused on arrival.
 */
namespace quetzal::admission {

/** A request in a queue, ordered by its deadline. */
struct QueuedRequest
{
  clock::Moment deadline_;
  std::uint64_t request_ = 0;
  document::WorkClass class_ = document::WorkClass::kQuick;

  auto operator<=>(const QueuedRequest&) const = default;
};

/** The queued requests of one service in one entry host. */
struct Queue
{
  std::set<QueuedRequest> quick_;
  std::set<QueuedRequest> long_;
  int consecutiveQuick_ = 0; ///< Quick requests taken since the last long request.
};

} // namespace quetzal::admission
