#pragma once

#include "include/quetzal/document/Document.h"

#include <chrono>
#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

/** Planning of maintenance waves and of the distribution of hosts among pools. */
namespace quetzal::fleet {

/** The document's hosts that cannot serve now, because they have failed or have not passed a health
 * check since their last reboot. */
using UnavailableHosts = std::set<std::string>;

/** The hosts that one service can lose before its promise is at risk. */
struct Margin
{
  std::string service_;
  int hosts_ = 0;     ///< Hosts of the service's pool.
  int healthy_ = 0;   ///< Hosts that serve now.
  int worstRack_ = 0; ///< Healthy hosts in the rack that has the most of them.
  int promised_ = 0;  ///< The document's min_healthy.

  /** Returns how many healthy hosts beyond the promise would be left if the worst rack failed. A
   * negative value means that the promise is at risk. */
  int Spare() const { return healthy_ - worstRack_ - promised_; }

  auto operator<=>(const Margin&) const = default;
};

/** Returns the margin of every service, in the document's order. */
std::vector<Margin>
MarginsOf(const document::Document& aDocument, const UnavailableHosts& aUnavailable);

/** Returns the next batch of a maintenance wave, chosen greedily in rack order: every service keeps
 * its promise even if any one rack fails while the batch is down. Hosts of one rack are batched
 * together where possible. The batch is empty where no host may stop now.
 * @param aPending the hosts that the wave has yet to maintain. */
std::vector<std::string>
NextBatch(const document::Document& aDocument,
          const UnavailableHosts& aUnavailable,
          const std::set<std::string>& aPending);

/** The plan of a maintenance wave over every host. It assumes that no host fails meanwhile. */
struct WavePlan
{
  std::vector<std::vector<std::string>> batches_;
  std::set<std::string> blockedHosts_; ///< Hosts that cannot stop without breaking a promise.

  auto operator<=>(const WavePlan&) const = default;
};

WavePlan
PlanWave(const document::Document& aDocument);

} // namespace quetzal::fleet
