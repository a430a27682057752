#pragma once

#include "include/quetzal/http/Server.h"
#include "platform/Body.h"
#include "platform/standin/Store.h"
#include "review/standin-2/Record.h"
#include "review/standin-2/Tasks.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <functional>
#include <memory>
#include <set>

namespace review {

using quetzal::adapter::Value;

/** One start order that a minion has carried out. */
struct Start
{
  std::string task_;
  std::int64_t run_ = 0;
  std::string worker_;
  std::string checkpoint_;
  Clock::time_point at_;
};

/** The members of one run of a gang that are present, and since when all of them work. */
struct Gang
{
  std::set<std::string> present_;
  std::optional<Clock::time_point> workingSince_;
  bool broken_ = false;
};

/** What all minions share. */
struct Fleet
{
  Record& record_;
  quetzal::adapter::standin::Store& store_;
  JobBook jobs_;
  std::vector<Start> starts_;
  std::vector<std::string> doubles_; ///< Subtasks that two minions have run at the same time.
  std::map<std::string, int> live_;  ///< Runs of each subtask at present.
  std::map<std::pair<std::string, std::int64_t>, Gang> gangs_; ///< By step and run.
};

/** Capacity of each minion, in thousandths of a core. */
inline constexpr std::int64_t kWorkerCpu = 32'000;

struct WorkerPlace
{
  std::string machine_;
  std::string service_;
  std::string zone_;
  std::string rack_;
  quetzal::settings::Endpoint endpoint_;
};

/** A machine of the platform, and the minion that lives on it. The minion follows PROTOCOL.md; it
 * works for as long as a task's estimate says. */
class Worker
{
public:
  Worker(const WorkerPlace& aPlace, Fleet& aFleet);

  const WorkerPlace& Place() const { return place_; }
  const std::string& Id() const { return id_; }
  bool IsUp() const { return server_ != nullptr; }
  bool Runs(const std::string& aTask) const { return runs_.contains(aTask); }
  bool RunsJob(const std::string& aJob) const;

  /** Returns the processor capacity that its runs use. */
  std::int64_t UsedCpu() const;

  /** Sets whether the minion rejects start orders with 503, and does nothing then. It goes on to
   * check in and to answer polls. */
  void SetShedding(bool aShedding) { isShedding_ = aShedding; }

  /** Leaves the next start order of a job unanswered, and carries it out later, if a minion with
   * the id that the order names then lives at the address. */
  void DelayStartOf(const std::string& aJob, Milliseconds aDelay);

  bool HasDelayed() const { return hasDelayed_; }

  /** Ends the minion at once: what it ran and its lists are lost. Its entry in the store goes after
   * three check-in intervals. */
  void Crash();

  /** Starts a new minion on the machine, at the same address, and under a new id or the same. */
  void Boot(bool aKeepsId = false);

private:
  struct Run
  {
    std::int64_t number_ = 0;
    std::string checkpoint_; ///< With which it was started.
    Clock::time_point startedAt_;
  };
  struct End
  {
    std::int64_t number_ = 0;
    std::string task_;
    std::int64_t run_ = 0;
    std::string how_;
    std::string saved_;
  };
  struct WaitingPoll
  {
    QPointer<quetzal::http::ServerConnection> connection_;
    Clock::time_point until_;
  };

  /** Returns whether a request is the order to be delayed, and sees to it. */
  bool Delays(const quetzal::http::Request& aRequest, const quetzal::adapter::Body& aBody);
  void Serve(quetzal::http::ServerConnection* aConnection, const quetzal::http::Request& aRequest);
  quetzal::http::Response StartRun(const Value& aBody);
  quetzal::http::Response StopRun(const Value& aBody);
  bool IsFenced(const Value& aBody);
  void ExtendLease(std::int64_t aDeadlineMs);
  quetzal::http::Response MakeRefusal(const char* aReason) const;
  std::string StatusBytes() const;
  void WriteEntry();
  void Check();
  void CheckRun(const std::string& aTask,
                const Run& aRun,
                std::map<std::string, std::string>& aEnds);
  void EndRun(const std::string& aTask, const std::string& aHow);
  void BreakGang(const std::string& aTask, const Run& aRun);
  Gang* GangOf(const std::string& aTask, std::int64_t aRun);
  std::int64_t WorkDone(const std::string& aTask, const Run& aRun) const;
  std::string Saved(const std::string& aTask, const Run& aRun) const;
  std::int64_t ClockMs() const;

  WorkerPlace place_;
  Fleet& fleet_;
  std::string id_;
  int lives_ = 0;
  std::unique_ptr<quetzal::http::Server> server_;
  std::map<std::string, Run> runs_;
  std::vector<End> ends_;
  std::map<std::string, std::int64_t> ended_; ///< By task, the highest run stopped or ended here.
  std::vector<WaitingPoll> polls_;
  std::int64_t fence_ = 0;
  std::int64_t leaseEndMs_ = 0;
  std::int64_t nextEnd_ = 1;
  std::string delayedJob_;
  Milliseconds delay_{ 0 };
  bool hasDelayed_ = false;
  bool isShedding_ = false;
  std::int64_t sequence_ = 0;
  std::int64_t bornMs_ = 0;
  Clock::time_point bornAt_;
  QTimer checkTimer_;
  QTimer entryTimer_;
};

} // namespace review
