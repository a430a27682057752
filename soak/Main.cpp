/** quetzal-soak: runs real entry hosts on the stand-in platform under random faults. Checks that
 * every accepted job completes, that no task runs twice at once or again after its completion, and
 * that no refused job runs. Exits with 1 if a check fails. */

#include "include/quetzal/process/Application.h"
#include "tests/harness/JobsDeployment.h"

#include <QtCore/QCoreApplication>
#include <csignal>
#include <iostream>
#include <random>
#include <set>
#include <tclap/CmdLine.h>

namespace {

using namespace harness;
using namespace std::chrono_literals;

constexpr int kEntryHosts = 3;
constexpr int kWorkers = 8;
constexpr int kTaskMs = 200;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

/** One soak run with its own seed and deployment. */
class Soak
{
public:
  explicit Soak(unsigned aSeed)
    : random_(aSeed)
    , jobs_(kEntryHosts, kWorkers, kTaskMs)
  {
  }

  /** Returns whether every check passed. */
  bool Run(int aSteps)
  {
    for (int entry = 0; entry < kEntryHosts; ++entry) {
      Require(jobs_.WaitUntilServing(entry), "entry host " + std::to_string(entry) + " serves");
    }
    for (int step = 0; step < aSteps; ++step) {
      SubmitJobs();
      InjectFault();
      Pause(std::chrono::milliseconds(RandomBelow(600)));
    }
    EndFaultsAndWait();
    Check();
    return violations_.empty();
  }

  const std::vector<std::string>& Violations() const { return violations_; }
  std::size_t Accepted() const { return accepted_.size(); }

private:
  int RandomBelow(int aBound)
  {
    return static_cast<int>(random_() % static_cast<unsigned>(aBound));
  }

  void Require(bool aHolds, const std::string& aWhat)
  {
    if (!aHolds) {
      violations_.push_back(aWhat);
    }
  }

  void SubmitJobs()
  {
    for (int i = 0; i < 3; ++i) {
      const std::string id = JobsDeployment::IdOf(next_++);
      const unsigned status = jobs_.Submit(RandomBelow(kEntryHosts), id, 1 + RandomBelow(6));
      if (status == kOk) {
        accepted_.insert(id);
      } else if (status == kUnavailable) {
        refused_.insert(id);
      }
    }
  }

  /** Injects one fault, or ends those in force. Store and silence faults last until a later
   * step ends them, so that faults overlap. */
  void InjectFault()
  {
    const int entry = RandomBelow(kEntryHosts);
    const std::string worker = std::to_string(RandomBelow(kWorkers));
    switch (RandomBelow(9)) {
      case 0:
        Restart(entry, SIGKILL);
        break;
      case 1:
        Restart(entry, SIGTERM);
        break;
      case 2:
        jobs_.Entry(entry).Signal(SIGSTOP);
        Pause(std::chrono::milliseconds(500 + RandomBelow(4'000)));
        jobs_.Entry(entry).Signal(SIGCONT);
        break;
      case 3:
        jobs_.Control("/store?mood=refusing");
        break;
      case 4:
        jobs_.Control("/store?mood=silent");
        break;
      case 5:
        jobs_.Control("/store?mood=forgetful");
        break;
      case 6:
        jobs_.Control("/silence?on=1&worker=" + worker +
                      "&late-ms=" + std::to_string(RandomBelow(4'000)));
        silenced_.insert(worker);
        break;
      case 7:
        jobs_.Control("/reboot?worker=" + worker);
        break;
      default:
        EndFaults();
        break;
    }
  }

  void Restart(int aEntry, int aSignal)
  {
    jobs_.Entry(aEntry).Signal(aSignal);
    jobs_.Entry(aEntry).Wait();
    jobs_.StartEntry(aEntry);
  }

  void EndFaults()
  {
    jobs_.Control("/store?mood=well");
    for (const std::string& worker : silenced_) {
      jobs_.Control("/silence?on=0&worker=" + worker);
    }
    silenced_.clear();
  }

  void EndFaultsAndWait()
  {
    EndFaults();
    for (int entry = 0; entry < kEntryHosts; ++entry) {
      Require(jobs_.WaitUntilServing(entry),
              "entry host " + std::to_string(entry) + " serves after the faults");
    }
  }

  void Check()
  {
    for (const std::string& id : accepted_) {
      Require(jobs_.WaitForState(RandomBelow(kEntryHosts), id, "completed"),
              "job " + id + " completes; it is " + jobs_.StateOf(0, id));
    }
    for (const std::string& id : refused_) {
      Require(jobs_.StartsOf(id) == 0, "job " + id + " was refused and does not run");
    }
    for (const std::string& violation : jobs_.Record("violation")) {
      violations_.push_back(violation);
    }
  }

  std::mt19937 random_;
  JobsDeployment jobs_;
  int next_ = 1'000; ///< Lower ids serve as probes and must remain unknown.
  std::set<std::string> accepted_;
  std::set<std::string> refused_;
  std::set<std::string> silenced_;
  std::vector<std::string> violations_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  quetzal::process::Application application(aCount, aArguments);
  try {
    TCLAP::CmdLine line("Runs entry hosts under random faults.", ' ', "0.1.0");
    TCLAP::ValueArg<unsigned> seed("s", "seed", "First seed", false, 1, "number", line);
    TCLAP::ValueArg<unsigned> runs("r", "runs", "Number of seeds", false, 1, "number", line);
    TCLAP::ValueArg<int> steps("n", "steps", "Steps of each run", false, 12, "number", line);
    line.parse(aCount, aArguments);
    bool passed = true;
    for (unsigned i = 0; i < runs.getValue(); ++i) {
      const unsigned now = seed.getValue() + i;
      Soak soak(now);
      const bool good = soak.Run(steps.getValue());
      passed = passed && good;
      std::cout << "seed " << now << (good ? " kept" : " BROKEN") << " accepted " << soak.Accepted()
                << std::endl;
      for (const std::string& what : soak.Violations()) {
        std::cout << "  " << what << std::endl;
      }
    }
    return passed ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
