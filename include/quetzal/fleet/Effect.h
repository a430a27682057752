#pragma once

#include "include/quetzal/fleet/Wave.h"

namespace quetzal::fleet {

/** One host that changes its pool. */
struct Move
{
  std::string host_;
  std::string from_; ///< Empty: the host is new.
  std::string to_;   ///< Empty: the host goes.

  auto operator<=>(const Move&) const = default;
};

/** What a document costs, and what putting it in force would do. */
struct Effect
{
  std::vector<Move> moves_;
  int bufferHosts_ = 0; ///< Hosts beyond the promised healthy ones.
  int spareHosts_ = 0;  ///< Those of them in spare pools.
  int waveBatches_ = 0; ///< Batches of a whole maintenance wave.
  std::chrono::minutes waveTime_{ 0 };
  std::vector<Margin> margins_;
  std::vector<std::string> atRisk_;       ///< Services whose promise fails with one rack.
  std::vector<std::string> blockedHosts_; ///< Hosts that no wave can maintain.

  auto operator<=>(const Effect&) const = default;
};

/** Computes the effect of a document. @param aCurrent the document in force, or null. */
Effect
EffectOf(const document::Document* aCurrent, const document::Document& aNext);

/** Tells whether a document may be put in force without an operator's word: no promise is at risk
 * and every host can be maintained. */
bool
IsSafe(const Effect& aEffect);

} // namespace quetzal::fleet
