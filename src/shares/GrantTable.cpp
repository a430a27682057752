#include "include/quetzal/shares/GrantTable.h"

#include <algorithm>
#include <numeric>

namespace quetzal::shares {
namespace {

/** Returns the slots that holders other than the given one may be using. */
int
OutstandingOfOthers(const GrantTable& aTable, const std::string& aHolder)
{
  int sum = 0;
  for (const auto& [holder, state] : aTable.holders_) {
    sum += holder == aHolder ? 0 : state.outstanding_;
  }
  return sum;
}

void
RemoveExpired(GrantTable& aTable, clock::Moment aNow)
{
  std::erase_if(aTable.holders_,
                [aNow](const auto& aItem) { return aItem.second.freeAt_ <= aNow; });
}

/** Returns the fair share of one holder among all known holders. */
int
FairShareOf(const GrantTable& aTable, const std::string& aHolder)
{
  std::vector<int> wanted;
  std::size_t index = 0;
  for (const auto& [holder, state] : aTable.holders_) {
    if (holder == aHolder) {
      index = wanted.size();
    }
    wanted.push_back(state.wanted_);
  }
  return FairShares(aTable.slots_, wanted).at(index);
}

} // namespace

std::vector<int>
FairShares(int aSlots, const std::vector<int>& aWanted)
{
  std::vector<int> shares(aWanted.size(), 0);
  int left = aSlots;
  bool anyGrew = true;
  while (left > 0 && anyGrew) {
    anyGrew = false;
    for (std::size_t i = 0; i < shares.size() && left > 0; ++i) {
      if (shares[i] < aWanted[i]) {
        ++shares[i];
        --left;
        anyGrew = true;
      }
    }
  }
  return shares;
}

int
Grant(GrantTable& aTable,
      const std::string& aHolder,
      const ShareReport& aReport,
      const ShareTerms& aTerms,
      clock::Moment aNow)
{
  RemoveExpired(aTable, aNow);
  HolderState& state = aTable.holders_[aHolder];
  // The report replaces what earlier answers may have granted to the holder.
  state.outstanding_ = std::max(aReport.held_, aReport.inUse_);
  state.wanted_ = std::max(aReport.wanted_, aReport.inUse_);
  const int free = std::max(0, aTable.slots_ - OutstandingOfOthers(aTable, aHolder));
  // The share may have fewer slots than the holder uses: the holder then starts no request until
  // enough of its requests have ended.
  int granted = std::min(FairShareOf(aTable, aHolder), free);
  if (aNow < aTable.frozenUntil_) {
    granted = std::min(granted, state.outstanding_);
  }
  // The answer may be late or lost: until the next report, the old or the new share may be in use.
  state.outstanding_ = std::max(state.outstanding_, granted);
  state.freeAt_ = aNow + aTerms.term_ + aTerms.maxRequestTime_;
  return granted;
}

} // namespace quetzal::shares
