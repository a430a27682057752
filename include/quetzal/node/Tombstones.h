#pragma once

#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/node/TombstoneBudget.h"
#include "include/quetzal/store/SharedStore.h"

#include <QtCore/QObject>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzal::node {

enum class TombstoneOutcome : std::uint8_t
{
  kStored,    ///< No submission of the job will be accepted for kMinTombstoneLifetime.
  kJobExists, ///< The store holds the job's record.
  kForbidden, ///< Another organisation has cancelled a job with this id.
  kRefused,   ///< Nothing was stored: the store or the budget does not allow it.
  kUnknown,   ///< The tombstone may have been stored, or may still be.
};

/** Returns the outcome's name in logs, such as "stored". */
const char*
ToString(TombstoneOutcome aOutcome);

struct TombstoneResult
{
  TombstoneOutcome outcome_ = TombstoneOutcome::kUnknown;
  std::string record_; ///< With kJobExists: the stored bytes.
};

using TombstoneCallback = std::function<void(const TombstoneResult&)>;

/** How long a tombstone lasts at least after its cancel was answered. It must outlast each
 * submission that is on its way then: callers wait 30 s at most, and a host that was paused may
 * send late. */
inline constexpr clock::Milliseconds kMinTombstoneLifetime{ 120'000 };

/** Stores tombstones, so that a submission that is still on its way when its cancel is answered is
 * not accepted after that. The store decides which of the two comes first, whichever hosts carry
 * them: both require that the job's key is absent. Tombstones are removed by the store, as the
 * lease that they are attached to ends. */
class Tombstones : public QObject
{
  Q_OBJECT

public:
  Tombstones(store::SharedStore& aStore, metrics::Registry& aMetrics, QObject* aParent);

  /** Stores the tombstone of a job unless the store holds the job. An existing tombstone is
   * renewed. @param aOrganisation the caller's; see organisations::MayAccess. */
  void Store(const std::string& aJob, const std::string& aOrganisation, TombstoneCallback aDone);

private:
  struct Request
  {
    std::string job_;
    std::string organisation_;
    TombstoneCallback done_;
    std::int64_t expectedRevision_ = 0; ///< Of an existing tombstone; 0: the key must be absent.
    int commits_ = 0;
    bool isDoubtful_ = false; ///< A commit had no answer.
  };

  struct Lease
  {
    std::int64_t id_ = 0;
    clock::Moment endsAt_{};
  };

  bool MayUseLease() const;
  void CommitOrWait(Request aRequest);
  void Commit(Request aRequest);
  void OnCommitted(Request aRequest, const Lease& aLease, const store::CommitResult& aResult);
  void OnConflict(Request aRequest, const store::CommitResult& aResult);
  void RequestLease();
  void OnLease(clock::Moment aSentAt, const store::LeaseResult& aResult);
  void Finish(const Request& aRequest, const TombstoneResult& aResult);

  store::SharedStore& store_;
  metrics::Registry& metrics_;
  TombstoneBudget budget_;
  std::optional<Lease> lease_;
  bool requestingLease_ = false;
  std::vector<Request> waiting_; ///< For a lease.
  std::size_t unfinished_ = 0;
};

} // namespace quetzal::node
