#pragma once

#include <QtCore/QProcess>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

/** What integration tests share: real processes on loopback addresses of their own. */
namespace harness {

/** One process under test. It is ended, by its own id, at the latest when this goes. */
class Process
{
public:
  /** Starts a binary of the build and waits until it says that it is ready. */
  Process(const std::string& aBinary, const std::vector<std::string>& aArguments);
  ~Process();

  /** Sends a signal. */
  void Signal(int aSignal) const;

  /** Waits until the process has ended. @return its exit code; -1 where it crashed or goes on. */
  int Wait();

  bool IsRunning() const;
  qint64 Id() const { return process_->processId(); }

  /** Returns the resident memory in bytes. */
  std::int64_t ResidentBytes() const;

  /** Returns the processor time used so far. */
  std::chrono::milliseconds ProcessorTime() const;

private:
  std::unique_ptr<QProcess> process_;
};

/** How a command that ends by itself has ended. */
struct CommandResult
{
  int exitCode_ = 0;
  std::string output_;
  std::string errors_;
};

/** Runs a binary of the build to its end. */
CommandResult
Run(const std::string& aBinary, const std::vector<std::string>& aArguments);

} // namespace harness
