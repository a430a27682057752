#pragma once

#include "platform/standin/Store.h"
#include "review/standin-3/Minion.h"
#include "tests/harness/Client.h"

#include <QtCore/QProcess>
#include <QtCore/QTemporaryDir>
#include <memory>
#include <optional>
#include <set>

namespace review {

/** A service with its minions. */
struct ServiceOptions
{
  std::string name_;
  int minions_ = 3;
};

/** A queue of the configuration. */
struct QueueOptions
{
  std::string name_;
  std::string service_;
};

struct SiteOptions
{
  int entryHosts_ = 3;
  std::vector<ServiceOptions> services_;
  std::vector<QueueOptions> queues_;
  std::string kindOfFirst_ = "a"; ///< Kind of the first minion; all others are of kind "a".
};

/** One step of a job that a client hands in. */
struct StepOptions
{
  int count_ = 1;
  std::int64_t cpu_ = 1'800;
  std::int64_t memoryMb_ = 500;
  std::int64_t estimateMs_ = 640;
  bool lasts_ = false;
  int antiAffinity_ = 0;
  int mayMiss_ = 0;
  std::string requires_;
  std::string affinity_;
};

struct JobOptions
{
  std::string spec_;
  std::vector<StepOptions> steps_;
};

/** A small deployment: entry hosts with the program of the deploy file, each a process of its own,
 * and the platform with its store, its minions and its list of machines. */
class Site : public QObject
{
public:
  Site(const SiteOptions& aOptions, Record& aRecord);
  ~Site() override;

  /** Kills the process that owns a service's cell; it is started again. */
  void KillOwnerOf(const std::string& aService);

  /** Waits until every entry host counts the pending jobs of every queue. */
  bool WaitUntilServing();

  /** Writes a configuration with these queues. */
  void Configure(const std::vector<QueueOptions>& aQueues);

  /** Starts a minion again that has crashed. The store shows its new entry after a delay. */
  void StartAgain(std::size_t aIndex,
                  const std::string& aKind,
                  quetzal::clock::Milliseconds aDelay);

  /** Takes a minion and its machine away for good, without notice. */
  void LoseMinion(std::size_t aIndex);

  Minion& MinionAt(std::size_t aIndex) { return *minions_.at(aIndex); }
  std::size_t Minions() const { return minions_.size(); }
  int EntryHosts() const { return options_.entryHosts_; }

  /** Returns whether any minion runs a subtask. */
  bool Runs(const std::string& aTask) const;

  /** Hands a job in once. @return the status of the answer; 0 without one. */
  unsigned Submit(int aHost,
                  const std::string& aQueue,
                  const std::string& aId,
                  const JobOptions& aJob);
  /** Hands a job in as a client with four retries, each at another entry host. @return the status
   * of the last answer. */
  unsigned SubmitWithRetries(int aHost,
                             const std::string& aQueue,
                             const std::string& aId,
                             const JobOptions& aJob);
  /** Returns a job's state, or "status N" where the answer is another one than 200. */
  std::string StateOf(int aHost, const std::string& aQueue, const std::string& aId);
  /** Returns how many jobs of a queue an entry host gives as pending; nothing without an answer. */
  std::optional<std::int64_t> PendingOf(int aHost, const std::string& aQueue);

private:
  struct EntryHost
  {
    std::unique_ptr<QProcess> process_;
    std::string address_;
    std::string settingsFile_;
  };

  void WriteSettings(int aHost);
  void StartHost(int aHost);
  void OnHostEnded(int aHost);
  void Beat();
  void Register(Minion& aMinion);
  void ListMachines(quetzal::http::ServerConnection* aConnection) const;
  std::optional<quetzal::http::Response> Call(int aHost,
                                              const std::string& aMethod,
                                              const std::string& aTarget,
                                              const std::string& aBody);

  SiteOptions options_;
  Record& record_;
  std::string network_;
  QTemporaryDir folder_;
  std::unique_ptr<quetzal::adapter::standin::Store> store_;
  quetzal::http::Server cloud_;
  std::vector<std::unique_ptr<Minion>> minions_;
  std::vector<EntryHost> hosts_;
  std::int64_t version_ = 0;
  std::set<std::string> lost_;         ///< Minions that are lost for good.
  std::set<std::string> unregistered_; ///< Minions whose new entries the store does not show yet.
  QTimer beatTimer_;
  bool ending_ = false;
};

/** Returns a job's id: 16 digits. */
std::string
IdOf(int aNumber);

} // namespace review
