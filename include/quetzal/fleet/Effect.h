#pragma once

#include "include/quetzal/fleet/Wave.h"

namespace quetzal::fleet {

/** A change of one host's pool. */
struct Move
{
  std::string host_;
  std::string from_; ///< Empty where the host is new or was in no pool.
  std::string to_;   ///< Empty where the host is removed or in no pool afterwards.

  auto operator<=>(const Move&) const = default;
};

/** The effect of putting a document in force: the moves of hosts between pools, the spare capacity
 * and the time that a maintenance wave takes. */
struct Effect
{
  std::vector<Move> moves_;
  int bufferHosts_ = 0; ///< Hosts beyond the promised healthy hosts.
  int spareHosts_ = 0;  ///< Buffer hosts in spare pools.
  int waveBatches_ = 0; ///< Batches of a maintenance wave over every host.
  std::chrono::minutes waveTime_{ 0 };
  std::vector<Margin> margins_;
  std::vector<std::string> atRisk_;       ///< Services whose promise breaks if one rack fails.
  std::vector<std::string> blockedHosts_; ///< Hosts that no wave can stop within the promises.

  auto operator<=>(const Effect&) const = default;
};

/** Computes the effect of a document. @param aCurrent the document in force, or null. */
Effect
EffectOf(const document::Document* aCurrent, const document::Document& aNext);

/** Returns whether a document may be put in force without an operator's confirmation: no promise is
 * at risk and every host can be maintained. */
bool
IsSafe(const Effect& aEffect);

} // namespace quetzal::fleet
