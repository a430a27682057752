#include "include/quetzal/organisations/Organisation.h"

#include <QtCore/QCryptographicHash>
#include <algorithm>

namespace quetzal::organisations {
namespace {

constexpr int kFingerprintBytes = 4;

} // namespace

KeyDigest
DigestOf(std::string_view aKey)
{
  const QByteArray hash = QCryptographicHash::hash(
    QByteArrayView(aKey.data(), static_cast<qsizetype>(aKey.size())), QCryptographicHash::Sha256);
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

} // namespace quetzal::organisations
