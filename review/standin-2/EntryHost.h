#pragma once

#include "include/quetzal/connection/Client.h"
#include "review/standin-2/Platform.h"

#include <QtCore/QProcess>

namespace review {

/** A machine of the system: a process with the command of the deploy file, and the settings that
 * the platform fills into the deploy file's template. */
class EntryHost
{
public:
  /** @param aFolder a temporary folder. */
  EntryHost(const std::string& aName,
            const std::string& aAddress,
            const std::string& aZone,
            const Platform& aPlatform,
            const std::string& aFolder,
            Record& aRecord);
  ~EntryHost();

  const std::string& Name() const { return name_; }
  const quetzal::settings::Endpoint& Callers() const { return callers_; }
  quetzal::connection::Client& Client() { return *client_; }

  void Start();
  void Kill();
  bool IsRunning() const { return process_.state() == QProcess::Running; }

  /** Returns whether its log says that it has taken over a cell. */
  bool HasBegunCell(const std::string& aCell) const;

  /** Returns how often the process has ended without being killed. */
  int OwnEnds() const { return ownEnds_; }

  /** Returns the process's resident memory; 0 if it does not run. */
  double MemoryMb() const;

private:
  std::string name_;
  std::string settingsFile_;
  std::string logFile_;
  quetzal::settings::Endpoint callers_;
  std::unique_ptr<quetzal::connection::Client> client_;
  QProcess process_;
  Record& record_;
  bool isKilled_ = false;
  int ownEnds_ = 0;
};

/** Memory of a small deployment's machines. */
inline constexpr int kMemoryLimitMb = 260;

} // namespace review
