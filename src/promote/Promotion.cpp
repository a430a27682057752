#include "include/quetzal/promote/Promotion.h"

#include "include/quetzal/view/View.h"

namespace quetzal::promote {
namespace {

using platform::StoreResult;
using platform::StoreStatus;

constexpr int kMaxRetries = 5;

} // namespace

const char*
ToString(PromoteStatus aStatus)
{
  switch (aStatus) {
    case PromoteStatus::kInForce:
      return "in-force";
    case PromoteStatus::kConflict:
      return "conflict";
    case PromoteStatus::kNotTried:
      return "not-tried";
    case PromoteStatus::kUnsafe:
      return "unsafe";
    case PromoteStatus::kStoreUnreachable:
      return "store-unreachable";
    case PromoteStatus::kUnknown:
      return "unknown";
  }
  return "";
}

Promotion::Promotion(platform::KeyValueStore& aStore, const std::string& aEnvironment)
  : store_(aStore)
  , key_(view::DocumentKey(aEnvironment))
{
}

void
Promotion::Start(const std::string& aYaml, const TrialToken& aToken, Callback aCallback)
{
  yaml_ = aYaml;
  token_ = aToken;
  callback_ = std::move(aCallback);
  // The key is read before the first write. If this read fails, nothing was written, and the store
  // is reported as unreachable. If the answer to a write is lost, the write may have taken effect.
  store_.Range(key_, false, [this](const StoreResult& aResult) {
    if (aResult.status_ != StoreStatus::kSucceeded) {
      End(PromoteStatus::kStoreUnreachable, 0);
      return;
    }
    Write();
  });
}

void
Promotion::Write()
{
  const platform::Transaction transaction{ { platform::KeyIsAtRevision(key_, token_.revision_) },
                                           { platform::Put(key_, yaml_) },
                                           { platform::Read(key_) } };
  store_.Commit(transaction, [this](const StoreResult& aResult) {
    switch (aResult.status_) {
      case StoreStatus::kSucceeded:
        End(PromoteStatus::kInForce, aResult.revision_);
        return;
      case StoreStatus::kCompareFailed:
        OnCompareFailed(aResult);
        return;
      case StoreStatus::kRefused:
        End(PromoteStatus::kStoreUnreachable, 0);
        return;
      case StoreStatus::kUnreachable:
        RetryWrite();
        return;
    }
  });
}

void
Promotion::RetryWrite()
{
  if (++retries_ > kMaxRetries) {
    End(PromoteStatus::kUnknown, 0);
    return;
  }
  // The transaction is safe to repeat, because its comparison lets the write take effect at most
  // once. If the comparison fails, the answer holds the document in force.
  Write();
}

void
Promotion::OnCompareFailed(const StoreResult& aResult)
{
  const bool isInForce = !aResult.read_.empty() && aResult.read_.front().value_ == yaml_;
  if (isInForce) {
    End(PromoteStatus::kInForce, aResult.read_.front().modRevision_);
    return;
  }
  // If an earlier answer was lost, the write may have taken effect, and another document may have
  // replaced it since.
  End(retries_ > 0 ? PromoteStatus::kUnknown : PromoteStatus::kConflict, aResult.revision_);
}

void
Promotion::End(PromoteStatus aStatus, std::int64_t aRevision)
{
  callback_({ aStatus, aRevision });
}

} // namespace quetzal::promote
