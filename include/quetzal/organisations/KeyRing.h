#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal::organisations {

/** The SHA-256 digest of an API key. */
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

/** The API keys of all organisations. A lookup compares digests, so that its duration tells nothing
 * about the keys. */
struct KeyRing
{
  std::map<KeyDigest, std::string> organisations_; ///< The name of each key's organisation.

  auto operator<=>(const KeyRing&) const = default;
};

/** Adds a key of an organisation. @return false if it belongs to another organisation, which then
 * keeps it. */
bool
AddKey(KeyRing& aRing, std::string_view aKey, const std::string& aOrganisation);

/** Returns the name of the organisation that a key belongs to; nothing if the key is unknown. */
std::optional<std::string>
FindOrganisation(const KeyRing& aRing, std::string_view aKey);

/** The caller of a public queue in a deployment with organisations: it belongs to none. No
 * organisation has this name. */
inline const std::string kAnonymous("\0anonymous", 10);

/** Returns the organisation that a caller's job belongs to; empty if it belongs to none. */
std::string
OwnerFor(const std::string& aCaller);

/** Returns whether a caller may see or change a job. @param aCaller the caller's organisation;
 * kAnonymous; empty if the call is not restricted. @param aOwner the job's organisation; empty if
 * it has none, so that every caller may. */
bool
MayAccess(const std::string& aCaller, const std::string& aOwner);

} // namespace quetzal::organisations
