#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/fleet/HostPort.h"
#include "include/quetzal/jobs/Configuration.h"
#include "include/quetzal/workers/WorkerPort.h"

#include <QtCore/QObject>
#include <map>

/** One entry host's process: membership, callers, cells and the fleet. */
namespace quetzal::node {

using Registrations = std::map<std::string, workers::Registration>;
using Waves = std::map<std::int64_t, fleet::WaveRequest>;

/** What operators and workers have written, kept current. */
class PlatformState : public QObject
{
  Q_OBJECT

public:
  using QObject::QObject;

  /** Follows workers and waves too; only owners of cells need them. */
  virtual void WatchWorkers(bool aWanted) = 0;

  virtual bool HasConfiguration() const = 0;
  virtual const jobs::Configuration& Configuration() const = 0;
  /** The moment at which the configuration was last known to be the newest. */
  virtual clock::Moment ConfigurationCheckedAt() const = 0;
  virtual bool HasWorkers() const = 0;
  virtual const Registrations& Workers() const = 0;
  virtual const node::Waves& Waves() const = 0;

  /** Returns the key and value by which operators learn how far a wave is. */
  virtual std::pair<std::string, std::string> WaveStatus(std::int64_t aWave, bool aCompleted) = 0;

Q_SIGNALS:
  void ConfigurationChanged();
  void WorkersChanged();
  void WavesChanged();
};

} // namespace quetzal::node
