#include "include/quetzal/node/OwnerChoice.h"

#include "include/quetzal/membership/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace quetzal::node {
namespace {

/** A host hands over a cell if its load is at least this many times that of another host. */
constexpr double kMinLoadRatio = 2;
/** The same for an overloaded host, whose hand-over does not wait until hosts have settled. */
constexpr double kOverloadRatio = 3;
/** Cells from which their owner counts as overloaded while no host stops. */
constexpr std::size_t kManyCells = 3;
/** Load per core from which an owner counts as overloaded, however few cells it has. */
constexpr double kOverloadPerCore = 1'000;
/** Hosts and cells have settled when nothing has changed about them for this time. */
constexpr clock::Milliseconds kSettleTime{ 5'000 };
/** Load of a cell with neither workers nor jobs. */
constexpr double kIdleCellLoad = 20;
/** Lower bound on a host's cores in load calculations. */
constexpr double kMinCores = 0.01;
/** How long the load must stay uneven before a cell is handed over. By then, a host knows which
 * hosts have just stopped or returned. */
constexpr clock::Milliseconds kBalanceDelay{ 1'000 };
/** Delay of a claim per rank: each host waits this much longer than the one ranked before it. */
constexpr clock::Milliseconds kClaimDelayPerRank{ 150 };

double
LoadPerCore(const OwnerCandidate& aHost, double aExtraLoad = 0)
{
  return (aHost.load_ + aExtraLoad) / std::max(aHost.cores_, kMinCores);
}

/** A possible move of one cell to another host. */
struct HandOver
{
  std::string cell_;
  double highestLoad_ = 0; ///< Load per core of the busier of the two hosts after the move.
  double cellLoad_ = 0;
};

bool
IsBetter(const HandOver& aLeft, const HandOver& aRight)
{
  return std::tie(aLeft.highestLoad_, aLeft.cellLoad_, aLeft.cell_) <
         std::tie(aRight.highestLoad_, aRight.cellLoad_, aRight.cell_);
}

HandOver
MakeHandOver(const OwnerCandidate& aOwner, const CellLoad& aCell, const OwnerCandidate& aTarget)
{
  const double remaining = LoadPerCore(aOwner, -aCell.load_);
  const double taken = LoadPerCore(aTarget, aCell.load_);
  return { aCell.cell_, std::max(remaining, taken), aCell.load_ };
}

/** Returns whether hosts stop in turn, so that a stop of any host is likely. */
bool
AreHostsStopping(const BalanceState& aState, clock::Moment aNow)
{
  return aNow - aState.lastStopAt_ < kSettleTime;
}

bool
IsSettled(const BalanceState& aState,
          const OwnedCellLoad& aCell,
          const OwnerCandidate& aTarget,
          clock::Moment aNow)
{
  const clock::Moment lastChange = std::max(aCell.ownedSince_, aTarget.upSince_);
  return !AreHostsStopping(aState, aNow) && aNow - lastChange >= kSettleTime;
}

/** Returns whether the owner's load exceeds the target's by enough to move a cell. */
bool
IsWorthwhile(const BalanceState& aState,
             const OwnedCellLoad& aCell,
             const OwnerCandidate& aTarget,
             clock::Moment aNow)
{
  const double ratio =
    LoadPerCore(aState.candidates_.at(aState.host_)) / LoadPerCore(aTarget, aCell.cell_.load_);
  if (IsSettled(aState, aCell, aTarget, aNow)) {
    return ratio >= kMinLoadRatio;
  }
  return IsOverloaded(aState, aNow) && ratio >= kOverloadRatio;
}

} // namespace

bool
IsClaimDue(const Vacancy& aVacancy, clock::Moment aNow)
{
  const clock::Moment firstClaimAt = aVacancy.hostStartedAt_ + kStartupClaimDelay;
  const clock::Moment vacantSince = std::max(aVacancy.vacantSince_, firstClaimAt);
  return aNow >= vacantSince + static_cast<int>(aVacancy.rank_) * kClaimDelayPerRank;
}

CellLoad
LoadOfCell(const std::string& aCell, std::size_t aWidth)
{
  return { aCell, kIdleCellLoad + static_cast<double>(aWidth) };
}

std::size_t
ClaimRank(const std::string& aHost, const CellLoad& aCell, const OwnerCandidates& aCandidates)
{
  std::vector<std::string> names;
  names.reserve(aCandidates.size());
  for (const auto& [name, candidate] : aCandidates) {
    names.push_back(name);
  }
  std::vector<std::string> ranked = membership::OwnersOf(aCell.cell_, names, names.size());
  const auto loadOf = [&](const std::string& aName) {
    return LoadPerCore(aCandidates.at(aName), aCell.load_);
  };
  std::stable_sort(ranked.begin(), ranked.end(), [&](const auto& aLeft, const auto& aRight) {
    return loadOf(aLeft) < loadOf(aRight);
  });
  const auto place = std::find(ranked.begin(), ranked.end(), aHost);
  return static_cast<std::size_t>(place - ranked.begin());
}

bool
IsOverloaded(const BalanceState& aState, clock::Moment aNow)
{
  const bool ownsMany = aState.cells_.size() >= kManyCells && !AreHostsStopping(aState, aNow);
  return ownsMany || LoadPerCore(aState.candidates_.at(aState.host_)) >= kOverloadPerCore;
}

std::optional<std::string>
CellToHandOver(const BalanceState& aState, clock::Moment aNow)
{
  const auto self = aState.candidates_.find(aState.host_);
  if (self == aState.candidates_.end() || aState.isAnyCellVacant_) {
    return std::nullopt;
  }
  std::optional<HandOver> best;
  for (const OwnedCellLoad& owned : aState.cells_) {
    for (const auto& [name, target] : aState.candidates_) {
      if (name == aState.host_ || !IsWorthwhile(aState, owned, target, aNow)) {
        continue;
      }
      const HandOver handOver = MakeHandOver(self->second, owned.cell_, target);
      if (!best || IsBetter(handOver, *best)) {
        best = handOver;
      }
    }
  }
  return best ? std::optional(best->cell_) : std::nullopt;
}

clock::Milliseconds
BalanceDelay(const BalanceState& aState)
{
  const double ownLoad = LoadPerCore(aState.candidates_.at(aState.host_));
  const auto busier =
    std::count_if(aState.candidates_.begin(), aState.candidates_.end(), [&](const auto& aOther) {
      const double load = LoadPerCore(aOther.second);
      return load > ownLoad || (load == ownLoad && aOther.first < aState.host_);
    });
  return (1 + static_cast<int>(busier)) * kBalanceDelay;
}

} // namespace quetzal::node
