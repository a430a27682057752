#include "include/quetzal/process/StopSignals.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace quetzal::process {
namespace {

int gWriteEnd = -1;
constexpr char kStop = 1;
constexpr char kReload = 2;

/** Only calls that are safe inside a signal handler may stand here. */
void
OnSignal(int aSignal)
{
  const char byte = aSignal == SIGHUP ? kReload : kStop;
  [[maybe_unused]] const auto written = ::write(gWriteEnd, &byte, 1);
}

} // namespace

StopSignals::StopSignals(QObject* aParent)
  : QObject(aParent)
{
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
    throw std::system_error(errno, std::generic_category(), "pipe2");
  }
  gWriteEnd = ends[1];
  notifier_ = new QSocketNotifier(ends[0], QSocketNotifier::Read, this);
  connect(notifier_, &QSocketNotifier::activated, this, &StopSignals::Read);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

void
StopSignals::Read()
{
  char byte = 0;
  while (::read(static_cast<int>(notifier_->socket()), &byte, 1) == 1) {
    if (byte == kReload) {
      Q_EMIT ReloadAsked();
    } else {
      Q_EMIT StopAsked();
    }
  }
}

void
AnnounceReady()
{
  std::puts("ready");
  std::fflush(stdout);
}

} // namespace quetzal::process
