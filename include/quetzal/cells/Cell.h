#pragma once

#include "include/quetzal/cells/PlacementTickets.h"
#include "include/quetzal/cells/StartWindow.h"
#include "include/quetzal/cells/SubmissionControl.h"
#include "include/quetzal/cells/Worker.h"
#include "include/quetzal/cells/WriteChains.h"
#include "include/quetzal/clock/Now.h"
#include "include/quetzal/fleet/Forecast.h"
#include "include/quetzal/jobs/JobRegistry.h"
#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/node/PlatformState.h"
#include "include/quetzal/organisations/FairShare.h"
#include "include/quetzal/organisations/QuotaUse.h"
#include "include/quetzal/placement/JobOrder.h"
#include "include/quetzal/placement/Locality.h"
#include "include/quetzal/placement/Placement.h"
#include "include/quetzal/placement/UnfitNeeds.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>
#include <functional>
#include <map>

namespace quetzal::cells {

/** The result of a caller's request to a cell. */
enum class AnswerStatus : std::uint8_t
{
  kAccepted, ///< The job is stored and will run.
  kRefused,  ///< The job is not stored and will never run.
  kFound,    ///< The job exists; its state is given.
  kCancelled,
  kUnknownJob,     ///< No such job exists.
  kUnknownOutcome, ///< The request may have been stored, or may still be.
  kCounted,
  kForbidden, ///< The job belongs to another organisation.
};

/** Why a submission was refused. */
enum class RefusalReason : std::uint8_t
{
  kUnavailable, ///< The job cannot be stored now.
  kOverRate,    ///< Its organisation exceeds its rate, and the job would end too late.
};

const char*
ToString(AnswerStatus aStatus);

/** An answer to one request. */
struct Answer
{
  AnswerStatus status_ = AnswerStatus::kUnknownOutcome;
  jobs::JobState state_ = jobs::JobState::kQueued;      ///< With kFound.
  std::int64_t pending_ = 0;                            ///< With kCounted.
  clock::Milliseconds retryAfter_{ 0 };                 ///< With kRefused.
  RefusalReason refusal_ = RefusalReason::kUnavailable; ///< With kRefused.
};

using AnswerCallback = std::function<void(const Answer&)>;

/** Where a submission that is being stored came from. */
struct SubmissionOrigin
{
  std::string organisation_; ///< The caller's; see organisations::MayAccess.
  std::string entryHost_;    ///< The host that the caller reached; empty: unknown.
  int attempt_ = 1;          ///< See jobs::Submission.
};

/** Interfaces and settings that all cells of a process share. */
struct CellContext
{
  store::SharedStore* store_ = nullptr;
  node::PlatformState* platformState_ = nullptr;
  workers::WorkerPortFactory makeWorker_;
  workers::PlacementAdvicePort* advice_ = nullptr; ///< Null if there is none.
  metrics::Registry* metrics_ = nullptr;
  workers::LeaseTimes times_;
  LeaseLapseClock sinceLeaseLapse_;
  clock::Milliseconds retention_{ 120'000 }; ///< Ended jobs remain visible at least this long.
  clock::Milliseconds moveTime_{ 1'500 };    ///< Time from allocating a host to its arrival.
  double farFactor_ = 1; ///< Duration of a task away from its data, as a multiple of that near it.
};

/** The state that the previous owner stored, read after that owner could no longer write. */
struct PredecessorState
{
  std::vector<store::KeyValue> jobs_;
  std::vector<store::KeyValue> progress_;
  std::vector<jobs::RosterEntry> roster_;
};

/** One worker of a cell, for the owner of the fleet. */
struct WorkerReport
{
  std::string id_;
  int runs_ = 0; ///< Including those whose ends are not stored yet.
  bool hasLongRunning_ = false;
  bool cordoned_ = false;
  bool synchronized_ = false;
};

/** A cell's demand and workers, for the owner of the fleet. */
struct CellReport
{
  std::string service_;
  double longRunningCores_ = 0; ///< Demand of tasks that run until cancelled.

  double longRunningMemory_ = 0; ///< Memory demand of these tasks, in megabytes.
  /** Tasks that run until cancelled, waiting or to be evicted, for which no worker has room. */
  int unschedulableTasks_ = 0;
  double urgentCores_ = 0; ///< Cores needed to end waiting and running jobs by their objectives.
  /** Cores needed for arriving jobs once a host that is allocated now has arrived. */
  double forecastCores_ = 0;
  std::vector<WorkerReport> workers_;
  std::int64_t fence_ = 0;
  std::int64_t sequence_ = 0;   ///< Counts the reports of this owner; an older report is ignored.
  bool isSynchronized_ = false; ///< Every run that an earlier owner may have started is known.
  std::vector<organisations::Demand> organisations_; ///< Those that use or wait for anything.
};

/** Owns the jobs and workers of one service: accepts jobs, places their tasks and stores their
 * ends. It exists for as long as its process owns the cell. */
class Cell : public QObject
{
  Q_OBJECT

public:
  Cell(std::string aService,
       CellContext aContext,
       const jobs::OwnerRecord& aSelf,
       std::int64_t aFence,
       const PredecessorState& aState,
       QObject* aParent);

  const std::string& Service() const { return service_; }
  std::int64_t Fence() const { return fence_; }

  void Submit(const jobs::Submission& aSubmission, AnswerCallback aDone);
  /** @param aOrganisation the caller's organisation; empty: the call is not restricted. */
  void Show(const std::string& aId,
            const std::string& aOrganisation,
            const AnswerCallback& aDone) const;
  void Cancel(const std::string& aId, const std::string& aOrganisation, AnswerCallback aDone);
  std::int64_t PendingOf(const std::string& aQueue) const;

  /** Returns how many jobs have not ended. */
  std::size_t LiveJobs() const;

  /** Returns how many workers and live jobs the cell has: what its owner's work grows with. */
  std::size_t Width() const;

  CellReport Report();

  /** Takes the grants of the answer to a report.
   * @param aHasGrants whether the fleet's owner divides quotas; if not, the cell uses an equal part
   * of each quota. */
  void TakeGrants(std::int64_t aSequence,
                  bool aHasGrants,
                  const std::vector<organisations::Grant>& aGrants);

  /** Cordons these workers and uncordons all others. */
  void CordonWorkers(const std::set<std::string>& aWorkers);

  /** Marks the unresponsive ones of these workers as terminated, which the platform's list showed
   * as gone. They may be back. @param aSeenGoneAt when they were certainly gone; see RunBounds. */
  void MarkTerminated(const std::set<std::string>& aWorkers,
                      clock::Moment aSeenGoneAt = clock::Now());

  /** Stops tasks that run until cancelled on a cordoned worker, so that they start elsewhere. A
   * task is not stopped while no other worker has room for it or too many tasks of its step are
   * unavailable. */
  void EvictTasks(const std::string& aWorker);

  /** Starts no more tasks, reads no more ends, but those of draining workers, and writes what is
   * known, since the cell is about to be handed over. */
  void BeginHandOver();

  /** Returns whether all that is known is stored: no write is pending or in flight. */
  bool IsIdle() const;

  /** Stops all work without a write or an order, since another owner has the cell. Waiting callers
   * get kUnknownOutcome. */
  void Abandon();

Q_SIGNALS:
  /** The cell has another owner. */
  void OwnershipLost();

private:
  struct WorkerEntry
  {
    Worker* worker_ = nullptr;
    bool rosterRequested_ = false;
    bool inherited_ = false;  ///< A predecessor may have given the worker orders.
    bool terminated_ = false; ///< Its incarnation has ended; a successor need not poll it.
    double failureScore_ = 0;
    int speedPercent_ = 100; ///< Speed limit of best-effort tasks.
    clock::Moment speedCheckedAt_{};
  };

  void RestoreState(const PredecessorState& aState);
  void RestoreJob(const store::KeyValue& aItem);
  /** Refuses a submission beyond its organisation's rate, unless the store holds the job: it may
   * have been accepted by another cell before its queue was moved, and runs there. */
  void RefuseUnlessStored(const jobs::Submission& aSubmission,
                          clock::Milliseconds aRetryAfter,
                          AnswerCallback aDone);
  void OnSubmissionWritten(const std::string& aId,
                           const SubmissionOrigin& aOrigin,
                           const WriteResult& aResult);
  void OnJobStored(jobs::Job& aJob, const SubmissionOrigin& aOrigin);
  void EndCancelledJob(jobs::Job& aJob);
  bool IsKnown(const std::string& aId) const;
  /** Returns whether a job is known and belongs to another organisation than the caller. */
  bool IsForbidden(const std::string& aId, const std::string& aOrganisation) const;
  jobs::QueueTerms TermsAtAcceptance(const std::string& aQueue,
                                     const std::optional<jobs::QueueTerms>& aKnown) const;
  void SyncWorkers();
  void AddWorker(const workers::Registration& aRegistration);
  void RemoveWorker(const std::string& aId);
  void MoveWorker(WorkerEntry& aEntry, const workers::Registration& aRegistration);
  /** Raises the fence of a worker that has started again, to the revision of a change of this
   * owner. */
  void RaiseFence(const std::string& aId);
  /** Decides after a poll whether a worker must join the roster. One that has answered is not
   * terminated, whatever was said of it. One that has never answered is given no order, so that a
   * successor need not wait for it. */
  void UpdateRosterNeed(WorkerEntry& aEntry);
  /** Stores a roster with the workers that must join it. */
  void ExtendRoster();
  std::vector<jobs::RosterEntry> Roster() const;
  /** Returns the workers that a successor must ask before it starts what this owner may have
   * started. @pre no more orders will be given. */
  std::vector<jobs::RosterEntry> HandOverRoster() const;
  void ExpireUnresponsiveWorkers();
  bool IsSynchronized() const;
  /** Returns whether a worker has left, cannot run anything, and has no ends left to store. */
  bool MayRemove(const WorkerEntry& aEntry) const;

  void OnRunEnded(WorkerEntry& aEntry,
                  const jobs::TaskId& aTask,
                  std::int64_t aRun,
                  jobs::EndKind aKind,
                  const std::string& aCheckpoint,
                  std::int64_t aNumber);
  void OnStartFailed(const jobs::TaskId& aTask, std::int64_t aRun, workers::OrderStatus aReason);
  void OnUnknownRun(WorkerEntry& aEntry, const workers::RunningTask& aTask);
  void UpdateFailureScore(WorkerEntry& aEntry, jobs::EndKind aKind);
  /** @param aLabels of the worker that ran the task. */
  void RecordDuration(jobs::Job& aJob,
                      const jobs::TaskId& aTask,
                      clock::Moment aPlacedAt,
                      const std::vector<std::string>& aLabels);

  /** A job with waiting tasks, and its place in the order of placement. */
  struct WaitingJob
  {
    placement::JobRank rank_;
    jobs::Job* job_ = nullptr;
  };

  void SchedulePlacement();
  void PlaceTasks();
  void OnStartAnswered(std::int64_t aRun);
  /** Ends a placement round that has no starts left; the rest waits for answers to start orders. */
  void EndRound();
  std::vector<WaitingJob> WaitingJobs(clock::Moment aNow);
  std::vector<placement::Candidate> Candidates(std::vector<WorkerEntry*>& aEntries) const;
  /** Returns the tasks that have an orphaned run, or whose open order may still begin one. */
  std::set<jobs::TaskId> BlockedTasks() const;
  /** Returns whether a run's start order may be sent to its worker again. */
  bool MayRepeatStart(const std::string& aWorker, const workers::RunKey& aRun);

  /** The quotas in force, by organisation. */
  using Quotas = std::map<std::string, workers::Capacity>;

  /** One placement round: the workers as they become fuller. */
  struct Round
  {
    clock::Moment now_{};
    std::vector<placement::Candidate> candidates_;
    std::vector<WorkerEntry*> entries_; ///< Of each candidate.
    /** Tasks that may have a run beside those that are known: they are started nowhere until it has
     * ended, or can no longer begin. */
    std::set<jobs::TaskId> blocked_;
    Quotas quotas_;
    organisations::FairShares shares_; ///< Empty without organisations.
    int failedSearches_ = 0;           ///< Searches of all candidates that found none for a task.
    int unplacedJobs_ = 0;             ///< In a row.
    /** Expected capacity of the racks that tasks may wait for, by rack; made when first needed. */
    std::map<std::string, placement::RackForecast> forecasts_;
  };

  /** What rounds have found since the last one that came to the end of the waiting jobs. */
  struct Pass
  {
    placement::UnfitNeeds unfit_;
    std::set<std::string> triedJobs_; ///< Jobs with a task for which no worker was found.
  };

  static bool MayStart(const jobs::TaskState& aState,
                       const jobs::TaskId& aTask,
                       const Round& aRound);
  organisations::FairShares FairShares(const Round& aRound) const;
  /** Returns by how much a job's organisation uses more than its share; see placement::JobRank. */
  int StepsAboveShare(const jobs::Job& aJob, const Round& aRound) const;
  bool PlaceJob(jobs::Job& aJob, Round& aRound);
  int PlaceStep(jobs::Job& aJob, int aOccurrence, int aStep, Round& aRound);
  bool PlaceGang(jobs::Job& aJob, int aOccurrence, int aStep, Round& aRound);
  /** Notes that no worker was found for a task of a step. @param aIsGeneral whether the step's
   * demand alone was the reason, so that a task of any job with that demand has no place. */
  void NoteFailedSearch(jobs::Job& aJob,
                        const jobs::StepSpec& aStep,
                        bool aIsGeneral,
                        Round& aRound);
  /** Returns a task's duration on a worker, as a multiple of that near its data. */
  double FarFactorOn(const jobs::StepSpec& aStep, const std::vector<std::string>& aLabels) const;
  bool MayWaitForRack(const jobs::Job& aJob, const jobs::StepSpec& aStep) const;
  placement::RackForecast& ForecastOf(const std::string& aRack, Round& aRound);
  clock::Milliseconds ExpectedTime(const jobs::StepSpec& aStep) const;
  /** Returns when a run is expected to end; nothing if its end cannot be foreseen. */
  std::optional<clock::Moment> ExpectedEnd(const jobs::TaskId& aTask,
                                           const workers::Run& aRun,
                                           const std::vector<std::string>& aLabels,
                                           clock::Moment aNow);
  /** Returns the demand for a rack, as a multiple of its capacity. */
  double DemandOf(const std::string& aRack,
                  const placement::RackForecast& aForecast,
                  clock::Moment aNow) const;
  placement::NearWait NearWaitOf(const jobs::Job& aJob,
                                 const jobs::StepSpec& aStep,
                                 const jobs::TaskState& aTask) const;
  /** Decides whether a task that can only be placed away from its data waits for a slot near it,
   * and reserves that slot in the forecast. */
  bool WaitsForRack(jobs::Job& aJob,
                    const jobs::StepSpec& aStep,
                    jobs::TaskState& aTask,
                    const placement::StepUse& aUse,
                    Round& aRound);
  /** Returns whether a task that has waited for its rack goes on waiting. */
  bool StillWaitsForRack(jobs::Job& aJob,
                         const jobs::StepSpec& aStep,
                         jobs::TaskState& aTask,
                         const placement::StepUse& aUse,
                         Round& aRound);
  /** Decides whether a gang that can only be placed away from its data, or on several racks, waits
   * for room on one. @param aFirst the gang's first task, which keeps the time of the wait. */
  bool GangWaitsForRack(jobs::Job& aJob,
                        const jobs::StepSpec& aStep,
                        jobs::TaskState& aFirst,
                        const std::vector<std::size_t>& aChosen,
                        const PlacementTickets::ByWorker* aTickets,
                        Round& aRound);
  std::optional<clock::Moment> GangSlot(const jobs::StepSpec& aStep,
                                        const placement::StepUse& aUse,
                                        Round& aRound);
  void NoteNearWait(jobs::Job& aJob,
                    const jobs::StepSpec& aStep,
                    jobs::TaskState& aTask,
                    clock::Moment aUntil,
                    clock::Moment aNow);
  /** Counts the start of a task or gang that prefers a rack. */
  void CountNearStart(const jobs::StepSpec& aStep,
                      const jobs::TaskState& aTask,
                      bool aIsNear,
                      clock::Moment aNow);
  void StartTask(jobs::Job& aJob,
                 const jobs::TaskId& aTask,
                 std::int64_t aRun,
                 WorkerEntry& aEntry);
  Quotas QuotasInForce() const;
  /** Returns whether every run that an earlier owner may have started is known; once true, always.
   */
  bool KnowsAllRuns();
  /** Returns whether the grant for a job's organisation has room for the next task of a step, or
   * for the whole of a gang. */
  bool IsWithinQuota(jobs::Job& aJob, const jobs::StepSpec& aStep, const Round& aRound);
  static workers::Run MakeCountedRun(const jobs::Job& aJob,
                                     const jobs::StepSpec& aStep,
                                     std::int64_t aRun,
                                     workers::RunState aState);
  std::vector<organisations::Demand> Demands(const Quotas& aQuotas, clock::Moment aNow);
  void ReportQuotas(CellReport& aReport);
  void LogQuotas(const Quotas& aQuotas, clock::Moment aNow);
  bool NeedsTicket(const jobs::Job& aJob) const;
  void RequestTickets(const std::string& aStep);
  std::string TicketFor(const jobs::TaskId& aTask, const std::string& aWorker) const;
  void PlaceCopies(Round& aRound);
  void CopyStragglers(jobs::Job& aJob, int aOccurrence, int aStep, Round& aRound);
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
  void LimitBestEffort(WorkerEntry& aEntry);

  void StoreProgress(const jobs::Job& aJob, std::function<void()> aDone);
  bool HasUnstoredProgress(const std::string& aJob) const;
  void FlushProgress();
  void FinishJob(jobs::Job& aJob, jobs::JobState aState, std::function<void()> aDone);
  void StopTasks(const jobs::Job& aJob);
  void OnPeriodicTimer();
  /** Logs why jobs have waited for long with nothing running, at most once a second. */
  void LogWaiting();
  std::string WorkerSummary() const;
  void RemoveExpired();
  bool IsAvailable(const jobs::TaskState& aState, const jobs::TaskId& aTask) const;
  bool MayEvict(const jobs::Job& aJob, const jobs::TaskId& aTask) const;
  bool HasRoomFor(const jobs::StepSpec& aStep) const;
  int CountUnschedulable() const;

  std::string service_;
  CellContext context_;
  std::int64_t fence_;
  std::int64_t nextRun_;
  WriteChains writer_;
  jobs::JobRegistry jobs_;
  std::map<std::string, WorkerEntry> workers_;
  /** Waiting callers by job, until the job is stored. */
  std::map<std::string, std::vector<AnswerCallback>> submitting_;
  std::map<std::string, std::vector<AnswerCallback>> cancelling_;
  /** Callers that cancel a job before it is stored, by job. */
  std::map<std::string, std::vector<AnswerCallback>> cancellingUnstored_;
  std::map<std::string, std::vector<std::function<void()>>> progressWaiters_; ///< By job.
  /** Called once the end of a job is stored, by job. */
  std::map<std::string, std::vector<std::function<void()>>> endWaiters_;
  organisations::QuotaUse quotaUse_;
  organisations::HeldGrants grants_;
  std::map<std::string, std::int64_t> heldStarts_; ///< Since quotasLoggedAt_, by organisation.
  clock::Moment quotasLoggedAt_{};
  bool knowsAllRuns_ = false;
  PlacementTickets tickets_;
  StartWindow startWindow_;
  SubmissionControl submissions_;
  Pass pass_;
  clock::Moment waitingLoggedAt_{};
  int startsLeft_ = 0;           ///< Starts that the current placement round may still make.
  bool waitsForAnswers_ = false; ///< The last round left tasks for which there were no starts left.
  std::set<std::string> cordoned_;
  /** Tasks to be evicted for which no other worker has room, counted since the last call of
   * CordonWorkers. */
  int unschedulableEvictions_ = 0;
  std::deque<fleet::Arrival> arrivals_;
  double estimateBias_ = 1; ///< Moving average of tasks' durations as multiples of their estimates.
  /** By rack; of the racks that tasks prefer. */
  std::map<std::string, placement::RackDemand> nearDemand_;
  double pathFactor_ = 1; ///< See placement::RankOf.
  clock::Moment startedAt_;
  bool rosterIsComplete_ = true; ///< A roster with every worker has been given to the writer.
  bool handingOver_ = false;
  bool ownershipLost_ = false;
  QTimer placementTimer_;
  QTimer nearWaitTimer_; ///< The next end of a wait for a slot near a task's data.
  QTimer progressTimer_;
  QTimer periodicTimer_;
};

/** Returns what a task counts for its organisation's quota: all that its step names, also the
 * processor time of a best-effort step. */
workers::Capacity
QuotaNeedOf(const jobs::StepSpec& aStep);

/** Return the store's key of a job, and the prefix of a cell's progress records. */
std::string
JobKey(const std::string& aId);
std::string
ProgressPrefix(const std::string& aService);

/** Prefix of the keys of all jobs. */
inline const std::string kJobPrefix = "quetzal/job/";

} // namespace quetzal::cells
