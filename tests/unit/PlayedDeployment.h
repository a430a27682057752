#pragma once

#include "include/quetzal/node/OwnerChoice.h"

#include <set>

namespace quetzal::test {

/** Entry hosts that stop and return while they own cells, on a clock of its own: each host sees
 * every change at once and decides as NodeProcess does, by the functions of node/OwnerChoice. */
class PlayedDeployment
{
public:
  void AddHost(const std::string& aName, double aCores);
  void AddCell(const std::string& aName, std::size_t aWidth);

  void Start(const std::string& aHost);
  /** Starts every host that is down, at the same time. */
  void StartAll();
  /** Stops a host: its cells are released, and it starts again once it has been away. */
  void Stop(const std::string& aHost, clock::Milliseconds aAway);
  /** Stops all hosts in groups, each once the one before it has returned. */
  void StopInTurn(const std::vector<std::string>& aHosts,
                  std::size_t aGroup,
                  clock::Milliseconds aAway,
                  clock::Milliseconds aGap);
  void Run(clock::Milliseconds aTime);

  /** Returns how often any cell has got an owner. */
  int Changes() const { return changes_; }
  /** Returns how often a host has handed over a cell to balance the load. */
  int HandOvers() const { return handOvers_; }
  /** Returns how many of these were begun by a host that was not overloaded. */
  int HandOversWithoutOverload() const { return handOversWithoutOverload_; }
  /** Returns the cells that a host owns. */
  std::set<std::string> CellsOf(const std::string& aHost) const;
  const std::string& OwnerOf(const std::string& aCell) const { return cells_.at(aCell).owner_; }
  double CoresOf(const std::string& aHost) const { return hosts_.at(aHost).cores_; }
  /** Returns for how long a cell's owner was a small host. */
  clock::Milliseconds TimeOnSmallHosts(const std::string& aCell) const
  {
    return cells_.at(aCell).timeOnSmallHosts_;
  }

private:
  struct Host
  {
    double cores_ = 1;
    bool isUp_ = false;
    clock::Moment startsAt_{}; ///< When it starts, or has started.
    std::optional<clock::Moment> unevenSince_;
  };

  struct CellState
  {
    std::size_t width_ = 0;
    std::string owner_; ///< Empty: none.
    clock::Moment since_{};
    clock::Milliseconds timeOnSmallHosts_{ 0 };
  };

  void Step();
  void Claim(const std::string& aHost, node::OwnerCandidates aCandidates);
  void Balance(const std::string& aHost, const node::OwnerCandidates& aCandidates);
  bool IsAnyCellVacant() const;
  void Release(const std::string& aCell);
  node::OwnerCandidates Candidates() const;

  std::map<std::string, Host> hosts_;
  std::map<std::string, CellState> cells_;
  clock::Moment now_ = clock::Moment() + std::chrono::hours(1);
  clock::Moment lastStopAt_{};
  int changes_ = 0;
  int handOvers_ = 0;
  int handOversWithoutOverload_ = 0;
};

} // namespace quetzal::test
