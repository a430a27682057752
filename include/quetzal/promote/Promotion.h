#pragma once

#include "include/quetzal/platform/KeyValueStore.h"
#include "include/quetzal/promote/TrialToken.h"

#include <functional>
#include <string>

/** Trial of a document and its promotion to the document in force. */
namespace quetzal::promote {

enum class PromoteStatus : std::uint8_t
{
  kInForce,
  kConflict,         ///< Another document came into force after the trial.
  kNotTried,         ///< The token is malformed or belongs to other bytes.
  kUnsafe,           ///< A promise would be at risk, or a host could never be maintained.
  kStoreUnreachable, ///< The store did not answer or refused; nothing was changed.
  kUnknown,          ///< The write may have taken effect; promote again to find out.
};

/** Returns the name printed for operators, such as "in-force". */
const char*
ToString(PromoteStatus aStatus);

struct PromoteResult
{
  PromoteStatus status_ = PromoteStatus::kUnknown;
  std::int64_t revision_ = 0;
};

/** Puts a tried document in force by compare-and-swap on the revision that it was tried against. If
 * the answer is lost, the same transaction is committed again. The answer to the repeated
 * transaction shows which document is in force. */
class Promotion
{
public:
  using Callback = std::function<void(const PromoteResult&)>;

  Promotion(platform::KeyValueStore& aStore, const std::string& aEnvironment);

  /** @param aYaml the document's bytes, already validated.
   * @param aToken the trial's token, with the digest of these bytes. */
  void Start(const std::string& aYaml, const TrialToken& aToken, Callback aCallback);

private:
  void Write();
  void RetryWrite();
  void OnCompareFailed(const platform::StoreResult& aResult);
  void End(PromoteStatus aStatus, std::int64_t aRevision);

  platform::KeyValueStore& store_;
  std::string key_;
  std::string yaml_;
  TrialToken token_;
  Callback callback_;
  int retries_ = 0;
};

} // namespace quetzal::promote
