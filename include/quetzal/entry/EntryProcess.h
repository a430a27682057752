#pragma once

#include "include/quetzal/claims/ClaimRegistry.h"
#include "include/quetzal/entry/CallerServer.h"
#include "include/quetzal/entry/Dispatcher.h"
#include "include/quetzal/entry/EntrySettings.h"
#include "include/quetzal/entry/OperatorServer.h"
#include "include/quetzal/membership/PeerRegistry.h"
#include "include/quetzal/platform/EtcdStore.h"
#include "include/quetzal/platform/HostList.h"
#include "include/quetzal/shares/SlotShares.h"
#include "include/quetzal/view/StoreWatcher.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::entry {

/** Owns the parts of quetzal-entryd and runs its planned stop. */
class EntryProcess : public QObject
{
  Q_OBJECT

public:
  explicit EntryProcess(const EntrySettings& aSettings);

  /** Starts all parts. @throws http::ListenError. */
  void Start();

  /** Starts the planned stop. Further calls have no effect. */
  void Stop();

Q_SIGNALS:
  /** The planned stop is complete. */
  void Stopped();

private:
  void ConnectSignals();
  void ReadHostList();
  void OnClaimEnded(const claims::ClaimRequest& aRequest, const RequestResult& aResult);
  void CheckStopped();
  bool HasFlushedClaims();
  void LogUnfinished() const;
  QByteArray Status() const;

  EntrySettings settings_;
  metrics::Registry metrics_;
  platform::EtcdStore store_;
  platform::HostList hostList_;
  Dispatcher dispatcher_;
  claims::ClaimRegistry claims_;
  membership::PeerRegistry peers_;
  shares::SlotShares shares_;
  CallerServer callerServer_;
  OperatorServer operatorServer_;
  view::StoreWatcher watcher_;
  QTimer hostListTimer_;
  QTimer stopTimer_;
  process::StopSchedule stopSchedule_;
  clock::Moment stopStartedAt_{};
  clock::Moment flushStartedAt_{};
  bool stopping_ = false;
};

} // namespace quetzal::entry
