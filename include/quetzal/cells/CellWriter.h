#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/jobs/Records.h"
#include "include/quetzal/store/SharedStore.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <deque>

/** Cells: each owns the jobs and workers of one service. */
namespace quetzal::cells {

enum class WriteOutcome : std::uint8_t
{
  kStored,
  kConflict,      ///< A key that must not exist exists.
  kRefused,       ///< The store refused the write; it is not stored and will not be.
  kOwnershipLost, ///< The cell has another owner; the write's outcome is unknown.
};

struct WriteResult
{
  WriteOutcome outcome_ = WriteOutcome::kOwnershipLost;
  std::string existing_; ///< With kConflict: the key's value.
};

/** Puts and removals that are stored together: a write is never split over two changes. */
struct CellWrite
{
  std::string mustBeAbsent_; ///< A key that must not exist; if empty, the write has no condition.
  std::vector<store::Write> puts_;
  std::vector<std::string> removes_;
  bool mayBeRefused_ = false; ///< Whether a refusal is final; otherwise the write is retried.
  std::function<void(const WriteResult&)> done_;
};

/** Writes a cell's state to the store. Several writes go into one change, and one change is in
 * flight at a time. Each change expects the revision that the one before it gave the write chain's
 * key. A change whose answer was lost therefore cannot be applied late or twice, and none is
 * applied once the cell has another owner. */
class CellWriter : public QObject
{
  Q_OBJECT

public:
  /** @param aChainKey the key of the write chain; @param aRevision its revision. */
  CellWriter(store::SharedStore& aStore,
             std::string aChainKey,
             jobs::OwnerRecord aSelf,
             std::int64_t aRevision,
             QObject* aParent);

  /** Stores a write after at most a delay, or once the change in flight is answered. */
  void Add(CellWrite aWrite, clock::Milliseconds aDelay);

  /** Replaces the roster, whose workers a successor must poll. The callback is called once the
   * roster is stored. */
  void SetRoster(std::vector<jobs::RosterEntry> aRoster,
                 clock::Milliseconds aDelay,
                 const std::function<void()>& aDone);

  /** Stops writing. Every write that is pending or in flight ends with kOwnershipLost. */
  void Abandon();

  /** Returns the revision of the last change that is known to be stored. A later owner's claim has
   * a higher one. */
  std::int64_t Revision() const { return chainRevision_; }

  /** Returns the number of writes that wait for the change in flight. */
  std::size_t Backlog() const { return pending_.size(); }

  bool IsIdle() const { return pending_.empty() && !inFlight_; }

  /** Returns whether the store refuses changes or is late to answer the change in flight. */
  bool IsStalled(clock::Moment aNow) const;

Q_SIGNALS:
  /** The cell has another owner. Nothing more will be written. */
  void OwnershipLost();

private:
  void Flush();
  void Send();
  void OnResult(const store::CommitResult& aResult);
  void OnStored(std::int64_t aRevision);
  void OnConflict(const store::CommitResult& aResult);
  void OnRefused();
  void OnOwnershipLost();
  void ScheduleNext();

  store::SharedStore& store_;
  std::string chainKey_;
  jobs::OwnerRecord self_;
  std::int64_t chainRevision_;
  std::deque<CellWrite> pending_;
  std::vector<CellWrite> batch_;
  store::Transaction change_;
  bool inFlight_ = false;
  bool outcomeUnknown_ = false; ///< An earlier attempt at the change in flight got no answer.
  bool ownershipLost_ = false;
  clock::Moment refusedAt_{};
  clock::Moment firstSentAt_{};
  QTimer timer_;
  clock::Moment dueAt_{};
};

} // namespace quetzal::cells
