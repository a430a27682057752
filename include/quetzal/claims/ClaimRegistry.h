#pragma once

#include "include/quetzal/claims/Claim.h"
#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/platform/KeyValueStore.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <deque>
#include <map>
#include <vector>

namespace quetzal::claims {

struct ClaimOptions
{
  std::string environment_;
  std::string process_; ///< Unique among all processes that claim keys, including earlier ones.
  int entryHosts_ = 1;
  std::chrono::seconds retention_{ 3'600 }; ///< How long a key's claim and answer are stored.
};

/** Claims keys in the platform's store. Claims are written in batches, and only the store's
 * comparison decides whether a claim is granted. */
class ClaimRegistry : public QObject
{
  Q_OBJECT

public:
  ClaimRegistry(platform::KeyValueStore& aStore,
                const ClaimOptions& aOptions,
                metrics::Registry& aMetrics,
                QObject* aParent);

  /** Claims a key. Decided() is emitted at the request's deadline at the latest. */
  void Claim(const ClaimRequest& aRequest);

  /** Releases a granted key, since its request has not run and will not run. */
  void Release(const ClaimRequest& aRequest);

  /** Stores the answer to a granted key's request, for later submissions. */
  void Complete(const ClaimRequest& aRequest, const http::Response& aAnswer);

  /** Returns whether all claims and updates have been written. */
  bool IsIdle() const { return updates_.empty() && waitingClaims_.empty() && !writeInFlight_; }

Q_SIGNALS:
  void Decided(const quetzal::claims::ClaimResult& aResult);

private:
  /** A change of a claim that this process holds. */
  struct Update
  {
    std::string storeKey_;
    std::string expectedValue_; ///< The update fails unless the store holds this value.
    std::string newValue_;      ///< The value to write; empty to delete the key.
  };

  std::string ClaimantOf(const ClaimRequest& aRequest) const;
  ClaimRecord RecordOf(const ClaimRequest& aRequest) const;
  std::string StoreKeyOf(const ClaimRequest& aRequest) const;
  void ScheduleWrite();
  void Write();
  void EnsureLease();
  std::vector<ClaimRequest> TakeClaimBatch();
  void WriteClaims(const std::vector<ClaimRequest>& aBatch);
  void OnClaimsWritten(const std::vector<ClaimRequest>& aBatch,
                       const platform::StoreResult& aResult);
  void DecideFound(const ClaimRequest& aRequest, const platform::StoreResult& aResult);
  void WriteUpdates(std::vector<Update> aBatch);
  void OnUpdatesWritten(const std::vector<Update>& aBatch, const platform::StoreResult& aResult);
  void RequeueUpdates(const std::vector<Update>& aBatch);
  void DropExpired();
  void Decide(const ClaimRequest& aRequest,
              ClaimDecision aDecision,
              const http::Response& aReplay = {});

  platform::KeyValueStore& store_;
  ClaimOptions options_;
  metrics::Registry& metrics_;
  std::deque<ClaimRequest> waitingClaims_;
  std::vector<ClaimRequest> claimsInFlight_;
  std::deque<Update> updates_;
  QTimer writeTimer_;
  QTimer deadlineTimer_;
  clock::Moment lastWriteAt_{};
  clock::Moment leaseGrantedAt_{};
  std::int64_t lease_ = 0;
  bool requestingLease_ = false;
  bool writeInFlight_ = false;
  bool lastWriteWasClaims_ = false;
  bool oneUpdatePerWrite_ = false; ///< Set after a batch of updates has failed.
};

} // namespace quetzal::claims
