#pragma once

#include "include/quetzal/connection/Attempt.h"
#include "include/quetzal/connection/AttemptResult.h"
#include "include/quetzal/connection/ConnectionSet.h"
#include "include/quetzal/connection/Health.h"
#include "include/quetzal/metrics/Registry.h"

#include <QtCore/QTimer>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace quetzal::connection {

/** One backend server of one service: its connections, its slots and its health. */
class BackendPool : public QObject
{
  Q_OBJECT

public:
  BackendPool(const document::Service& aService,
              const document::Host& aHost,
              metrics::Registry& aMetrics,
              QObject* aParent);

  /** Starts an attempt. FreeSlots() must be positive for its class. */
  void Start(const Attempt& aAttempt);

  /** Ends an attempt that has stayed silent; AttemptEnded() follows. What it started may go on. */
  void Abandon(std::uint64_t aRequest);

  /** Returns the attempts of a class that may be started now. */
  int FreeSlots(document::WorkClass aClass) const;

  /** Returns the slots in use, those of abandoned attempts included. */
  int UsedSlots() const;

  /** Returns the attempts under way. */
  int RunningAttempts() const { return static_cast<int>(running_.size()); }

  /** Returns when the last attempt was started. */
  clock::Moment LastStart() const { return lastStart_; }

  HealthState State() const { return health_.state_; }
  const document::Host& Host() const { return host_; }
  const document::Service& Service() const { return service_; }

  /** Sets this entry host's share of the slots and its bound on connections. */
  void SetShare(int aSlots, int aConnections);

  /** Takes over a changed promise of the same service. */
  void SetService(const document::Service& aService);

  /** Starts no further work, and deletes this once the last attempt has ended. */
  void Retire();

Q_SIGNALS:
  void AttemptEnded(const quetzal::connection::AttemptResult& aResult);
  /** Nothing has been heard of an attempt within its silence bound. It goes on unless it is given
   * up. */
  void AttemptSilent(std::uint64_t aRequest);
  /** A slot has become free, or the health has changed. */
  void CapacityChanged();

private:
  struct Exchange
  {
    Attempt attempt_;
    BackendConnection* connection_ = nullptr;
    clock::Moment startedAt_{};
    clock::Moment silentAfter_{}; ///< Written to and not heard of by then: silent. Unset: no bound.
    bool probing_ = false;
  };

  void AssignConnection(Exchange& aExchange);
  void Probe(Exchange& aExchange);
  void Write(Exchange& aExchange);
  void OnAnswer(BackendConnection* aConnection, const http::Response& aResponse);
  void OnFailure(BackendConnection* aConnection, ExchangeError aError);
  void ReportSilent();
  void End(std::uint64_t aRequest, AttemptResult aResult);
  Exchange* FindExchange(const BackendConnection* aConnection);

  void CheckHealth();
  void SetHealth(const Health& aHealth);
  void RemoveExpiredSlots();
  void DeleteIfDone();

  document::Service service_;
  document::Host host_;
  metrics::Registry& metrics_;
  std::unordered_map<std::uint64_t, Exchange> running_;
  ConnectionSet connections_;
  std::vector<clock::Moment> abandonedSlots_; ///< Ends of slots whose attempts were abandoned.
  BackendConnection* healthConnection_ = nullptr;
  QTimer healthTimer_;
  QTimer silenceTimer_;
  Health health_;
  clock::Moment lastStart_{};
  int slotShare_ = 0;
  int connectionCap_ = 2;
  bool retired_ = false;
};

} // namespace quetzal::connection
