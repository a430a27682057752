#pragma once

#include "include/quetzal/cells/CellWriter.h"

#include <map>
#include <vector>

namespace quetzal::cells {

/** Returns the keys of a cell's write chains. The first one also holds the roster. Whoever claims
 * the cell writes all of them in one change, after which no write of an earlier owner succeeds. */
std::vector<std::string>
WriteChainKeys(const std::string& aCell);

/** Writes a cell's state to the store over several write chains. One chain has one change in flight
 * at a time; while the store answers slowly, that alone would bound how many jobs a cell accepts.
 * Further chains are used only once the ones before them have a full change waiting, so that a fast
 * store gets as few changes as with one chain. Writes about the same subject keep their order. */
class WriteChains : public QObject
{
  Q_OBJECT

public:
  /** @param aRevision of the change that claimed the cell. */
  WriteChains(store::SharedStore& aStore,
              const std::string& aCell,
              const jobs::OwnerRecord& aSelf,
              std::int64_t aRevision,
              QObject* aParent);

  /** Stores a write after at most a delay. @param aSubject the id of the job that it is about. */
  void Add(const std::string& aSubject, CellWrite aWrite, clock::Milliseconds aDelay);

  /** Replaces the roster. See CellWriter::SetRoster. */
  void SetRoster(std::vector<jobs::RosterEntry> aRoster,
                 clock::Milliseconds aDelay,
                 const std::function<void()>& aDone);

  /** Returns the revision of the last roster that is known to be stored, or of the claim. */
  std::int64_t RosterRevision() const { return rosterChain_->Revision(); }

  /** Stops writing. Every write that is pending or in flight ends with kOwnershipLost. */
  void Abandon();

  /** Returns the number of writes that wait for a change in flight. */
  std::size_t Backlog() const;

  /** Returns whether a write about a subject is pending or in flight. */
  bool HasUnfinished(const std::string& aSubject) const { return subjects_.contains(aSubject); }

  bool IsIdle() const;

  /** Returns whether the store refuses changes or is late to answer one. */
  bool IsStalled(clock::Moment aNow) const;

Q_SIGNALS:
  /** The cell has another owner. Nothing more will be written. */
  void OwnershipLost();

private:
  /** The unfinished writes about one subject, and the chain that carries them. */
  struct SubjectChain
  {
    CellWriter* writer_ = nullptr;
    int unfinished_ = 0;
  };

  CellWriter* ChooseChain() const;
  void OnFinished(const std::string& aSubject);

  CellWriter* rosterChain_ = nullptr;
  std::vector<CellWriter*> jobChains_; ///< In the order in which they are filled.
  std::map<std::string, SubjectChain> subjects_;
};

} // namespace quetzal::cells
