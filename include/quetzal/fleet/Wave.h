#pragma once

#include "include/quetzal/document/Document.h"

#include <chrono>
#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

/** Which hosts serve what, and which of them may be taken out at once. */
namespace quetzal::fleet {

/** Hosts of the document that cannot serve now: failed, or not proven since their last reboot. */
using UnavailableHosts = std::set<std::string>;

/** How many more hosts of one service may stop before its promise is at risk. */
struct Margin
{
  std::string service_;
  int hosts_ = 0;     ///< Hosts of the service's pool.
  int healthy_ = 0;   ///< Those that serve now.
  int worstRack_ = 0; ///< Healthy hosts in the rack that would hurt most.
  int promised_ = 0;  ///< The document's min_healthy.

  /** Returns the healthy hosts beyond the promise after the worst rack has failed; below 0 the
   * promise is at risk already. */
  int Spare() const { return healthy_ - worstRack_ - promised_; }

  auto operator<=>(const Margin&) const = default;
};

/** Returns the margin of every service, in the document's order. */
std::vector<Margin>
MarginsOf(const document::Document& aDocument, const UnavailableHosts& aUnavailable);

/** Returns the next batch of a maintenance wave: the largest prefix-greedy choice among the hosts
 * still to maintain that leaves every service its promise even if any one rack then fails. Hosts of
 * one rack go together where they can. Empty where no host may stop now.
 * @param aPending the hosts that the wave has yet to maintain. */
std::vector<std::string>
NextBatch(const document::Document& aDocument,
          const UnavailableHosts& aUnavailable,
          const std::set<std::string>& aPending);

/** A whole wave over every host, as it would go if nothing failed. */
struct WavePlan
{
  std::vector<std::vector<std::string>> batches_;
  std::set<std::string> blockedHosts_; ///< Hosts that can never stop within the promises.

  auto operator<=>(const WavePlan&) const = default;
};

WavePlan
PlanWave(const document::Document& aDocument);

} // namespace quetzal::fleet
