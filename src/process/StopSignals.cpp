#include "include/quetzal/process/StopSignals.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace quetzal::process {
namespace {

int gPipeWriteEnd = -1;
constexpr char kStopByte = 1;
constexpr char kReloadByte = 2;

/** Signal handler: may only make async-signal-safe calls. */
void
OnSignal(int aSignal)
{
  const char byte = aSignal == SIGHUP ? kReloadByte : kStopByte;
  [[maybe_unused]] const auto written = ::write(gPipeWriteEnd, &byte, 1);
}

} // namespace

StopSignals::StopSignals(QObject* aParent)
  : QObject(aParent)
{
  std::array<int, 2> pipeEnds{};
  if (::pipe2(pipeEnds.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
    throw std::system_error(errno, std::generic_category(), "pipe2");
  }
  gPipeWriteEnd = pipeEnds[1];
  notifier_ = new QSocketNotifier(pipeEnds[0], QSocketNotifier::Read, this);
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
    if (byte == kReloadByte) {
      Q_EMIT ReloadRequested();
    } else {
      Q_EMIT StopRequested();
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
