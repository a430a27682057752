#include "src/event/UvHandles.h"

#include "include/quetzal/log/Log.h"

#include <QtCore/QCoreApplication>
#include <algorithm>
#include <stdexcept>

namespace quetzal::event {
namespace {

void
ThrowIfFailed(int aResult, const char* aWhat)
{
  if (aResult != 0) {
    throw std::runtime_error(std::string(aWhat) + ": " + uv_strerror(aResult));
  }
}

std::uint64_t
ToDelay(qint64 aMs)
{
  return static_cast<std::uint64_t>(std::max<qint64>(aMs, 0));
}

} // namespace

UvLoop::UvLoop()
{
  ThrowIfFailed(uv_loop_init(&loop_), "event loop");
  ThrowIfFailed(uv_async_init(&loop_, &wakeUp_, [](uv_async_t* /*aHandle*/) {}), "event loop");
}

UvLoop::~UvLoop()
{
  uv_close(reinterpret_cast<uv_handle_t*>(&wakeUp_), nullptr);
  uv_run(&loop_, UV_RUN_DEFAULT); // Completes the closing of all handles.
  uv_loop_close(&loop_);
}

void
UvLoop::Run(bool aMayWait)
{
  uv_run(&loop_, aMayWait ? UV_RUN_ONCE : UV_RUN_NOWAIT);
}

void
UvLoop::WakeUp()
{
  uv_async_send(&wakeUp_);
}

// --- Timers --------------------------------------------------------------------------------------

UvTimer::UvTimer(UvLoop& aLoop, const QAbstractEventDispatcher::TimerInfo& aInfo, QObject* aObject)
  : info_(aInfo)
  , object_(aObject)
  , handle_(new uv_timer_t)
{
  uv_timer_init(aLoop.Get(), handle_.get());
  handle_->data = this;
  Start(ToDelay(info_.interval));
}

void
UvTimer::Start(std::uint64_t aDelayMs)
{
  // A timer must not fire early. The loop's time is that of its last wait, and is cut to whole
  // milliseconds.
  uv_update_time(handle_->loop);
  const std::uint64_t roundingMs = aDelayMs == 0 ? 0 : 1;
  uv_timer_start(
    handle_.get(),
    [](uv_timer_t* aHandle) { static_cast<UvTimer*>(aHandle->data)->OnFired(); },
    aDelayMs + roundingMs,
    0);
}

void
UvTimer::OnFired()
{
  // Sockets get their turn between two expiries of a timer without an interval.
  Start(std::max<std::uint64_t>(ToDelay(info_.interval), 1));
  QTimerEvent event(info_.timerId);
  QCoreApplication::sendEvent(object_, &event); // May destroy this timer.
}

int
UvTimer::RemainingMs() const
{
  uv_update_time(handle_->loop);
  return static_cast<int>(uv_timer_get_due_in(handle_.get()));
}

// --- Sockets -------------------------------------------------------------------------------------

UvSocket::UvSocket(UvLoop& aLoop, qintptr aDescriptor)
{
  auto handle = std::make_unique<uv_poll_t>();
  const int result = uv_poll_init(aLoop.Get(), handle.get(), static_cast<int>(aDescriptor));
  if (result != 0) {
    log::Warn(
      "event", "event=not-watched descriptor=", aDescriptor, " error=", uv_strerror(result));
    return;
  }
  handle_.reset(handle.release());
  handle_->data = this;
}

void
UvSocket::Set(QSocketNotifier::Type aType, QSocketNotifier* aNotifier)
{
  notifiers_.at(aType) = aNotifier;
}

bool
UvSocket::IsEmpty() const
{
  return std::all_of(notifiers_.begin(), notifiers_.end(), [](const QSocketNotifier* aNotifier) {
    return aNotifier == nullptr;
  });
}

int
UvSocket::WantedEvents() const
{
  int events = 0;
  events |= notifiers_[QSocketNotifier::Read] == nullptr ? 0 : UV_READABLE;
  events |= notifiers_[QSocketNotifier::Write] == nullptr ? 0 : UV_WRITABLE;
  events |= notifiers_[QSocketNotifier::Exception] == nullptr ? 0 : UV_PRIORITIZED;
  return events;
}

void
UvSocket::Update()
{
  const int wanted = WantedEvents();
  if (handle_ == nullptr || wanted == events_) {
    return;
  }
  events_ = wanted;
  uv_poll_start(handle_.get(), wanted, [](uv_poll_t* aHandle, int aStatus, int aEvents) {
    static_cast<UvSocket*>(aHandle->data)->OnReady(aStatus, aEvents);
  });
}

void
UvSocket::OnReady(int aStatus, int aEvents)
{
  int events = aEvents;
  if (aStatus < 0) {
    // The socket has an error, which its notifiers read. libuv has stopped waiting for it.
    events = events_;
    events_ = 0;
  }
  const std::shared_ptr<bool> isAlive = isAlive_;
  if ((events & UV_PRIORITIZED) != 0) {
    Notify(QSocketNotifier::Exception);
  }
  if (*isAlive && (events & UV_READABLE) != 0) {
    Notify(QSocketNotifier::Read);
  }
  if (*isAlive && (events & UV_WRITABLE) != 0) {
    Notify(QSocketNotifier::Write);
  }
}

void
UvSocket::Notify(QSocketNotifier::Type aType)
{
  if (QSocketNotifier* notifier = notifiers_.at(aType)) {
    QEvent event(QEvent::SockAct);
    QCoreApplication::sendEvent(notifier, &event);
  }
}

} // namespace quetzal::event
