/** review-world SCENARIO NETWORK FRONTS RECORD FOLDER: plays one scenario of the review. NETWORK is
 * the first three numbers of a loopback network, with a full stop. In FOLDER, a file `ready` is
 * written once the platform listens, and files `pid-N` hold the process ids of the fronts. Exits
 * with 1 if the rule was broken, 0 if it held, 2 otherwise. */

#include "review/standin/World.h"

#include <cstdlib>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace review;
  static const std::map<std::string, Verdict (*)(World&)> kScenarios{
    { "never-fitting", PlayNeverFitting },
    { "dropped-route", PlayDroppedRoute },
    { "wave", PlayWave },
    { "advised-gang", PlayAdvisedGang },
    { "advised-burst", PlayAdvisedBurst },
    { "owner-killed", PlayOwnerKilled },
    { "takeover-cut", PlayTakeoverCut },
    { "moved-queue", PlayMovedQueue },
  };
  const auto scenario = kScenarios.find(aCount == 6 ? aArguments[1] : "");
  if (scenario == kScenarios.end()) {
    std::cerr << "usage: review-world SCENARIO NETWORK FRONTS RECORD FOLDER\n";
    return static_cast<int>(Verdict::kNotRun);
  }
  Verdict verdict = Verdict::kNotRun;
  try {
    World world(aArguments[2], std::atoi(aArguments[3]), aArguments[4], aArguments[5]);
    std::ofstream(std::string(aArguments[5]) + "/ready") << "ready\n";
    verdict = scenario->second(world);
    world.Log().Add("verdict ", static_cast<int>(verdict));
    std::_Exit(static_cast<int>(verdict)); // Threads of connections may still wait.
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return static_cast<int>(Verdict::kNotRun);
  }
}
