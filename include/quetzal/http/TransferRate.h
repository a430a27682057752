#pragma once

#include "include/quetzal/clock/Time.h"

#include <cstddef>

namespace quetzal::http {

/** The least rate at which a request's body must arrive, in each window since its start. */
struct TransferRate
{
  std::size_t bytesPerSecond_ = 128;
  clock::Milliseconds window_{ 5'000 };

  bool operator==(const TransferRate&) const = default;
};

/** Returns whether the bytes that arrived in one window are fewer than the rate requires. */
bool
IsBelowRate(const TransferRate& aRate, std::size_t aBytesInWindow);

} // namespace quetzal::http
