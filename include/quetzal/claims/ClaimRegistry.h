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

/** How claims are kept. */
struct ClaimOptions
{
  std::string environment_;
  std::string process_; ///< Unique among all processes that ever claim.
  int entryHosts_ = 1;
  std::chrono::seconds retention_{ 3'600 }; ///< Later submissions of a key are no longer known.
};

/** Claims keys in the platform's store. Many claims share one write; whether a claim holds is
 * decided by the store's comparison alone. */
class ClaimRegistry : public QObject
{
  Q_OBJECT

public:
  ClaimRegistry(platform::KeyValueStore& aStore,
                const ClaimOptions& aOptions,
                metrics::Registry& aMetrics,
                QObject* aParent);

  /** Asks for a key. Decided() follows by the request's deadline. */
  void Claim(const ClaimRequest& aRequest);

  /** Gives a granted key back: its request has not run and will not. */
  void Release(const ClaimRequest& aRequest);

  /** Keeps the answer of a granted key's request. */
  void Complete(const ClaimRequest& aRequest, const http::Response& aAnswer);

  /** Tells whether everything was written. */
  bool IsIdle() const { return updates_.empty() && waitingClaims_.empty() && !writeInFlight_; }

Q_SIGNALS:
  void Decided(const quetzal::claims::ClaimResult& aVerdict);

private:
  /** A change of a claim that this process holds. */
  struct Update
  {
    std::string storeKey_;
    std::string expectedValue_; ///< The value that must stand there.
    std::string newValue_;      ///< The value to put; empty to delete the key.
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
              ClaimDecision aAnswer,
              const http::Response& aReplay = {});

  platform::KeyValueStore& store_;
  ClaimOptions options_;
  metrics::Registry& metrics_;
  std::deque<ClaimRequest> waitingClaims_;
  std::vector<ClaimRequest> claimsInFlight_; ///< The claims whose write is under way.
  std::deque<Update> updates_;
  QTimer writeTimer_;
  QTimer deadlineTimer_;
  clock::Moment lastWriteAt_{};
  clock::Moment leaseGrantedAt_{};
  std::int64_t lease_ = 0;
  bool requestingLease_ = false;
  bool writeInFlight_ = false;
  bool lastWriteWasClaims_ = false;
  bool oneUpdatePerWrite_ = false; ///< A batch of updates failed: the next ones go one by one.
};

} // namespace quetzal::claims
