#include "tests/harness/Process.h"

#include <QtCore/QDir>
#include <QtCore/QFile>
#include <QtCore/QStringList>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace harness {
namespace {

constexpr int kStartBoundMs = 20'000;
constexpr int kEndBoundMs = 60'000;

QString
PathOf(const std::string& aBinary)
{
  return QString::fromStdString(std::string(BINARY_DIR) + "/" + aBinary);
}

QStringList
ToList(const std::vector<std::string>& aArguments)
{
  QStringList list;
  for (const std::string& argument : aArguments) {
    list << QString::fromStdString(argument);
  }
  return list;
}

} // namespace

Process::Process(const std::string& aBinary, const std::vector<std::string>& aArguments)
  : process_(std::make_unique<QProcess>())
{
  process_->setProcessChannelMode(QProcess::ForwardedErrorChannel);
  if (qEnvironmentVariableIsEmpty("HARNESS_LOGS")) {
    process_->setStandardErrorFile(QProcess::nullDevice());
    process_->setProcessChannelMode(QProcess::SeparateChannels);
  }
  process_->start(PathOf(aBinary), ToList(aArguments));
  while (!process_->canReadLine()) {
    if (!process_->waitForReadyRead(kStartBoundMs)) {
      throw std::runtime_error(aBinary + " did not become ready");
    }
  }
}

Process::~Process()
{
  if (IsRunning()) {
    ::kill(static_cast<pid_t>(Id()), SIGCONT);
    process_->kill();
    process_->waitForFinished(kEndBoundMs);
  }
}

void
Process::Signal(int aSignal) const
{
  ::kill(static_cast<pid_t>(Id()), aSignal);
}

int
Process::Wait()
{
  if (IsRunning() && !process_->waitForFinished(kEndBoundMs)) {
    return -1;
  }
  return process_->exitStatus() == QProcess::NormalExit ? process_->exitCode() : -1;
}

bool
Process::IsRunning() const
{
  return process_->state() != QProcess::NotRunning;
}

std::int64_t
Process::ResidentBytes() const
{
  QFile file(QString("/proc/%1/statm").arg(Id()));
  file.open(QIODevice::ReadOnly);
  const QList<QByteArray> parts = file.readAll().split(' ');
  return parts.value(1).toLongLong() * ::sysconf(_SC_PAGESIZE);
}

std::size_t
Process::OpenDescriptors() const
{
  const QDir directory(QString("/proc/%1/fd").arg(Id()));
  return static_cast<std::size_t>(
    directory.entryList(QDir::NoDotAndDotDot | QDir::AllEntries | QDir::System).size());
}

std::chrono::milliseconds
Process::ProcessorTime() const
{
  std::ifstream file("/proc/" + std::to_string(Id()) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  // The process name (field 2) is in brackets and may contain spaces, so the fields are counted
  // from its end. Fields 14 and 15 are the clock ticks in user and in system mode.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  constexpr int kUserField = 14;
  constexpr int kFirstField = 3;
  std::string skipped;
  for (int i = kFirstField; i < kUserField; ++i) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return std::chrono::milliseconds((user + system) * 1'000 / ::sysconf(_SC_CLK_TCK));
}

CommandResult
Run(const std::string& aBinary, const std::vector<std::string>& aArguments)
{
  QProcess process;
  process.start(PathOf(aBinary), ToList(aArguments));
  if (!process.waitForFinished(kEndBoundMs)) {
    throw std::runtime_error(aBinary + " did not end");
  }
  return { process.exitCode(),
           process.readAllStandardOutput().toStdString(),
           process.readAllStandardError().toStdString() };
}

} // namespace harness
