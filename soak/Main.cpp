/** quetzal-soak: runs real entry hosts on the stand-in platform under random faults: of the entry
 * hosts, of the store, and of workers that restart under their ids and are cut off. Checks that
 * every accepted job completes, that no task runs twice at once or again after its completion, that
 * no refused job runs, that no job runs whose cancel was answered with "no such job", and that an
 * entry host which is told to stop answers each request that was sent on a connection to it. Exits
 * with 1 if a check fails. */

#include "include/quetzal/process/Application.h"
#include "tests/harness/JobsDeployment.h"
#include "tests/harness/RawCaller.h"

#include <QtCore/QCoreApplication>
#include <array>
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
/** Durations of tasks, some of which last longer than the lease that a start order grants. */
constexpr std::array kTaskMs{ 200, 1'000, 5'000 };
constexpr auto kLateCallInterval = 50ms;
constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;
/** Jobs whose callers leave without an answer at a kill or a pause, and cancel them elsewhere. */
constexpr int kCancelledJobs = 6;
constexpr auto kCancelTimeout = 4'000ms;
/** Latest value at which the clock of a restarted worker begins. Most are below the clock before,
 * so that the deadlines of earlier orders lie far ahead. */
constexpr int kLatestClockMs = 20'000;
/** Longest time by which a silent worker carries calls out late. */
constexpr int kLongestDelayMs = 12'000;
/** Owners fill one worker after another, so that the first ones have the most runs. */
constexpr int kBusyWorkers = 2;

