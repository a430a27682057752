#pragma once

#include <QtCore/QObject>
#include <QtCore/QSocketNotifier>

/** What every binary's process has in common. */
namespace quetzal::process {

/** Turns SIGTERM, SIGINT and SIGHUP into messages of the event loop. At most one of these may
 * exist. */
class StopSignals : public QObject
{
  Q_OBJECT

public:
  explicit StopSignals(QObject* aParent = nullptr);

Q_SIGNALS:
  /** Comes once for each SIGTERM or SIGINT. */
  void StopAsked();
  /** Comes once for each SIGHUP: the settings file may have changed. */
  void ReloadAsked();

private:
  void Read();

  QSocketNotifier* notifier_ = nullptr;
};

/** Exit codes of every binary. */
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadInput = 2;

/** Tells whoever started this process that it serves: one line on standard output. */
void
AnnounceReady();

} // namespace quetzal::process
