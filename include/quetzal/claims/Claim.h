#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/http/Message.h"

#include <cstdint>
#include <optional>
#include <string>

/** Claims of Idempotency-Keys: a request that is submitted more than once runs at most once. */
namespace quetzal::claims {

enum class ClaimState : std::uint8_t
{
  kClaimed,  ///< The claimant may have sent the request to a backend server.
  kAnswered, ///< The answer is stored for later submissions.
};

/** The stored record of one key of one service. */
struct ClaimRecord
{
  ClaimState state_ = ClaimState::kClaimed;
  std::string claimant_;          ///< Identifies one submission of one process.
  std::uint64_t fingerprint_ = 0; ///< Of the request; one key must not be used for two requests.
  std::uint32_t status_ = 0;
  std::string contentType_;
  std::string body_;

  bool operator==(const ClaimRecord&) const = default;
};

/** A submission that claims its key. */
struct ClaimRequest
{
  std::uint64_t request_ = 0; ///< The id of the service request.
  std::string service_;
  std::string key_;
  std::uint64_t fingerprint_ = 0;
  clock::Moment deadline_{};
};

enum class ClaimDecision : std::uint8_t
{
  kAbsent,      ///< No submission holds the key.
  kGranted,     ///< This submission holds the key.
  kHeld,        ///< Another submission holds the key and may have run.
  kReplay,      ///< Another submission was answered, and its answer is replayed.
  kReused,      ///< The key was used for a different request.
  kUnavailable, ///< The store did not answer before the deadline.
};

/** The result of a ClaimRequest. */
struct ClaimResult
{
  std::uint64_t request_ = 0;
  ClaimDecision decision_ = ClaimDecision::kUnavailable;
  http::Response replay_;
};

/** Decides on a submission by the record that the store holds for its key. */
ClaimDecision
DecideClaim(const std::optional<ClaimRecord>& aFound,
            const std::string& aClaimant,
            std::uint64_t aFingerprint);

/** Returns the record of an answer, or nothing where the answer is too large to store. */
std::optional<ClaimRecord>
RecordAnswer(const ClaimRecord& aClaim, const http::Response& aAnswer);

/** Returns the answer that a record holds, marked as replayed. */
http::Response
ReplayOf(const ClaimRecord& aRecord);

/** Returns a hash of a request's method, target and body. */
std::uint64_t
FingerprintOf(const http::Request& aRequest);

/** Returns the key under which a claim is stored. */
std::string
ClaimKey(const std::string& aEnvironment, const std::string& aService, const std::string& aKey);

std::string
Encode(const ClaimRecord& aRecord);

/** Decodes a record. Returns nothing where the bytes are not a record of the current version. */
std::optional<ClaimRecord>
DecodeClaim(const std::string& aBytes);

/** Returns the minimum time between two writes of one entry host, so that all entry hosts together
 * do not exceed the rate of store writes that is reserved for claims. */
clock::Milliseconds
WriteInterval(int aEntryHosts);

} // namespace quetzal::claims
