#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/fleet/HostPort.h"
#include "include/quetzal/jobs/Configuration.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <QtCore/QObject>
#include <map>

/** The job manager's process on one entry host: membership, callers' requests, cells and the fleet.
 */
namespace quetzal::node {

using Registrations = std::map<std::string, workers::Registration>;
using Waves = std::map<std::int64_t, fleet::WaveRequest>;

/** The operators' configuration as the store holds it. */
struct StoredConfiguration
{
  std::int64_t revision_ = 0;
  std::string bytes_;

  bool operator==(const StoredConfiguration&) const = default;
};

/** The configuration, waves and worker registrations that the platform holds, kept up to date. */
class PlatformState : public QObject
{
  Q_OBJECT

public:
  using QObject::QObject;

  /** Starts or stops watching workers and waves, which only owners of cells need. */
  virtual void WatchWorkers(bool aEnabled) = 0;

  virtual bool HasConfiguration() const = 0;
  virtual const jobs::Configuration& Configuration() const = 0;
  /** Returns when the configuration was last known to be the newest. */
  virtual clock::Moment ConfigurationCheckedAt() const = 0;
  /** Returns whether the last call to the store that follows the configuration has failed. */
  virtual bool IsConfigurationWatchFailing() const = 0;
  /** Returns the configuration in force, encoded; its revision is 0 if there is none. */
  virtual const node::StoredConfiguration& StoredConfiguration() const = 0;
  /** Takes a configuration that another host has read from the store, if it is newer than the one
   * in force. @return whether it is in force now. */
  virtual bool OfferConfiguration(const node::StoredConfiguration& aConfiguration) = 0;
  virtual bool HasWorkers() const = 0;
  virtual const Registrations& Workers() const = 0;
  virtual const node::Waves& Waves() const = 0;

  /** Returns the key and value that show a wave's status to operators. */
  virtual std::pair<std::string, std::string> WaveStatus(std::int64_t aWave, bool aCompleted) = 0;

Q_SIGNALS:
  void ConfigurationChanged();
  void WorkersChanged();
  void WavesChanged();
};

} // namespace quetzal::node
