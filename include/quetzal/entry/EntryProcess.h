#pragma once

#include "include/quetzal/claims/ClaimKeeper.h"
#include "include/quetzal/entry/CallerGate.h"
#include "include/quetzal/entry/Dispatcher.h"
#include "include/quetzal/entry/EntrySettings.h"
#include "include/quetzal/entry/Operators.h"
#include "include/quetzal/membership/PeerRegistry.h"
#include "include/quetzal/platform/EtcdStore.h"
#include "include/quetzal/platform/HostList.h"
#include "include/quetzal/shares/SlotShares.h"
#include "include/quetzal/view/StoreWatcher.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::entry {

/** The parts of quetzal-entryd and the course of its planned stop. */
class EntryProcess : public QObject
{
  Q_OBJECT

public:
  explicit EntryProcess(const EntrySettings& aSettings);

  /** Starts every part. @throws http::ListenError. */
  void Start();

  /** Begins the planned stop; further calls change nothing. */
  void Stop();

Q_SIGNALS:
  /** The planned stop is complete. */
  void Stopped();

private:
  void LinkParts();
  void ReadHostList();
  void OnClaimEnded(const claims::ClaimRequest& aRequest, const Verdict& aVerdict);
  void CheckStopped();
  QByteArray Status() const;

  EntrySettings settings_;
  metrics::Registry metrics_;
  platform::EtcdStore store_;
  platform::HostList hostList_;
  Dispatcher dispatcher_;
  claims::ClaimKeeper claims_;
  membership::PeerRegistry board_;
  shares::SlotShares shares_;
  CallerGate gate_;
  Operators operators_;
  view::StoreWatcher watcher_;
  QTimer hostListTimer_;
  QTimer stopTimer_;
  std::chrono::steady_clock::time_point stopBegun_{};
  bool stopping_ = false;
};

} // namespace quetzal::entry
