#include "include/quetzal/event/UvDispatcher.h"

#include "src/event/UvHandles.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QThread>

namespace quetzal::event {

UvDispatcher::UvDispatcher(QObject* aParent)
  : QAbstractEventDispatcher(aParent)
  , loop_(std::make_unique<UvLoop>())
{
}

UvDispatcher::~UvDispatcher() = default;

bool
UvDispatcher::processEvents(QEventLoop::ProcessEventsFlags aFlags)
{
  interrupted_ = false;
  wakeRequested_ = false;
  Q_EMIT awake();
  QCoreApplication::sendPostedEvents();
  if (interrupted_) {
    return false;
  }
  // An event that is posted from here on sets wakeRequested_.
  const bool mayWait = aFlags.testFlag(QEventLoop::WaitForMoreEvents) && !wakeRequested_;
  if (mayWait) {
    Q_EMIT aboutToBlock();
  }
  UpdateSockets();
  loop_->Run(mayWait);
  return true;
}

// --- Sockets -------------------------------------------------------------------------------------

void
UvDispatcher::registerSocketNotifier(QSocketNotifier* aNotifier)
{
  const qintptr descriptor = aNotifier->socket();
  std::unique_ptr<UvSocket>& socket = sockets_[descriptor];
  if (socket == nullptr) {
    socket = std::make_unique<UvSocket>(*loop_, descriptor);
  }
  socket->Set(aNotifier->type(), aNotifier);
  changedSockets_.insert(descriptor);
}

void
UvDispatcher::unregisterSocketNotifier(QSocketNotifier* aNotifier)
{
  const qintptr descriptor = aNotifier->socket();
  const auto entry = sockets_.find(descriptor);
  if (entry == sockets_.end()) {
    return;
  }
  entry->second->Set(aNotifier->type(), nullptr);
  if (entry->second->IsEmpty()) {
    // The descriptor may be closed next, and its number may be used again.
    sockets_.erase(entry);
    changedSockets_.erase(descriptor);
  } else {
    changedSockets_.insert(descriptor);
  }
}

void
UvDispatcher::UpdateSockets()
{
  for (const qintptr descriptor : changedSockets_) {
    sockets_.at(descriptor)->Update();
  }
  changedSockets_.clear();
}

// --- Timers --------------------------------------------------------------------------------------

void
UvDispatcher::registerTimer(int aId, qint64 aInterval, Qt::TimerType aType, QObject* aObject)
{
  const TimerInfo info(aId, static_cast<int>(aInterval), aType);
  timers_[aId] = std::make_unique<UvTimer>(*loop_, info, aObject);
}

bool
UvDispatcher::unregisterTimer(int aId)
{
  return timers_.erase(aId) > 0;
}

bool
UvDispatcher::unregisterTimers(QObject* aObject)
{
  return std::erase_if(timers_, [aObject](const auto& aEntry) {
           return aEntry.second->Object() == aObject;
         }) > 0;
}

QList<QAbstractEventDispatcher::TimerInfo>
UvDispatcher::registeredTimers(QObject* aObject) const
{
  QList<TimerInfo> timers;
  for (const auto& [id, timer] : timers_) {
    if (timer->Object() == aObject) {
      timers.append(timer->Info());
    }
  }
  return timers;
}

int
UvDispatcher::remainingTime(int aId)
{
  const auto timer = timers_.find(aId);
  return timer == timers_.end() ? -1 : timer->second->RemainingMs();
}

// --- Waking --------------------------------------------------------------------------------------

void
UvDispatcher::wakeUp()
{
  wakeRequested_ = true;
  if (QThread::currentThread() != thread()) {
    loop_->WakeUp();
  }
}

void
UvDispatcher::interrupt()
{
  interrupted_ = true;
  wakeUp();
}

} // namespace quetzal::event
