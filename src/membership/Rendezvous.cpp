#include "include/quetzal/membership/Rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace quetzal::membership {
namespace {

std::uint64_t
WeightOf(const std::string& aKey, const std::string& aMember)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aMember.data(), aMember.size(), seed);
}

} // namespace

std::optional<std::string>
OwnerOf(const std::string& aKey, const std::vector<std::string>& aMembers)
{
  const std::vector<std::string> owners = OwnersOf(aKey, aMembers, 1);
  return owners.empty() ? std::nullopt : std::optional(owners.front());
}

std::vector<std::string>
OwnersOf(const std::string& aKey, const std::vector<std::string>& aMembers, std::size_t aCount)
{
  std::vector<std::string> owners = aMembers;
  std::sort(owners.begin(), owners.end(), [&aKey](const auto& aLeft, const auto& aRight) {
    const std::uint64_t left = WeightOf(aKey, aLeft);
    const std::uint64_t right = WeightOf(aKey, aRight);
    return left != right ? left > right : aLeft < aRight;
  });
  owners.resize(std::min(owners.size(), aCount));
  return owners;
}

} // namespace quetzal::membership
