#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/http/Server.h"
#include "platform/Body.h"
#include "review/standin-3/Record.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>
#include <map>
#include <memory>
#include <set>

namespace review {

/** How a minion treats calls. */
enum class MinionMode : std::uint8_t
{
  kSound,
  kCutOneWay, ///< Carries all calls out; none of its answers arrives.
  kLost,      ///< Without power: nothing happens, and open channels hang.
};

struct MinionOptions
{
  std::string id_;
  std::string service_;
  std::string zone_;
  std::string kind_ = "a";
  std::string rack_;
  quetzal::settings::Endpoint endpoint_;
  std::int64_t cpu_ = 32'000;
};

/** A minion whose subtasks are simulated by timers. A subtask's spec tells its processor need and
 * its duration: "cpu=1800 ms=640"; one without a duration lasts until it is stopped. */
class Minion : public QObject
{
public:
  Minion(const MinionOptions& aOptions, Record& aRecord);

  const MinionOptions& Options() const { return options_; }

  /** Returns what the minion writes into the store at each heartbeat. */
  std::string Registration();

  void SetMode(MinionMode aMode);

  /** Leaves the next start order for a subtask unanswered, and carries it out after a delay. */
  void DelayStartOf(const std::string& aTask, quetzal::clock::Milliseconds aDelay);
  /** Returns whether that order has come. */
  bool HasDelayedStart() const { return hasDelayedStart_; }

  /** Returns how many runs of a subtask have begun here. */
  int StartsOf(const std::string& aTask) const;
  /** Returns whether a run of the subtask has ended `done` and last-seen has reached that end. */
  bool IsDoneNoted(const std::string& aTask) const { return doneNoted_.contains(aTask); }

  /** Ends the process: all that it runs ends, and its channels and its port close. */
  void Crash();
  /** Starts the process again, under its id and at its address, with nothing of before. */
  void StartAgain(const std::string& aKind);
  bool IsUp() const { return server_ != nullptr; }

  /** Returns the processor need of all that runs. */
  std::int64_t UsedCpu() const;
  bool Runs(const std::string& aTask) const;

private:
  using Key = std::pair<std::string, std::int64_t>;

  struct Run
  {
    std::int64_t cpu_ = 0;
    quetzal::clock::Moment endsAt_{};
  };
  struct End
  {
    std::int64_t number_ = 0;
    Key key_;
    std::string how_;
  };
  struct WaitingLook
  {
    QPointer<quetzal::http::ServerConnection> connection_;
    quetzal::clock::Moment endsAt_{};
  };

  void Listen();
  /** Returns whether a call is the order to be delayed, and takes it. */
  bool TakeDelayed(const quetzal::http::Request& aRequest, const quetzal::adapter::Body& aBody);
  void Serve(quetzal::http::ServerConnection* aConnection, const quetzal::http::Request& aRequest);
  quetzal::http::Response Start(const quetzal::adapter::Value& aOrder);
  quetzal::http::Response Stop(const quetzal::adapter::Value& aOrder);
  bool TakeHold(const quetzal::adapter::Value& aCall);
  bool IsFenced(const quetzal::adapter::Value& aCall);
  void ExtendLease(std::int64_t aDeadlineMs);
  void EndRun(const Key& aKey, const std::string& aHow);
  void OnTimer();
  std::int64_t ClockMs() const;
  quetzal::http::Response Accept() const;
  quetzal::http::Response Reject(const std::string& aReason) const;
  quetzal::http::Response Lists() const;

  MinionOptions options_;
  Record& record_;
  std::unique_ptr<quetzal::http::Server> server_; ///< Null while the process is down.
  MinionMode mode_ = MinionMode::kSound;
  std::map<Key, Run> running_;
  std::vector<End> ended_;
  std::map<std::string, std::int64_t> highestEnded_; ///< By subtask: the last run that ended.
  std::string delayedTask_; ///< Its next start order is delayed; empty: none.
  quetzal::clock::Milliseconds startDelay_{ 0 };
  bool hasDelayedStart_ = false;
  std::map<std::string, int> starts_; ///< In all lives.
  std::set<std::string> doneNoted_;
  std::vector<WaitingLook> waiting_;
  std::int64_t fence_ = 0;
  std::int64_t leaseEndMs_ = 0;
  std::int64_t nextEnd_ = 1;
  std::int64_t beats_ = 0;
  std::int64_t bornMs_ = 0;
  quetzal::clock::Moment bornAt_{};
  QTimer timer_;
};

} // namespace review
