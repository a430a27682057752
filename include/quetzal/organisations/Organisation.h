#pragma once

#include "include/quetzal/workers/Capacity.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Organisations: their API keys, and what they may use. */
namespace quetzal::organisations {

/** The SHA-256 digest of an API key. Keys themselves are not kept. */
struct KeyDigest
{
  std::array<std::uint8_t, 32> bytes_{};

  auto operator<=>(const KeyDigest&) const = default;
};

KeyDigest
DigestOf(std::string_view aKey);

/** Returns the first hexadecimal digits of a digest, which identify a key in logs. */
std::string
Fingerprint(const KeyDigest& aDigest);

/** An organisation whose jobs share the workers with those of others. */
struct Organisation
{
  std::string name_;
  std::vector<KeyDigest> keys_;
  double weight_ = 0; ///< Its share while workers are short, and its entitled jobs per second.
  workers::Capacity quota_; ///< What it may have running over all pools; 0: no limit.

  auto operator<=>(const Organisation&) const = default;
};

} // namespace quetzal::organisations
