#pragma once

#include "include/quetzal/organisations/ArrivalRate.h"

namespace quetzal::node {

/** How long the store keeps a tombstone at most. */
inline constexpr clock::Milliseconds kTombstoneTerm{ 240'000 };

/** Tombstones that one entry host may store within kTombstoneTerm. Each host that claims a cell
 * reads them all, so a crowd of cancels of jobs that do not exist must not add many. */
inline constexpr double kMaxTombstones = 500;

/** The part of them that one organisation may store. */
inline constexpr double kMaxTombstonesOfOrganisation = 125;

/** Which tombstones may be stored now. Each bucket refills within kTombstoneTerm, so at most twice
 * its size exists at any time. */
struct TombstoneBudget
{
  organisations::RateBucket all_{ kMaxTombstones, {} };
  /** By organisation; a missing one is full. */
  std::map<std::string, organisations::RateBucket> organisations_;

  auto operator<=>(const TombstoneBudget&) const = default;
};

/** Takes one tombstone from the budget. @param aOrganisation the caller's; empty if the deployment
 * has no organisations, so that all callers share one budget. @return false if it may not be
 * stored; nothing is taken then. */
bool
TakeTombstone(TombstoneBudget& aBudget, const std::string& aOrganisation, clock::Moment aNow);

} // namespace quetzal::node
