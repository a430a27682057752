#include "include/quetzal/node/CellClaim.h"

#include "include/quetzal/jobs/RecordCell.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <algorithm>
#include <iterator>

namespace quetzal::node {
namespace {

constexpr clock::Milliseconds kReadRetryDelay{ 100 };
/** Failed reads after which the claim fails and another host may claim the cell. */
constexpr int kMaxReadAttempts = 30;

/** Returns the job records of a cell, and those that name no cell at all. */
std::vector<store::KeyValue>
JobsOf(const std::string& aCell, const std::vector<store::KeyValue>& aRecords)
{
  std::vector<store::KeyValue> jobs;
  std::copy_if(
    aRecords.begin(), aRecords.end(), std::back_inserter(jobs), [&aCell](const auto& aRecord) {
      return jobs::CellOf(aRecord.value_).value_or(aCell) == aCell;
    });
  return jobs;
}

} // namespace

CellClaim::CellClaim(store::SharedStore& aStore,
                     std::string aCell,
                     jobs::OwnerRecord aSelf,
                     std::int64_t aLease,
                     std::int64_t aExpected,
                     QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , cell_(std::move(aCell))
  , self_(std::move(aSelf))
  , lease_(aLease)
  , expectedRevision_(aExpected)
{
}

void
CellClaim::Start()
{
  ReadChain();
}

void
CellClaim::ReadChain()
{
  const QPointer<CellClaim> self(this);
  store_.Get(cells::WriteChainKeys(cell_).front(), [self](const store::ReadResult& aResult) {
    if (!self) {
      return;
    }
    if (aResult.status_ != store::Status::kSucceeded) {
      Q_EMIT self->Failed();
      return;
    }
    jobs::OwnerRecord previous;
    std::int64_t revision = 0;
    if (!aResult.items_.empty()) {
      revision = aResult.items_.front().modRevision_;
      jobs::Decode(aResult.items_.front().value_, previous);
    }
    self->claimed_.predecessorState_.roster_ = previous.roster_;
    self->self_.roster_ = previous.roster_;
    self->claimed_.previousOwner_ = previous.owner_;
    self->claimed_.chainRevisionBefore_ = revision;
    self->Commit(revision);
  });
}

void
CellClaim::Commit(std::int64_t aChainRevision)
{
  jobs::OwnerRecord ownerRecord = self_;
  ownerRecord.roster_.clear();
  store::Transaction change;
  change.expected_.push_back({ CellKey(cell_), expectedRevision_ });
  const std::vector<std::string> chains = cells::WriteChainKeys(cell_);
  change.expected_.push_back({ chains.front(), aChainRevision });
  change.puts_.push_back({ CellKey(cell_), jobs::Encode(ownerRecord), lease_ });
  for (const std::string& chain : chains) {
    const bool hasRoster = chain == chains.front();
    change.puts_.push_back({ chain, jobs::Encode(hasRoster ? self_ : ownerRecord), 0 });
  }
  sent_ = true;
  const QPointer<CellClaim> self(this);
  store_.Commit(change, [self](const store::CommitResult& aResult) {
    if (!self) {
      return;
    }
    if (aResult.status_ != store::Status::kSucceeded) {
      log::Info("claim",
                "event=claim-failed cell=",
                self->cell_,
                " status=",
                store::ToString(aResult.status_));
      Q_EMIT self->Failed();
      return;
    }
    self->claimed_.fence_ = aResult.revision_;
    self->claimed_.keyRevision_ = aResult.revision_;
    if (self->cell_ == kFleetCell) {
      Q_EMIT self->Won(self->claimed_); // The fleet has no jobs.
      return;
    }
    self->ReadJobs();
  });
}

void
CellClaim::ReadJobs()
{
  const QPointer<CellClaim> self(this);
  store::ListAll(store_, cells::kJobPrefix, [self](const store::ReadResult& aResult) {
    if (!self) {
      return;
    }
    if (aResult.status_ == store::Status::kSucceeded) {
      self->claimed_.predecessorState_.jobs_ = JobsOf(self->cell_, aResult.items_);
      self->ReadProgress();
      return;
    }
    if (++self->attempts_ > kMaxReadAttempts) {
      Q_EMIT self->Failed();
      return;
    }
    QTimer::singleShot(kReadRetryDelay, self, &CellClaim::ReadJobs);
  });
}

void
CellClaim::ReadProgress()
{
  const QPointer<CellClaim> self(this);
  store::ListAll(store_, cells::ProgressPrefix(cell_), [self](const store::ReadResult& aResult) {
    if (!self) {
      return;
    }
    if (aResult.status_ == store::Status::kSucceeded) {
      self->claimed_.predecessorState_.progress_ = aResult.items_;
      Q_EMIT self->Won(self->claimed_);
      return;
    }
    if (++self->attempts_ > kMaxReadAttempts) {
      Q_EMIT self->Failed();
      return;
    }
    QTimer::singleShot(kReadRetryDelay, self, &CellClaim::ReadProgress);
  });
}

} // namespace quetzal::node
