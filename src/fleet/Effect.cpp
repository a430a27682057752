#include "include/quetzal/fleet/Effect.h"

#include <algorithm>

namespace quetzal::fleet {
namespace {

using document::Document;
using document::Pool;

/** Time to drain, reboot and health-check one batch. */
constexpr std::chrono::minutes kBatchTime{ 10 };

std::map<std::string, std::string>
PoolsByHost(const Document& aDocument)
{
  std::map<std::string, std::string> pools;
  for (const document::Host& host : aDocument.hosts_) {
    pools[host.name_];
  }
  for (const Pool& pool : aDocument.pools_) {
    for (const std::string& host : pool.hosts_) {
      pools[host] = pool.name_;
    }
  }
  return pools;
}

std::vector<Move>
MovesBetween(const Document& aCurrent, const Document& aNext)
{
  const auto before = PoolsByHost(aCurrent);
  const auto after = PoolsByHost(aNext);
  std::vector<Move> moves;
  for (const auto& [host, pool] : after) {
    const auto old = before.find(host);
    const std::string from = old == before.end() ? std::string() : old->second;
    if (from != pool) {
      moves.push_back({ host, from, pool });
    }
  }
  for (const auto& [host, pool] : before) {
    if (!after.contains(host) && !pool.empty()) {
      moves.push_back({ host, pool, {} });
    }
  }
  return moves;
}

/** Returns how many hosts a pool has beyond the largest promise of its services. */
int
BufferOf(const Pool& aPool, const Document& aDocument, const std::vector<Margin>& aMargins)
{
  int spare = static_cast<int>(aPool.hosts_.size());
  for (std::size_t i = 0; i < aMargins.size(); ++i) {
    if (aDocument.services_[i].pool_ == aPool.name_) {
      spare = std::min(spare, aMargins[i].hosts_ - aMargins[i].promised_);
    }
  }
  return std::max(spare, 0);
}

} // namespace

Effect
EffectOf(const Document* aCurrent, const Document& aNext)
{
  Effect effect;
  effect.moves_ = MovesBetween(aCurrent != nullptr ? *aCurrent : Document{}, aNext);
  effect.margins_ = MarginsOf(aNext, {});
  for (const Pool& pool : aNext.pools_) {
    const int buffer = BufferOf(pool, aNext, effect.margins_);
    effect.bufferHosts_ += buffer;
    effect.spareHosts_ += pool.spare_ ? buffer : 0;
  }
  for (const Margin& margin : effect.margins_) {
    if (margin.Spare() < 0) {
      effect.atRisk_.push_back(margin.service_);
    }
  }
  const WavePlan wave = PlanWave(aNext);
  effect.waveBatches_ = static_cast<int>(wave.batches_.size());
  effect.waveTime_ = kBatchTime * effect.waveBatches_;
  effect.blockedHosts_.assign(wave.blockedHosts_.begin(), wave.blockedHosts_.end());
  return effect;
}

bool
IsSafe(const Effect& aEffect)
{
  return aEffect.atRisk_.empty() && aEffect.blockedHosts_.empty();
}

} // namespace quetzal::fleet
