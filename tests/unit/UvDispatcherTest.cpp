#include "include/quetzal/event/UvDispatcher.h"

#include <QtCore/QElapsedTimer>
#include <QtCore/QEventLoop>
#include <QtCore/QSocketNotifier>
#include <QtCore/QThread>
#include <QtCore/QTimer>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace std::chrono_literals;

/** Two connected sockets. */
struct SocketPair
{
  SocketPair() { BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()) == 0); }
  ~SocketPair()
  {
    for (const int end : ends_) {
      if (end >= 0) {
        ::close(end);
      }
    }
  }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;

  void Send() const { BOOST_TEST(::write(ends_[1], "x", 1) == 1); }
  void Receive() const
  {
    char byte = 0;
    BOOST_TEST(::read(ends_[0], &byte, 1) == 1);
  }

  std::array<int, 2> ends_{ -1, -1 };
};

/** Runs the functions under test on a thread whose events a UvDispatcher handles. */
struct DispatcherFixture
{
  /** Calls a function on that thread and waits until the thread's event loop has ended. */
  void Run(const std::function<void(QEventLoop&)>& aSetUp)
  {
    std::unique_ptr<QThread> thread(QThread::create([&aSetUp] {
      QEventLoop loop;
      QTimer::singleShot(5s, &loop, [&loop] { loop.exit(1); });
      aSetUp(loop);
      timedOut_ = loop.exec() != 0;
    }));
    thread->setEventDispatcher(new quetzal::event::UvDispatcher);
    thread->start();
    thread->wait();
    BOOST_TEST(!timedOut_);
  }

  static inline bool timedOut_ = false;
};

BOOST_FIXTURE_TEST_SUITE(UvDispatcher, DispatcherFixture)

/** The loop's own time is that of its last wait, and must not count for a timer's span. */
BOOST_AUTO_TEST_CASE(Timers_StartedLongAfterTheLastWait_FireInOrderAndNotEarly)
{
  std::vector<int> fired;
  std::vector<qint64> early;
  Run([&](QEventLoop& aLoop) {
    QTimer::singleShot(1, &aLoop, [&] {
      std::this_thread::sleep_for(25ms);
      auto clock = std::make_shared<QElapsedTimer>();
      clock->start();
      for (const int span : { 30, 10, 20 }) {
        QTimer::singleShot(span, Qt::PreciseTimer, &aLoop, [&, clock, span] {
          fired.push_back(span);
          if (clock->elapsed() < span) {
            early.push_back(clock->elapsed());
          }
          if (span == 30) {
            aLoop.quit();
          }
        });
      }
    });
  });
  BOOST_TEST(fired == std::vector<int>({ 10, 20, 30 }), boost::test_tools::per_element());
  BOOST_TEST(early.empty());
}

BOOST_AUTO_TEST_CASE(Timer_ThatIsDestroyedByItsOwnExpiry_FiresOnce)
{
  int fired = 0;
  Run([&](QEventLoop& aLoop) {
    auto* timer = new QTimer;
    QObject::connect(timer, &QTimer::timeout, &aLoop, [&fired, timer] {
      ++fired;
      delete timer;
    });
    timer->start(1);
    QTimer::singleShot(30, &aLoop, &QEventLoop::quit);
  });
  BOOST_TEST(fired == 1);
}

BOOST_AUTO_TEST_CASE(Socket_BesideATimerWithoutInterval_IsRead)
{
  int received = 0;
  Run([&](QEventLoop& aLoop) {
    auto pair = std::make_shared<SocketPair>();
    auto* busy = new QTimer(&aLoop);
    busy->start(0);
    auto* notifier = new QSocketNotifier(pair->ends_[0], QSocketNotifier::Read, &aLoop);
    QObject::connect(notifier, &QSocketNotifier::activated, &aLoop, [&received, pair, &aLoop] {
      pair->Receive();
      ++received;
      aLoop.quit();
    });
    pair->Send();
  });
  BOOST_TEST(received == 1);
}

/** A closed descriptor's number is used again for the next socket, before the loop has waited. */
BOOST_AUTO_TEST_CASE(Socket_WithANumberUsedBefore_IsRead)
{
  int received = 0;
  Run([&](QEventLoop& aLoop) {
    auto first = std::make_shared<SocketPair>();
    auto* old = new QSocketNotifier(first->ends_[0], QSocketNotifier::Read, &aLoop);
    QTimer::singleShot(5, &aLoop, [&received, &aLoop, first, old] {
      const int number = first->ends_[0];
      old->setEnabled(false);
      ::close(std::exchange(first->ends_[0], -1));
      auto second = std::make_shared<SocketPair>();
      BOOST_REQUIRE(second->ends_[0] == number);
      auto* notifier = new QSocketNotifier(number, QSocketNotifier::Read, &aLoop);
      QObject::connect(notifier, &QSocketNotifier::activated, &aLoop, [&received, second, &aLoop] {
        second->Receive();
        ++received;
        aLoop.quit();
      });
      second->Send();
    });
  });
  BOOST_TEST(received == 1);
}

BOOST_AUTO_TEST_CASE(Notifier_ThatIsDisabledAndEnabledAgain_StillReportsEvents)
{
  int received = 0;
  Run([&](QEventLoop& aLoop) {
    auto pair = std::make_shared<SocketPair>();
    auto* reader = new QSocketNotifier(pair->ends_[0], QSocketNotifier::Read, &aLoop);
    auto* writer = new QSocketNotifier(pair->ends_[0], QSocketNotifier::Write, &aLoop);
    QObject::connect(writer, &QSocketNotifier::activated, &aLoop, [writer, reader, pair] {
      writer->setEnabled(false);
      reader->setEnabled(false);
      reader->setEnabled(true);
      pair->Send();
    });
    QObject::connect(reader, &QSocketNotifier::activated, &aLoop, [&received, pair, &aLoop] {
      pair->Receive();
      ++received;
      aLoop.quit();
    });
  });
  BOOST_TEST(received == 1);
}

/** The system cannot wait for a file. A notifier of one must not end the process. */
BOOST_AUTO_TEST_CASE(Notifier_OfADescriptorThatCannotBeWatched_IsIgnored)
{
  Run([](QEventLoop& aLoop) {
    const int file = ::open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    BOOST_REQUIRE(file >= 0);
    auto* notifier = new QSocketNotifier(file, QSocketNotifier::Read, &aLoop);
    QTimer::singleShot(10, &aLoop, [&aLoop, notifier, file] {
      delete notifier;
      ::close(file);
      aLoop.quit();
    });
  });
}

BOOST_AUTO_TEST_CASE(Wait_DuringWhichAnotherThreadPosts_Ends)
{
  bool called = false;
  std::thread other;
  Run([&](QEventLoop& aLoop) {
    other = std::thread([&called, &aLoop] {
      std::this_thread::sleep_for(20ms);
      QMetaObject::invokeMethod(
        &aLoop,
        [&called, &aLoop] {
          called = true;
          aLoop.quit();
        },
        Qt::QueuedConnection);
    });
  });
  other.join();
  BOOST_TEST(called);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
