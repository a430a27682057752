#pragma once

#include <QtCore/QProcess>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

/** Starts and controls the real processes that integration tests run on loopback addresses. */
namespace harness {

/** One process under test. The destructor kills the process, by its own id, if it still runs. */
class Process
{
public:
  /** Starts a binary of the build and waits until it has printed a line, which means that it is
   * ready. Throws where nothing is printed within 20 s. */
  Process(const std::string& aBinary, const std::vector<std::string>& aArguments);
  ~Process();

  void Signal(int aSignal) const;

  /** Waits until the process has ended. @return its exit code; -1 where the process crashed or
   * still runs after 60 s. */
  int Wait();

  bool IsRunning() const;
  qint64 Id() const { return process_->processId(); }

  /** Returns the resident memory in bytes. */
  std::int64_t ResidentBytes() const;

  /** Returns how many descriptors are open. */
  std::size_t OpenDescriptors() const;

  /** Returns the processor time that the process has used so far, in user and in system mode. */
  std::chrono::milliseconds ProcessorTime() const;

private:
  std::unique_ptr<QProcess> process_;
};

/** Exit code and output of a command that has ended. */
struct CommandResult
{
  int exitCode_ = 0;
  std::string output_;
  std::string errors_;
};

/** Runs a binary of the build until it ends. Throws where it still runs after 60 s. */
CommandResult
Run(const std::string& aBinary, const std::vector<std::string>& aArguments);

} // namespace harness