/** One soak run with its own seed and deployment. */
class Soak
{
public:
  explicit Soak(unsigned aSeed)
    : random_(aSeed)
    , jobs_(kEntryHosts, kWorkers, kTaskMs.at(random_() % kTaskMs.size()))
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
  /** A submission that may be answered late, or never. */
  struct LateCall
  {
    std::string id_;
    std::unique_ptr<RawCaller> caller_;
  };

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
      NoteStatus(id, jobs_.Submit(RandomBelow(kEntryHosts), id, 1 + RandomBelow(6)));
    }
  }

  /** Submits jobs at the other entry hosts, whose callers leave and cancel once a fault has begun.
   */
  std::vector<LateCall> BeginCancelledJobs(int aEntry)
  {
    std::vector<LateCall> calls;
    calls.reserve(kCancelledJobs);
    for (int i = 0; i < kCancelledJobs; ++i) {
      calls.push_back(BeginLateCall((aEntry + 1 + i % 2) % kEntryHosts));
    }
    Pause(std::chrono::milliseconds(RandomBelow(15)));
    return calls;
  }

  /** Leaves, and cancels at any entry host until the answers say what became of the jobs. */
  void CancelElsewhere(std::vector<LateCall> aCalls)
  {
    std::vector<std::string> ids;
    ids.reserve(aCalls.size());
    for (const LateCall& call : aCalls) {
      ids.push_back(call.id_);
    }
    aCalls.clear();
    const int entry = RandomBelow(kEntryHosts);
    const auto cancelled = jobs_.CancelUntilDecided(entry, ids, kCancelTimeout);
    gone_.insert(cancelled.gone_.begin(), cancelled.gone_.end());
  }

  void NoteStatus(const std::string& aId, unsigned aStatus)
  {
    if (aStatus == kOk) {
      accepted_.insert(aId);
    } else if (aStatus == kUnavailable) {
      refused_.insert(aId);
    }
  }

  /** Injects one fault, or ends those in force. Store and silence faults last until a later
   * step ends them, so that faults overlap. */
  void InjectFault()
  {
    const int entry = RandomBelow(kEntryHosts);
    const std::string worker = std::to_string(RandomBelow(kWorkers));
    switch (RandomBelow(11)) {
      case 0:
        KillAndRestart(entry);
        break;
      case 1:
        StopAndRestart(entry);
        break;
      case 2:
        PauseAndContinue(entry);
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
        Silence(worker, false, 0ms);
        break;
      case 7:
        RestartWorker(worker);
        break;
      case 8:
      case 9:
        RestartAndSilenceWorkers();
        break;
      default:
        EndFaults();
        break;
    }
  }

  /** Cuts a worker off, which carries out calls late or not at all.
   * @param aAnswersStarts whether it still takes and answers start orders.
   * @param aTime for how long; 0: until the faults end. */
  void Silence(const std::string& aWorker, bool aAnswersStarts, std::chrono::milliseconds aTime)
  {
    jobs_.Control("/silence?on=1&worker=" + aWorker +
                  "&answer-starts=" + (aAnswersStarts ? "1" : "0") +
                  "&late-ms=" + std::to_string(RandomBelow(kLongestDelayMs)) +
                  "&for-ms=" + std::to_string(aTime.count()));
    silenced_.insert(aWorker);
  }

  /** Restarts a worker under its id, which registers again some time later. */
  void RestartWorker(const std::string& aWorker)
  {
    const std::string clock = std::to_string(1 + RandomBelow(kLatestClockMs));
    const std::string registered = std::to_string(RandomBelow(2'000));
    jobs_.Control("/reboot?worker=" + aWorker + "&clock=" + clock + "&register-ms=" + registered);
  }

  /** Cuts workers off and restarts them, so that owners hear nothing of the new incarnations for a
   * while, which take orders that were meant for those before them. An owner may be killed
   * meanwhile. */
  void RestartAndSilenceWorkers()
  {
    jobs_.Control("/store?mood=well"); // Jobs that are refused give no orders.
    const int count = 1 + RandomBelow(3);
    for (int i = 0; i < count; ++i) {
      const std::string worker = std::to_string(RandomBelow(kBusyWorkers));
      const std::chrono::milliseconds silence(1'000 + RandomBelow(9'000));
      const bool ordersComeLater = RandomBelow(2) == 0;
      Silence(worker, ordersComeLater, silence);
      if (ordersComeLater) {
        RestartWorker(worker);
        SubmitJobs();
      } else {
        SubmitJobs();
        RestartWorker(worker);
      }
    }
    if (RandomBelow(3) == 0) {
      KillAndRestart(RandomBelow(kEntryHosts));
    }
  }

  void KillAndRestart(int aEntry)
  {
    auto cancelled = BeginCancelledJobs(aEntry);
    jobs_.Entry(aEntry).Signal(SIGKILL);
    jobs_.Entry(aEntry).Wait();
    jobs_.StartEntry(aEntry);
    CancelElsewhere(std::move(cancelled));
  }

  void PauseAndContinue(int aEntry)
  {
    auto cancelled = BeginCancelledJobs(aEntry);
    jobs_.Entry(aEntry).Signal(SIGSTOP);
    Pause(std::chrono::milliseconds(500 + RandomBelow(4'000)));
    jobs_.Entry(aEntry).Signal(SIGCONT);
    CancelElsewhere(std::move(cancelled));
  }

  /** Stops an entry host as planned while callers go on using it; for a part of the time, the other
   * entry hosts may be paused. */
  void StopAndRestart(int aEntry)
  {
    const auto pauseAfter = std::chrono::milliseconds(RandomBelow(8'000));
    jobs_.Entry(aEntry).Signal(SIGTERM);
    const auto stopSentAt = std::chrono::steady_clock::now();
    bool paused = false;
    std::vector<LateCall> calls;
    while (jobs_.Entry(aEntry).IsRunning()) {
      if (!paused && std::chrono::steady_clock::now() - stopSentAt > pauseAfter) {
        SignalOthers(aEntry, SIGSTOP);
        paused = true;
      }
      calls.push_back(BeginLateCall(aEntry));
      Pause(kLateCallInterval);
    }
    SignalOthers(aEntry, SIGCONT);
    for (const LateCall& call : calls) {
      EndLateCall(call);
    }
    Require(jobs_.Entry(aEntry).Wait() == 0, "the entry host ends by itself");
    jobs_.StartEntry(aEntry);
  }

  LateCall BeginLateCall(int aEntry)
  {
    const std::string id = JobsDeployment::IdOf(next_++);
    LateCall call{ id, std::make_unique<RawCaller>(jobs_.Callers(aEntry)) };
    call.caller_->Send(JobsDeployment::SubmitBytes(id));
    return call;
  }

  void EndLateCall(const LateCall& aCall)
  {
    const bool isDone = WaitUntil([&] { return aCall.caller_->IsDone(); });
    NoteStatus(aCall.id_, aCall.caller_->Status());
    Require(isDone && !aCall.caller_->IsCut(),
            "job " + aCall.id_ + " has an answer from the entry host that stops");
  }

  void SignalOthers(int aEntry, int aSignal)
  {
    for (int other = 0; other < kEntryHosts; ++other) {
      if (other != aEntry) {
        jobs_.Entry(other).Signal(aSignal);
      }
    }
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
    for (const std::string& id : gone_) {
      Require(jobs_.StartsOf(id) == 0, "job " + id + " did not exist and does not run");
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
  std::set<std::string> gone_; ///< Jobs whose cancel was answered with "no such job".
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
