#include "include/quetzal/routing/Choice.h"

#include <algorithm>

namespace quetzal::routing {
namespace {

/** Avoids a division by 0 when loads are compared. */
constexpr double kMinWeight = 0.01;

/** Returns a candidate's rank. The choice is made only among the candidates of the lowest rank. */
int
RankOf(const Candidate& aCandidate)
{
  return (aCandidate.tried_ ? 2 : 0) + (aCandidate.sameZone_ ? 0 : 1);
}

double
LoadOf(const Candidate& aCandidate)
{
  return (aCandidate.inFlight_ + 1) / std::max(aCandidate.weight_, kMinWeight);
}

std::vector<std::size_t>
LowestRanked(const std::vector<Candidate>& aCandidates)
{
  std::vector<std::size_t> lowest;
  int lowestRank = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const Candidate& candidate = aCandidates[i];
    if (!candidate.available_ || candidate.freeSlots_ <= 0) {
      continue;
    }
    const int rank = RankOf(candidate);
    if (lowest.empty() || rank < lowestRank) {
      lowest.clear();
      lowestRank = rank;
    }
    if (rank == lowestRank) {
      lowest.push_back(i);
    }
  }
  return lowest;
}

} // namespace

std::optional<std::size_t>
ChooseBackendServer(const std::vector<Candidate>& aCandidates,
                    std::uint32_t aFirstDraw,
                    std::uint32_t aSecondDraw)
{
  const std::vector<std::size_t> choices = LowestRanked(aCandidates);
  if (choices.empty()) {
    return std::nullopt;
  }
  const std::size_t first = choices[aFirstDraw % choices.size()];
  if (choices.size() == 1) {
    return first;
  }
  // The second candidate is drawn from the others, so that the two always differ.
  const std::size_t offset = 1 + aSecondDraw % (choices.size() - 1);
  const std::size_t second = choices[(aFirstDraw + offset) % choices.size()];
  return LoadOf(aCandidates[second]) < LoadOf(aCandidates[first]) ? second : first;
}

} // namespace quetzal::routing
