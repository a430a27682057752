#include "include/quetzal/cells/WriteLanes.h"

#include <algorithm>

namespace quetzal::cells {
namespace {

constexpr int kLanes = 4;
/** A lane with this many waiting writes has a full change. */
constexpr std::size_t kFullBacklog = 10;

} // namespace

std::vector<std::string>
WriteChainKeys(const std::string& aCell)
{
  const std::string first = "quetzal/chain/" + aCell;
  std::vector<std::string> keys{ first };
  for (int lane = 1; lane <= kLanes; ++lane) {
    keys.push_back(first + "/" + std::to_string(lane));
  }
  return keys;
}

WriteLanes::WriteLanes(store::SharedStore& aStore,
                       const std::string& aCell,
                       const jobs::OwnerRecord& aSelf,
                       std::int64_t aRevision,
                       QObject* aParent)
  : QObject(aParent)
{
  jobs::OwnerRecord withoutRoster = aSelf;
  withoutRoster.roster_.clear();
  for (const std::string& key : WriteChainKeys(aCell)) {
    const bool hasRoster = rosterLane_ == nullptr;
    auto* writer = new CellWriter(aStore, key, hasRoster ? aSelf : withoutRoster, aRevision, this);
    connect(writer, &CellWriter::OwnershipLost, this, [this] {
      Abandon();
      Q_EMIT OwnershipLost();
    });
    if (hasRoster) {
      rosterLane_ = writer;
    } else {
      lanes_.push_back(writer);
    }
  }
}

CellWriter*
WriteLanes::ChooseLane() const
{
  const auto notFull = std::find_if(lanes_.begin(), lanes_.end(), [](const CellWriter* aLane) {
    return aLane->Backlog() < kFullBacklog;
  });
  if (notFull != lanes_.end()) {
    return *notFull;
  }
  return *std::min_element(lanes_.begin(), lanes_.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->Backlog() < aRight->Backlog();
  });
}

void
WriteLanes::Add(const std::string& aSubject, CellWrite aWrite, clock::Milliseconds aDelay)
{
  SubjectLane& lane = subjects_[aSubject];
  if (lane.unfinished_++ == 0) {
    lane.writer_ = ChooseLane();
  }
  CellWriter* writer = lane.writer_;
  aWrite.done_ = [this, aSubject, done = std::move(aWrite.done_)](const WriteResult& aResult) {
    OnFinished(aSubject);
    if (done) {
      done(aResult);
    }
  };
  writer->Add(std::move(aWrite), aDelay);
}

void
WriteLanes::OnFinished(const std::string& aSubject)
{
  const auto lane = subjects_.find(aSubject);
  if (lane != subjects_.end() && --lane->second.unfinished_ == 0) {
    subjects_.erase(lane);
  }
}

void
WriteLanes::SetRoster(std::vector<jobs::RosterEntry> aRoster,
                      clock::Milliseconds aDelay,
                      const std::function<void()>& aDone)
{
  rosterLane_->SetRoster(std::move(aRoster), aDelay, aDone);
}

void
WriteLanes::Abandon()
{
  rosterLane_->Abandon();
  for (CellWriter* lane : lanes_) {
    lane->Abandon();
  }
}

std::size_t
WriteLanes::Backlog() const
{
  std::size_t writes = rosterLane_->Backlog();
  for (const CellWriter* lane : lanes_) {
    writes += lane->Backlog();
  }
  return writes;
}

bool
WriteLanes::IsIdle() const
{
  return rosterLane_->IsIdle() && std::all_of(lanes_.begin(), lanes_.end(), [](const auto* aLane) {
           return aLane->IsIdle();
         });
}

bool
WriteLanes::IsStalled(clock::Moment aNow) const
{
  return rosterLane_->IsStalled(aNow) ||
         std::any_of(lanes_.begin(), lanes_.end(), [aNow](const CellWriter* aLane) {
           return aLane->IsStalled(aNow);
         });
}

} // namespace quetzal::cells
