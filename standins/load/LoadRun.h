#pragma once

#include "include/quetzal/connection/BackendConnection.h"

#include <QtCore/QTimer>
#include <chrono>
#include <map>
#include <string>
#include <vector>

/** A load generator: sends requests and records the outcome of each. */
namespace standins::load {

/** The requests of a run and their targets. */
struct LoadOptions
{
  std::vector<quetzal::settings::Endpoint> targets_; ///< Entry hosts, used in turn.
  std::string service_;
  std::string path_ = "/";
  std::string method_ = "GET";
  std::string idPrefix_ = "load";
  bool keyed_ = false;
  bool direct_ = false;    ///< The targets are backend servers, not entry hosts.
  double perSecond_ = 100; ///< Rate of the open loop.
  int inFlight_ = 0;       ///< If above 0, a closed loop keeps this many requests in flight.
  std::chrono::milliseconds duration_{ 1'000 };
  std::chrono::milliseconds deadline_{ 2'000 };
};

/** The outcome of one request as the caller received it. */
struct LoadRecord
{
  std::string id_;
  std::string outcome_; ///< "answered", "not-run", "unknown"; "cut" if no answer arrived.
  std::string reason_;
  unsigned status_ = 0;
  double milliseconds_ = 0;
  double sentAt_ = 0; ///< Milliseconds since the run started.
};

/** Sends the requests of one run: in an open loop, at a rate that does not depend on answers, or in
 * a closed loop, where each answer triggers the next request. */
class LoadRun : public QObject
{
  Q_OBJECT

public:
  explicit LoadRun(const LoadOptions& aOptions, QObject* aParent = nullptr);

  void Start();
  const std::vector<LoadRecord>& Records() const { return records_; }

Q_SIGNALS:
  void Ended();

private:
  struct Target
  {
    quetzal::settings::Endpoint endpoint_;
    std::vector<quetzal::connection::BackendConnection*> idle_;
  };

  void Tick();
  void SendOne();
  bool IsClosedLoop() const { return options_.inFlight_ > 0; }
  void Record(LoadRecord aRecord);

  LoadOptions options_;
  std::vector<Target> targets_;
  std::vector<LoadRecord> records_;
  QTimer timer_;
  std::chrono::steady_clock::time_point started_{};
  std::size_t planned_ = 0;
  std::size_t sent_ = 0;
};

} // namespace standins::load
