#pragma once

#include "include/quetzal/cells/CellWriter.h"
#include "include/quetzal/cells/Tickets.h"
#include "include/quetzal/cells/Worker.h"
#include "include/quetzal/fleet/Forecast.h"
#include "include/quetzal/jobs/JobTable.h"
#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/node/PlatformState.h"
#include "include/quetzal/placement/Placement.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <functional>
#include <map>

namespace quetzal::cells {

/** What a cell says to a caller's request. */
enum class Verdict : std::uint8_t
{
  kAccepted, ///< The job is stored and will run.
  kRefused,  ///< The job is not stored and will never run.
  kShown,    ///< The state is given.
  kCancelled,
  kUnknownJob, ///< There is no such job.
  kUndecided,  ///< It may have been stored, or may be yet.
  kCounted,
};

const char*
ToString(Verdict aVerdict);

/** An answer to one request. */
struct Answer
{
  Verdict verdict_ = Verdict::kUndecided;
  jobs::JobState state_ = jobs::JobState::kQueued; ///< With kShown.
  std::int64_t pending_ = 0;                       ///< With kCounted.
  clock::Milliseconds retryAfter_{ 0 };            ///< With kRefused.
};

using AnswerCallback = std::function<void(const Answer&)>;

/** Ports and parts that every cell of a process shares. */
struct CellContext
{
  store::SharedStore* store_ = nullptr;
  node::PlatformState* feed_ = nullptr;
  workers::WorkerPortFactory makeWorker_;
  workers::AdvicePort* advice_ = nullptr; ///< Null where there is none.
  metrics::Registry* metrics_ = nullptr;
  LeaseTimes times_;
  TenureClock tenure_;
  clock::Milliseconds retention_{ 120'000 }; ///< Ended jobs are shown at least this long.
  clock::Milliseconds moveTime_{ 1'500 };    ///< Until a host that is drawn now has come.
};

/** What the previous owner left, read after it could write no more. */
struct Inheritance
{
  std::vector<store::KeyValue> jobs_;
  std::vector<store::KeyValue> progress_;
  std::vector<jobs::RosterEntry> roster_;
};

/** One worker of a cell, as the fleet's owner sees it. */
struct WorkerReport
{
  std::string id_;
  int runs_ = 0;
  bool hasLasting_ = false;
  bool closed_ = false;
  bool settled_ = false;
};

/** A cell's demand and workers, for the owner of the fleet. */
struct CellReport
{
  std::string service_;
  double lastingCores_ = 0;  ///< Asked for by tasks that last.
  double lastingMemory_ = 0; ///< Asked for by tasks that last, in megabytes.
  int stuckTasks_ = 0;     ///< Tasks that last, or are to be vacated, for which no worker has room.
  double urgentCores_ = 0; ///< Needed for waiting and running jobs to be done in time.
  double forecastCores_ = 0; ///< That arriving jobs will need when a host drawn now has come.
  std::vector<WorkerReport> workers_;
};

/** Owns the jobs and workers of one service: accepts jobs, places tasks, records ends. It lives as
 * long as its owner holds the cell. */
class Cell : public QObject
{
  Q_OBJECT

public:
  Cell(std::string aService,
       CellContext aContext,
       const jobs::OwnerRecord& aSelf,
       std::int64_t aFence,
       const Inheritance& aInheritance,
       QObject* aParent);

  const std::string& Service() const { return service_; }
  std::int64_t Fence() const { return fence_; }

  void Submit(const std::string& aQueue,
              const std::string& aId,
              const jobs::JobSpec& aSpec,
              AnswerCallback aDone);
  void Show(const std::string& aId, const AnswerCallback& aDone) const;
  void Cancel(const std::string& aId, AnswerCallback aDone);
  std::int64_t PendingOf(const std::string& aQueue) const;

  /** Returns how many jobs have not ended. */
  std::size_t LiveJobs() const;

  CellReport Report();

  /** From now on nothing is started on these workers, and on no others is starting barred. */
  void CloseWorkers(const std::set<std::string>& aWorkers);

  /** These workers are no host's present life: those that do not answer run nothing any more. */
  void MarkGone(const std::set<std::string>& aWorkers);

  /** Ends lasting tasks on a closed worker as far as their steps allow, so that they start
   * elsewhere. */
  void Vacate(const std::string& aWorker);

  /** Starts nothing any more; the cell is about to be handed over. */
  void StopPlacing() { handingOver_ = true; }
  bool IsQuiet() const;

  /** Ends all work without touching store or workers: another owner has the cell. Callers that wait
   * learn that the outcome is not known. */
  void Abandon();

Q_SIGNALS:
  /** The cell has another owner. */
  void Lost();

private:
  struct Row
  {
    Worker* worker_ = nullptr;
    bool rosterAsked_ = false;
    bool gone_ = false; ///< Its life is over; a successor need not ask it.
    double suspicion_ = 0;
    int pace_ = 100; ///< Of filling tasks, in per cent.
    clock::Moment pacedAt_{};
  };

  void Inherit(const Inheritance& aInheritance);
  void InheritJob(const store::KeyValue& aItem);
  void SyncWorkers();
  void AddWorker(const workers::Registration& aRegistration);
  void RemoveWorker(const std::string& aId);
  void AskRoster();
  std::vector<jobs::RosterEntry> Roster() const;
  void GiveUpSilent();
  bool IsSettled() const;

  void OnEnded(Row& aRow,
               const jobs::TaskId& aTask,
               std::int64_t aRun,
               jobs::EndKind aKind,
               const std::string& aCheckpoint,
               std::int64_t aNumber);
  void OnStartEnded(const jobs::TaskId& aTask, std::int64_t aRun, workers::OrderStatus aWhy);
  void OnFound(Row& aRow, const workers::RunningTask& aTask);
  void Judge(Row& aRow, jobs::EndKind aKind);
  void LearnDuration(jobs::Job& aJob, const jobs::TaskId& aTask, clock::Moment aPlacedAt);

  void KickPlacing();
  void PlaceAll();
  std::vector<jobs::Job*> JobsInOrder(clock::Moment aNow);
  std::vector<placement::Candidate> Candidates(std::vector<Row*>& aRows) const;
  bool PlaceJob(jobs::Job& aJob,
                std::vector<placement::Candidate>& aCandidates,
                const std::vector<Row*>& aRows,
                clock::Moment aNow);
  int PlaceStep(jobs::Job& aJob,
                int aOccurrence,
                int aStep,
                std::vector<placement::Candidate>& aCandidates,
                const std::vector<Row*>& aRows,
                clock::Moment aNow);
  bool PlaceGang(jobs::Job& aJob,
                 int aOccurrence,
                 int aStep,
                 std::vector<placement::Candidate>& aCandidates,
                 const std::vector<Row*>& aRows,
                 clock::Moment aNow);
  void StartTask(jobs::Job& aJob, const jobs::TaskId& aTask, std::int64_t aRun, Row& aRow);
  bool NeedsTicket(const jobs::Job& aJob) const;
  void AskTickets(const std::string& aStep);
  std::string TicketFor(const jobs::TaskId& aTask, const std::string& aWorker) const;
  void PlaceCopies(std::vector<placement::Candidate>& aCandidates,
                   const std::vector<Row*>& aRows,
                   clock::Moment aNow);
  void CopyStragglers(jobs::Job& aJob,
                      int aOccurrence,
                      int aStep,
                      std::vector<placement::Candidate>& aCandidates,
                      const std::vector<Row*>& aRows,
                      clock::Moment aNow);
  bool MayCopy(const jobs::Job& aJob,
               const jobs::StepState& aStep,
               const jobs::StepSpec& aSpec,
               const jobs::TaskState& aTask,
               clock::Moment aNow) const;
  workers::StartOrder OrderFor(jobs::Job& aJob,
                               const jobs::TaskId& aTask,
                               std::int64_t aRun,
                               const std::string& aWorker);
  void StopOtherRuns(const jobs::TaskId& aTask, std::int64_t aRun, const jobs::TaskState& aState);
  void PaceFilling(Row& aRow);

  void StoreProgress(const jobs::Job& aJob, std::function<void()> aDone);
  void FlushProgress();
  void FinishJob(jobs::Job& aJob, jobs::JobState aState, std::function<void()> aDone);
  void StopTasks(const jobs::Job& aJob);
  void Housekeep();
  void RemoveExpired();
  int MostAttempts(const jobs::Job& aJob) const;
  bool IsAtWork(const jobs::TaskState& aState, const jobs::TaskId& aTask) const;
  bool MayTakeAway(const jobs::Job& aJob, const jobs::TaskId& aTask) const;
  bool HasRoomFor(const jobs::StepSpec& aStep) const;
  int CountStuck() const;

  std::string service_;
  CellContext context_;
  std::int64_t fence_;
  std::int64_t nextRun_;
  CellWriter writer_;
  std::map<std::string, jobs::Job> jobs_;
  std::map<std::string, Row> workers_;
  std::map<std::string, std::vector<AnswerCallback>> submitting_; ///< Waiting for the store.
  std::map<std::string, std::vector<AnswerCallback>> cancelling_;
  std::map<std::string, std::vector<std::function<void()>>> progressWaiters_; ///< By job.
  Tickets tickets_;
  std::set<std::string> closed_;
  int stuckVacates_ = 0; ///< Tasks that the last orders could not vacate for want of room.
  std::deque<fleet::Arrival> arrivals_;
  double estimateBias_ = 1; ///< How long tasks take, as a multiple of their estimates.
  clock::Moment begun_;
  bool handingOver_ = false;
  bool lost_ = false;
  QTimer placeTimer_;
  QTimer progressTimer_;
  QTimer houseTimer_;
};

/** Returns the store's key of a job, of a cell's progress record, and of its linking key. */
std::string
JobKey(const std::string& aId);
std::string
ProgressPrefix(const std::string& aService);
std::string
ChainKey(const std::string& aService);

/** The prefix of all jobs. */
inline const std::string kJobPrefix = "quetzal/job/";

} // namespace quetzal::cells
