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

/** The connections, slots and health of one backend server of one service. */
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

  /** Ends a silent attempt, which may still be running on the backend server. AttemptEnded()
   * follows. */
  void Abandon(std::uint64_t aRequest);

  /** Returns how many attempts of a class may be started now. */
  int FreeSlots(document::WorkClass aClass) const;

  /** Returns the slots in use, including those that abandoned attempts may still use. */
  int UsedSlots() const;

  /** Returns the number of attempts in flight. */
  int RunningAttempts() const { return static_cast<int>(running_.size()); }

  /** Returns when the last attempt was started. */
  clock::Moment LastStart() const { return lastStart_; }

  HealthState State() const { return health_.state_; }
  const document::Host& Host() const { return host_; }
  const document::Service& Service() const { return service_; }

  /** Sets this entry host's share of the slots, and how many connections it may open. */
  void SetShare(int aSlots, int aConnections);

  /** Replaces the service's settings by those of a newer document. */
  void SetService(const document::Service& aService);

  /** Makes FreeSlots() return 0, and deletes this pool once the last attempt has ended. */
  void Retire();

Q_SIGNALS:
  void AttemptEnded(const quetzal::connection::AttemptResult& aResult);
  /** No byte of an attempt's answer has arrived within its silence timeout. The attempt continues
   * unless it is abandoned. */
  void AttemptSilent(std::uint64_t aRequest);
  /** A slot has become free, the share of the slots has grown, or the health has changed. */
  void CapacityChanged();

private:
  struct Exchange
  {
    Attempt attempt_;
    BackendConnection* connection_ = nullptr;
    clock::Moment startedAt_{};
    /** When the attempt is reported as silent if no byte of its answer has arrived. Unset if there
     * is no limit. */
    clock::Moment silentAfter_{};
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
  /** For each slot that an abandoned attempt may still use, the latest moment at which the slot
   * becomes free. */
  std::vector<clock::Moment> abandonedSlots_;
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
