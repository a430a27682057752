#include "include/quetzal/organisations/KeyRing.h"

#include <QtCore/QCryptographicHash>
#include <algorithm>

namespace quetzal::organisations {
namespace {

constexpr qsizetype kFingerprintBytes = 4;

} // namespace

KeyDigest
DigestOf(std::string_view aKey)
{
  const QByteArrayView key(aKey.data(), static_cast<qsizetype>(aKey.size()));
  const QByteArray hash = QCryptographicHash::hash(key, QCryptographicHash::Sha256);
  KeyDigest digest;
  std::copy(hash.begin(), hash.end(), digest.bytes_.begin());
  return digest;
}

std::string
Fingerprint(const KeyDigest& aDigest)
{
  const QByteArrayView bytes(aDigest.bytes_.data(), kFingerprintBytes);
  return bytes.toByteArray().toHex().toStdString();
}

bool
AddKey(KeyRing& aRing, std::string_view aKey, const std::string& aOrganisation)
{
  const auto [entry, added] = aRing.organisations_.emplace(DigestOf(aKey), aOrganisation);
  return added || entry->second == aOrganisation;
}

std::optional<std::string>
FindOrganisation(const KeyRing& aRing, std::string_view aKey)
{
  const auto found = aRing.organisations_.find(DigestOf(aKey));
  return found == aRing.organisations_.end() ? std::nullopt : std::optional(found->second);
}

std::string
OwnerFor(const std::string& aCaller)
{
  return aCaller == kAnonymous ? std::string() : aCaller;
}

bool
MayAccess(const std::string& aCaller, const std::string& aOwner)
{
  return aCaller.empty() || aOwner.empty() || aCaller == aOwner;
}

} // namespace quetzal::organisations
