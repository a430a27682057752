#include "include/quetzal/log/Log.h"

#include "include/quetzal/log/LineBudget.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

namespace quetzal::log {

// This operator must be in the namespace of Level, because Boost.Log finds it only by
// argument-dependent lookup.
static std::ostream&
operator<<(std::ostream& aStream, Level aLevel)
{
  return aStream << ToString(aLevel);
}

namespace {

namespace logging = boost::log;

/** Limit of one write: a pipe accepts this many bytes without splitting them. */
constexpr std::size_t kMaxWriteBytes = 4'096;
/** Limit of the buffer. When the buffer exceeds this limit, its lines are written at once. If the
 * pipe is full, the oldest lines are dropped. */
constexpr std::size_t kMaxBatchBytes = 16 * 1024;

/** Buffers lines and writes them to standard output, which is set to non-blocking mode. */
class BoundedOutput
{
public:
  void Open(const std::string& aProcess, Level aMinLevel)
  {
    process_ = aProcess;
    minLevel_ = aMinLevel;
    isOpen_ = true;
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  }

  bool IsOpen() const { return isOpen_; }

  void Add(Level aLevel, const char* aPart, const std::string& aText)
  {
    if (aLevel < minLevel_) {
      return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now);
    if (second != budget_.second_) {
      AdvanceTo(budget_, second);
      ReportDroppedLines();
    }
    const std::string line = MakeLine(now, aLevel, aPart, aText);
    if (!TakeLine(budget_, aLevel, line.size())) {
      return;
    }
    batch_.append(line);
    if (batch_.size() > kMaxBatchBytes) {
      Write();
    }
  }

  void Write()
  {
    std::size_t offset = 0;
    while (offset < batch_.size()) {
      // Writes whole lines, in pieces that a pipe accepts without splitting.
      std::size_t end = std::min(offset + kMaxWriteBytes, batch_.size());
      if (const std::size_t line = batch_.rfind('\n', end - 1);
          line != std::string::npos && line >= offset) {
        end = line + 1;
      }
      const auto count = ::write(STDOUT_FILENO, batch_.data() + offset, end - offset);
      if (count <= 0) {
        break;
      }
      offset += static_cast<std::size_t>(count);
    }
    batch_.erase(0, offset);
    if (batch_.size() > kMaxBatchBytes) {
      // The reader of the pipe is too slow, so the oldest lines are dropped.
      const std::size_t newline = batch_.find('\n', batch_.size() - kMaxBatchBytes);
      const std::size_t end = newline == std::string::npos ? batch_.size() : newline + 1;
      const auto dropped =
        std::count(batch_.begin(), batch_.begin() + static_cast<std::ptrdiff_t>(end), '\n');
      budget_.droppedLines_ += static_cast<std::size_t>(dropped);
      batch_.erase(0, end);
    }
  }

private:
  std::string MakeLine(std::chrono::system_clock::duration aTime,
                       Level aLevel,
                       const char* aPart,
                       const std::string& aText) const
  {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(aTime);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(aTime - second);
    std::array<char, 64> time{};
    const int length = std::snprintf(time.data(),
                                     time.size(),
                                     "%lld.%06lld ",
                                     static_cast<long long>(second.count()),
                                     static_cast<long long>(micros.count()));
    std::string line(time.data(), static_cast<std::size_t>(length));
    line.append(process_).append(" ").append(ToString(aLevel)).append(" ").append(aPart);
    return line.append(": ").append(aText).append("\n");
  }

  void ReportDroppedLines()
  {
    if (budget_.droppedLines_ > 0) {
      const std::size_t dropped = budget_.droppedLines_;
      budget_.droppedLines_ = 0;
      Add(Level::kWarning, "log", "event=log-dropped lines=" + std::to_string(dropped));
    }
  }

  std::string process_;
  std::string batch_;
  LineBudget budget_;
  Level minLevel_ = Level::kInfo;
  bool isOpen_ = false;
};

BoundedOutput&
Output()
{
  static BoundedOutput output;
  return output;
}

BOOST_LOG_ATTRIBUTE_KEYWORD(TimeStamp, "TimeStamp", boost::posix_time::ptime)
BOOST_LOG_ATTRIBUTE_KEYWORD(Severity, "Severity", Level)

} // namespace

void
Start(const std::string& aProcess, Level aMinLevel)
{
  namespace expr = logging::expressions;
  logging::add_common_attributes();
  logging::add_console_log(std::clog,
                           logging::keywords::auto_flush = true,
                           logging::keywords::format =
                             (expr::stream
                              << expr::format_date_time(TimeStamp, "%Y-%m-%dT%H:%M:%S.%f") << ' '
                              << aProcess << ' ' << Severity << ' ' << expr::smessage));
  logging::core::get()->set_filter(Severity >= aMinLevel);
}

void
StartBounded(const std::string& aProcess, Level aMinLevel)
{
  Output().Open(aProcess, aMinLevel);
}

void
Flush()
{
  Output().Write();
}

void
Write(Level aLevel, const char* aPart, const std::string& aText)
{
  if (Output().IsOpen()) {
    Output().Add(aLevel, aPart, aText);
    return;
  }
  static logging::sources::severity_logger<Level> logger;
  BOOST_LOG_SEV(logger, aLevel) << aPart << ": " << aText;
}

} // namespace quetzal::log
