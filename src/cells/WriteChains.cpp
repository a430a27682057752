#include "include/quetzal/cells/WriteChains.h"

#include <algorithm>

namespace quetzal::cells {
namespace {

constexpr int kJobChains = 4;
/** A chain with this many waiting writes has a full change. */
constexpr std::size_t kFullBacklog = 10;

} // namespace

std::vector<std::string>
WriteChainKeys(const std::string& aCell)
{
  const std::string first = "quetzal/chain/" + aCell;
  std::vector<std::string> keys{ first };
  for (int number = 1; number <= kJobChains; ++number) {
    keys.push_back(first + "/" + std::to_string(number));
  }
  return keys;
}

WriteChains::WriteChains(store::SharedStore& aStore,
                         const std::string& aCell,
                         const jobs::OwnerRecord& aSelf,
                         std::int64_t aRevision,
                         QObject* aParent)
  : QObject(aParent)
{
  jobs::OwnerRecord withoutRoster = aSelf;
  withoutRoster.roster_.clear();
  for (const std::string& key : WriteChainKeys(aCell)) {
    const bool hasRoster = rosterChain_ == nullptr;
    auto* writer = new CellWriter(aStore, key, hasRoster ? aSelf : withoutRoster, aRevision, this);
    connect(writer, &CellWriter::OwnershipLost, this, [this] {
      Abandon();
      Q_EMIT OwnershipLost();
    });
    if (hasRoster) {
      rosterChain_ = writer;
    } else {
      jobChains_.push_back(writer);
    }
  }
}

CellWriter*
WriteChains::ChooseChain() const
{
  const auto notFull =
    std::find_if(jobChains_.begin(), jobChains_.end(), [](const CellWriter* aChain) {
      return aChain->Backlog() < kFullBacklog;
    });
  if (notFull != jobChains_.end()) {
    return *notFull;
  }
  return *std::min_element(
    jobChains_.begin(), jobChains_.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->Backlog() < aRight->Backlog();
    });
}

void
WriteChains::Add(const std::string& aSubject, CellWrite aWrite, clock::Milliseconds aDelay)
{
  SubjectChain& subject = subjects_[aSubject];
  if (subject.unfinished_++ == 0) {
    subject.writer_ = ChooseChain();
  }
  CellWriter* writer = subject.writer_;
  aWrite.done_ = [this, aSubject, done = std::move(aWrite.done_)](const WriteResult& aResult) {
    OnFinished(aSubject);
    if (done) {
      done(aResult);
    }
  };
  writer->Add(std::move(aWrite), aDelay);
}

void
WriteChains::OnFinished(const std::string& aSubject)
{
  const auto subject = subjects_.find(aSubject);
  if (subject != subjects_.end() && --subject->second.unfinished_ == 0) {
    subjects_.erase(subject);
  }
}

void
WriteChains::SetRoster(std::vector<jobs::RosterEntry> aRoster,
                       clock::Milliseconds aDelay,
                       const std::function<void()>& aDone)
{
  rosterChain_->SetRoster(std::move(aRoster), aDelay, aDone);
}

void
WriteChains::Abandon()
{
  rosterChain_->Abandon();
  for (CellWriter* chain : jobChains_) {
    chain->Abandon();
  }
}

std::size_t
WriteChains::Backlog() const
{
  std::size_t writes = rosterChain_->Backlog();
  for (const CellWriter* chain : jobChains_) {
    writes += chain->Backlog();
  }
  return writes;
}

bool
WriteChains::IsIdle() const
{
  return rosterChain_->IsIdle() && std::all_of(jobChains_.begin(),
                                               jobChains_.end(),
                                               [](const auto* aChain) { return aChain->IsIdle(); });
}

bool
WriteChains::IsStalled(clock::Moment aNow) const
{
  return rosterChain_->IsStalled(aNow) ||
         std::any_of(jobChains_.begin(), jobChains_.end(), [aNow](const CellWriter* aChain) {
           return aChain->IsStalled(aNow);
         });
}

} // namespace quetzal::cells
