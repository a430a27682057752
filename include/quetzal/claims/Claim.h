#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/http/Message.h"

#include <cstdint>
#include <optional>
#include <string>

/** Claims on Idempotency-Keys: a request that may be submitted again runs at most once. */
namespace quetzal::claims {

enum class ClaimState : std::uint8_t
{
  kClaimed,  ///< Its claimant may have sent it to a backend server.
  kAnswered, ///< The answer is kept for later submissions.
};

/** What the store holds for one key of one service. */
struct ClaimRecord
{
  ClaimState state_ = ClaimState::kClaimed;
  std::string claimant_;          ///< Names one submission of one process.
  std::uint64_t fingerprint_ = 0; ///< Of the request; a key must not stand for two requests.
  std::uint32_t status_ = 0;
  std::string contentType_;
  std::string body_;

  bool operator==(const ClaimRecord&) const = default;
};

/** One submission that asks for its key. */
struct ClaimRequest
{
  std::uint64_t request_ = 0; ///< The ticket's id.
  std::string service_;
  std::string key_;
  std::uint64_t fingerprint_ = 0;
  clock::Moment deadline_{};
};

enum class ClaimDecision : std::uint8_t
{
  kAbsent,      ///< Nobody holds the key.
  kGranted,     ///< This submission holds it.
  kHeld,        ///< Another submission holds it and may have run.
  kReplay,      ///< Another submission was answered; here is that answer.
  kReused,      ///< The key stands for another request.
  kUnavailable, ///< The store did not say in time.
};

/** What became of a claim request. */
struct ClaimResult
{
  std::uint64_t request_ = 0;
  ClaimDecision decision_ = ClaimDecision::kUnavailable;
  http::Response replay_;
};

/** Decides about a submission from what the store holds for its key. */
ClaimDecision
DecideClaim(const std::optional<ClaimRecord>& aFound,
            const std::string& aClaimant,
            std::uint64_t aFingerprint);

/** Returns the record that keeps an answer, or nothing where the answer is too large to keep. */
std::optional<ClaimRecord>
RecordAnswer(const ClaimRecord& aClaim, const http::Response& aAnswer);

/** Returns the kept answer. */
http::Response
ReplayOf(const ClaimRecord& aRecord);

/** Returns the fingerprint of a request. */
std::uint64_t
FingerprintOf(const http::Request& aRequest);

/** Returns the store's key of a claim. */
std::string
ClaimKey(const std::string& aEnvironment, const std::string& aService, const std::string& aKey);

/** Returns the record's bytes. */
std::string
Encode(const ClaimRecord& aRecord);

/** Reads a record; nothing where the bytes are none. */
std::optional<ClaimRecord>
DecodeClaim(const std::string& aBytes);

/** Returns the least time between two writes of one entry host, so that all of them together
 * stay inside the share of the store's writes that claims may take. */
clock::Milliseconds
WriteInterval(int aEntryHosts);

} // namespace quetzal::claims
