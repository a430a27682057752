#include "tests/unit/PlayedDeployment.h"

#include <algorithm>

namespace quetzal::test {
namespace {

constexpr clock::Milliseconds kStep{ 60 };
constexpr double kLargeHostCores = 0.5;
/** The fleet's cell, which is never handed over to balance the load. */
const std::string kFleet = "@fleet";

} // namespace

void
PlayedDeployment::AddHost(const std::string& aName, double aCores)
{
  hosts_[aName] = { aCores, false, clock::Moment::max(), std::nullopt };
}

void
PlayedDeployment::AddCell(const std::string& aName, std::size_t aWidth)
{
  cells_[aName] = { aWidth, {}, now_, clock::Milliseconds(0) };
}

void
PlayedDeployment::Start(const std::string& aHost)
{
  hosts_.at(aHost).startsAt_ = now_;
}

void
PlayedDeployment::StartAll()
{
  for (const auto& [name, host] : hosts_) {
    if (!host.isUp_) {
      Start(name);
    }
  }
}

void
PlayedDeployment::Stop(const std::string& aHost, clock::Milliseconds aAway)
{
  Host& host = hosts_.at(aHost);
  host.isUp_ = false;
  host.startsAt_ = now_ + aAway;
  host.unevenSince_.reset();
  lastStopAt_ = now_;
  for (const std::string& cell : CellsOf(aHost)) {
    Release(cell);
  }
}

void
PlayedDeployment::StopInTurn(const std::vector<std::string>& aHosts,
                             std::size_t aGroup,
                             clock::Milliseconds aAway,
                             clock::Milliseconds aGap)
{
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    Stop(aHosts[i], aAway);
    if ((i + 1) % aGroup == 0 || i + 1 == aHosts.size()) {
      Run(aAway + aGap);
    }
  }
}

void
PlayedDeployment::Run(clock::Milliseconds aTime)
{
  for (const clock::Moment end = now_ + aTime; now_ < end;) {
    Step();
  }
}

void
PlayedDeployment::Step()
{
  now_ += kStep;
  for (auto& [name, host] : hosts_) {
    host.isUp_ = host.isUp_ || host.startsAt_ <= now_;
  }
  const node::OwnerCandidates candidates = Candidates();
  for (const auto& [name, host] : hosts_) {
    if (host.isUp_) {
      Balance(name, candidates);
    }
  }
  for (const auto& [name, host] : hosts_) {
    if (host.isUp_) {
      Claim(name, candidates);
    }
  }
  for (auto& [name, cell] : cells_) {
    if (!cell.owner_.empty() && hosts_.at(cell.owner_).cores_ < kLargeHostCores) {
      cell.timeOnSmallHosts_ += kStep;
    }
  }
}

void
PlayedDeployment::Claim(const std::string& aHost, node::OwnerCandidates aCandidates)
{
  for (auto& [name, cell] : cells_) {
    if (!cell.owner_.empty()) {
      continue;
    }
    const node::CellLoad load = node::LoadOfCell(name, cell.width_);
    const std::size_t rank = node::ClaimRank(aHost, load, aCandidates);
    if (node::IsClaimDue({ hosts_.at(aHost).startsAt_, cell.since_, rank }, now_)) {
      aCandidates.at(aHost).load_ += load.load_;
      cell.owner_ = aHost;
      cell.since_ = now_;
      ++changes_;
    }
  }
}

void
PlayedDeployment::Balance(const std::string& aHost, const node::OwnerCandidates& aCandidates)
{
  node::BalanceState state{ aHost, {}, aCandidates, lastStopAt_, IsAnyCellVacant() };
  for (const std::string& cell : CellsOf(aHost)) {
    if (cell != kFleet) {
      state.cells_.push_back(
        { node::LoadOfCell(cell, cells_.at(cell).width_), cells_.at(cell).since_ });
    }
  }
  const auto cell = node::CellToHandOver(state, now_);
  Host& host = hosts_.at(aHost);
  if (!cell) {
    host.unevenSince_.reset();
    return;
  }
  const clock::Moment since = host.unevenSince_.value_or(now_);
  host.unevenSince_ = since;
  if (now_ - since >= node::BalanceDelay(state)) {
    host.unevenSince_.reset();
    ++handOvers_;
    handOversWithoutOverload_ += node::IsOverloaded(state, now_) ? 0 : 1;
    Release(*cell);
  }
}

void
PlayedDeployment::Release(const std::string& aCell)
{
  cells_.at(aCell).owner_.clear();
  cells_.at(aCell).since_ = now_;
}

std::set<std::string>
PlayedDeployment::CellsOf(const std::string& aHost) const
{
  std::set<std::string> owned;
  for (const auto& [name, cell] : cells_) {
    if (cell.owner_ == aHost) {
      owned.insert(name);
    }
  }
  return owned;
}

bool
PlayedDeployment::IsAnyCellVacant() const
{
  return std::any_of(
    cells_.begin(), cells_.end(), [](const auto& aEntry) { return aEntry.second.owner_.empty(); });
}

node::OwnerCandidates
PlayedDeployment::Candidates() const
{
  node::OwnerCandidates candidates;
  for (const auto& [name, host] : hosts_) {
    if (host.isUp_) {
      candidates[name] = { host.cores_, 0, host.startsAt_ };
    }
  }
  for (const auto& [name, cell] : cells_) {
    if (!cell.owner_.empty()) {
      candidates.at(cell.owner_).load_ += node::LoadOfCell(name, cell.width_).load_;
    }
  }
  return candidates;
}

} // namespace quetzal::test
