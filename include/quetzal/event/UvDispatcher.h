#pragma once

#include <QtCore/QAbstractEventDispatcher>
#include <atomic>
#include <memory>
#include <set>
#include <unordered_map>

/** The event loop of every binary. */
namespace quetzal::event {

class UvLoop;
class UvSocket;
class UvTimer;

/** Runs Qt's events, timers and socket notifiers on a libuv loop. Qt's own dispatchers pass all
 * sockets to the kernel and walk all timers at each wait, so that an event costs more the more
 * connections a process has; here it does not. */
class UvDispatcher : public QAbstractEventDispatcher
{
  Q_OBJECT

public:
  explicit UvDispatcher(QObject* aParent = nullptr);
  ~UvDispatcher() override;

  bool processEvents(QEventLoop::ProcessEventsFlags aFlags) override;

  void registerSocketNotifier(QSocketNotifier* aNotifier) override;
  void unregisterSocketNotifier(QSocketNotifier* aNotifier) override;

  void registerTimer(int aId, qint64 aInterval, Qt::TimerType aType, QObject* aObject) override;
  bool unregisterTimer(int aId) override;
  bool unregisterTimers(QObject* aObject) override;
  QList<TimerInfo> registeredTimers(QObject* aObject) const override;
  int remainingTime(int aId) override;

  void wakeUp() override;
  void interrupt() override;

private:
  void UpdateSockets();

  std::unique_ptr<UvLoop> loop_;
  std::unordered_map<int, std::unique_ptr<UvTimer>> timers_;       ///< By Qt's id of the timer.
  std::unordered_map<qintptr, std::unique_ptr<UvSocket>> sockets_; ///< By descriptor.
  std::set<qintptr> changedSockets_; ///< Sockets whose notifiers have changed since the last wait.
  std::atomic<bool> wakeRequested_ = false;
  std::atomic<bool> interrupted_ = false;
};

} // namespace quetzal::event
