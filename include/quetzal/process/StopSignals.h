#pragma once

#include <QtCore/QObject>
#include <QtCore/QSocketNotifier>

/** Process functions that all binaries share. */
namespace quetzal::process {

/** Turns SIGTERM, SIGINT and SIGHUP into Qt signals that are emitted from the event loop. At most
 * one instance may exist in a process. */
class StopSignals : public QObject
{
  Q_OBJECT

public:
  explicit StopSignals(QObject* aParent = nullptr);

Q_SIGNALS:
  /** Emitted once for each SIGTERM or SIGINT. */
  void StopRequested();
  /** Emitted once for each SIGHUP: the settings file may have changed. */
  void ReloadRequested();

private:
  void Read();

  QSocketNotifier* notifier_ = nullptr;
};

/** Exit codes of every binary. */
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadInput = 2;

/** Reports to the parent process that this process is ready to serve, by writing the line
 * "ready" to standard output. */
void
AnnounceReady();

} // namespace quetzal::process
