#pragma once

#include <optional>
#include <string>
#include <vector>

/** Peer liveness, and the assignment of keys to members. */
namespace quetzal::membership {

/** Returns the member with the highest weight for a key, by rendezvous hashing: when a member joins
 * or leaves, only that member's keys are reassigned. */
std::optional<std::string>
OwnerOf(const std::string& aKey, const std::vector<std::string>& aMembers);

/** Returns at most @p aCount members, in descending order of their weight for a key. */
std::vector<std::string>
OwnersOf(const std::string& aKey, const std::vector<std::string>& aMembers, std::size_t aCount);

} // namespace quetzal::membership
