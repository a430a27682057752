#include "include/quetzal/claims/Claim.h"

#include "include/quetzal/wire/UnpackLimit.h"

#include <msgpack.hpp>
#include <xxhash.h>

namespace quetzal::claims {
namespace {

/** Larger answers are not stored, since the store is meant for small values. */
constexpr std::size_t kMaxStoredAnswerBytes = 4 * 1024;
/** Limit for the claim writes of all entry hosts together. */
constexpr int kClaimWritesPerSecond = 300;
constexpr int kMillisecondsPerSecond = 1'000;
constexpr int kRecordVersion = 1;
constexpr std::uint32_t kMinHttpStatus = 200;
constexpr std::uint32_t kMaxHttpStatus = 599;

/** The serialized form of a ClaimRecord. */
struct StoredRecord
{
  int version_ = kRecordVersion;
  int state_ = 0;
  std::string claimant_;
  std::uint64_t fingerprint_ = 0;
  std::uint32_t status_ = 0;
  std::string contentType_;
  std::string body_;

  MSGPACK_DEFINE_ARRAY(version_, state_, claimant_, fingerprint_, status_, contentType_, body_)
};

/** Returns whether the state exists and, if there is an answer, it has a final HTTP status. */
bool
IsValid(const StoredRecord& aRecord)
{
  if (aRecord.state_ == static_cast<int>(ClaimState::kAnswered)) {
    return aRecord.status_ >= kMinHttpStatus && aRecord.status_ <= kMaxHttpStatus;
  }
  return aRecord.state_ == static_cast<int>(ClaimState::kClaimed);
}

} // namespace

ClaimDecision
DecideClaim(const std::optional<ClaimRecord>& aFound,
            const std::string& aClaimant,
            std::uint64_t aFingerprint)
{
  if (!aFound) {
    return ClaimDecision::kAbsent;
  }
  if (aFound->fingerprint_ != aFingerprint) {
    return ClaimDecision::kReused;
  }
  if (aFound->state_ == ClaimState::kAnswered) {
    return ClaimDecision::kReplay;
  }
  // Where the claimant is this submission, its claim was written, but the store's answer to the
  // write was lost.
  return aFound->claimant_ == aClaimant ? ClaimDecision::kGranted : ClaimDecision::kHeld;
}

std::optional<ClaimRecord>
RecordAnswer(const ClaimRecord& aClaim, const http::Response& aAnswer)
{
  if (aAnswer.body_.size() > kMaxStoredAnswerBytes) {
    return std::nullopt;
  }
  ClaimRecord record = aClaim;
  record.state_ = ClaimState::kAnswered;
  record.status_ = aAnswer.status_;
  record.body_ = aAnswer.body_;
  const std::string* contentType = http::FindField(aAnswer.fields_, "Content-Type");
  record.contentType_ = contentType != nullptr ? *contentType : std::string();
  return record;
}

http::Response
ReplayOf(const ClaimRecord& aRecord)
{
  http::Response response{ aRecord.status_, {}, aRecord.body_ };
  if (!aRecord.contentType_.empty()) {
    response.fields_.push_back({ "Content-Type", aRecord.contentType_ });
  }
  response.fields_.push_back({ "Quetzal-Replayed", "true" });
  return response;
}

std::uint64_t
FingerprintOf(const http::Request& aRequest)
{
  const std::string head = aRequest.method_ + " " + aRequest.target_;
  const std::uint64_t seed = XXH3_64bits(head.data(), head.size());
  return XXH3_64bits_withSeed(aRequest.body_.data(), aRequest.body_.size(), seed);
}

std::string
ClaimKey(const std::string& aEnvironment, const std::string& aService, const std::string& aKey)
{
  return "/quetzal/" + aEnvironment + "/claims/" + aService + "/" + aKey;
}

std::string
Encode(const ClaimRecord& aRecord)
{
  const StoredRecord stored{ kRecordVersion,    static_cast<int>(aRecord.state_),
                             aRecord.claimant_, aRecord.fingerprint_,
                             aRecord.status_,   aRecord.contentType_,
                             aRecord.body_ };
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, stored);
  return { buffer.data(), buffer.size() };
}

std::optional<ClaimRecord>
DecodeClaim(const std::string& aBytes)
{
  try {
    const auto handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), nullptr, nullptr, wire::LimitFor(aBytes.size()));
    const auto stored = handle.get().as<StoredRecord>();
    if (stored.version_ != kRecordVersion || !IsValid(stored)) {
      return std::nullopt;
    }
    return ClaimRecord{ static_cast<ClaimState>(stored.state_),
                        stored.claimant_,
                        stored.fingerprint_,
                        stored.status_,
                        stored.contentType_,
                        stored.body_ };
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

clock::Milliseconds
WriteInterval(int aEntryHosts)
{
  return clock::Milliseconds(aEntryHosts * kMillisecondsPerSecond / kClaimWritesPerSecond);
}

} // namespace quetzal::claims
