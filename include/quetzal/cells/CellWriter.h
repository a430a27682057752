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
  kConflict,      ///< The key that must not exist does exist.
  kRefused,       ///< The store would not take it now; it is not stored and will not be.
  kOwnershipLost, ///< The cell has another owner; whether it was stored is unknown.
};

struct WriteResult
{
  WriteOutcome outcome_ = WriteOutcome::kOwnershipLost;
  std::string existing_; ///< After kConflict: the value that the key has.
};

/** What is to be stored as one: it never spans two changes. */
struct CellWrite
{
  std::string mustBeAbsent_; ///< A key that must not exist; empty: no condition.
  std::vector<store::Write> puts_;
  std::vector<std::string> removes_;
  bool mayBeRefused_ =
    false; ///< Given up where the store refuses; otherwise tried until it is stored.
  std::function<void(const WriteResult&)> done_;
};

/** Writes a cell's state, several writes to a change, one change after another. Every change
 * expects the one before it, so that a change whose answer was lost can neither happen late nor
 * twice, and none happens once the cell has another owner. */
class CellWriter : public QObject
{
  Q_OBJECT

public:
  /** @param aKey the key that links the changes; @param aRevision its revision. */
  CellWriter(store::SharedStore& aStore,
             std::string aKey,
             jobs::OwnerRecord aSelf,
             std::int64_t aRevision,
             QObject* aParent);

  /** Stores something within a delay, or as soon as the store answers. */
  void Add(CellWrite aWrite, clock::Milliseconds aDelay);

  /** Replaces the workers that a successor must ask; in force once the callback comes. */
  void SetRoster(std::vector<jobs::RosterEntry> aRoster,
                 clock::Milliseconds aDelay,
                 const std::function<void()>& aDone);

  /** Writes nothing any more; whoever waits learns that the outcome is not known. */
  void Abandon();

  /** Returns the writes that wait for the change in hand. */
  std::size_t Backlog() const { return pending_.size(); }

  bool IsIdle() const { return pending_.empty() && !inFlight_; }

  /** Tells whether the store refuses changes, or has not answered the one in hand for a while. */
  bool IsStalled(clock::Moment aNow) const;

Q_SIGNALS:
  /** The cell has another owner. Nothing will be written any more. */
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
  bool outcomeUnknown_ = false; ///< An earlier try of the change in hand got no answer.
  bool ownershipLost_ = false;
  clock::Moment refusedAt_{};
  clock::Moment firstSentAt_{};
  QTimer timer_;
  clock::Moment dueAt_{};
};

} // namespace quetzal::cells
