#pragma once

#include <QtCore/QAbstractEventDispatcher>
#include <QtCore/QSocketNotifier>
#include <array>
#include <memory>
#include <uv.h>

/** libuv's loop and handles, with the lifetimes that Qt expects. */
namespace quetzal::event {

/** A libuv loop, and a handle that wakes it from any thread. */
class UvLoop
{
public:
  /** Throws std::runtime_error if the system provides no loop. */
  UvLoop();
  ~UvLoop();
  UvLoop(const UvLoop&) = delete;
  UvLoop& operator=(const UvLoop&) = delete;

  uv_loop_t* Get() { return &loop_; }

  /** Handles the events that are due. @param aMayWait waits until there is one. */
  void Run(bool aMayWait);

  /** Ends a wait. May be called on any thread. */
  void WakeUp();

private:
  uv_loop_t loop_{};
  uv_async_t wakeUp_{};
};

/** Closes a handle and frees it afterwards: libuv still uses a handle while it is being closed. */
template<typename Handle>
struct UvCloser
{
  void operator()(Handle* aHandle) const
  {
    uv_close(reinterpret_cast<uv_handle_t*>(aHandle),
             [](uv_handle_t* aClosed) { delete reinterpret_cast<Handle*>(aClosed); });
  }
};

template<typename Handle>
using UvHandle = std::unique_ptr<Handle, UvCloser<Handle>>;

/** A timer of one QObject. It repeats until it is destroyed. */
class UvTimer
{
public:
  UvTimer(UvLoop& aLoop, const QAbstractEventDispatcher::TimerInfo& aInfo, QObject* aObject);

  const QAbstractEventDispatcher::TimerInfo& Info() const { return info_; }
  const QObject* Object() const { return object_; }

  /** Returns the milliseconds until the timer fires. */
  int RemainingMs() const;

private:
  void Start(std::uint64_t aDelayMs);
  void OnFired();

  QAbstractEventDispatcher::TimerInfo info_;
  QObject* object_;
  UvHandle<uv_timer_t> handle_;
};

/** The notifiers of one descriptor. */
class UvSocket
{
public:
  UvSocket(UvLoop& aLoop, qintptr aDescriptor);
  ~UvSocket() { *isAlive_ = false; }
  UvSocket(const UvSocket&) = delete;
  UvSocket& operator=(const UvSocket&) = delete;

  void Set(QSocketNotifier::Type aType, QSocketNotifier* aNotifier);
  bool IsEmpty() const;

  /** Waits from now on for the events of the notifiers that are set. */
  void Update();

private:
  int WantedEvents() const;
  void OnReady(int aStatus, int aEvents);
  void Notify(QSocketNotifier::Type aType);

  std::array<QSocketNotifier*, 3> notifiers_{}; ///< By type.
  int events_ = 0;                              ///< Events that libuv waits for.
  /** Shared with a call of OnReady, which may destroy this object through a notifier. */
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
  UvHandle<uv_poll_t> handle_; ///< Null if the system cannot wait for the descriptor.
};

} // namespace quetzal::event
