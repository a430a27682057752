#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Choice of the backend server for each attempt, and the state of an attempt. */
namespace quetzal::routing {

/** A backend server that may be chosen for a request. */
struct Candidate
{
  std::string host_;
  bool sameZone_ = false;
  bool available_ = false; ///< The backend server is neither leaving nor unhealthy nor ejected.
  bool tried_ = false;     ///< An earlier attempt of the request was sent to this backend server.
  int freeSlots_ = 0;
  int inFlight_ = 0;
  double weight_ = 1.0; ///< From 0 to 1; a lower weight attracts less work.

  auto operator<=>(const Candidate&) const = default;
};

/** Chooses among the available candidates with a free slot: untried candidates before tried ones,
 * the own availability zone before others, then the less loaded of two random candidates.
 * @param aFirstDraw, aSecondDraw uniformly distributed random numbers.
 * @return the candidate's index, or nothing where no candidate can take the request now. */
std::optional<std::size_t>
ChooseBackendServer(const std::vector<Candidate>& aCandidates,
                    std::uint32_t aFirstDraw,
                    std::uint32_t aSecondDraw);

} // namespace quetzal::routing
