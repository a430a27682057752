#include "include/quetzal/log/Log.h"

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

static const char*
NameOf(Level aLevel)
{
  static constexpr std::array<const char*, 4> kNames = { "debug", "info", "warning", "error" };
  return kNames.at(static_cast<std::size_t>(aLevel));
}

// This operator must be in the namespace of Level, because Boost.Log finds it only by
// argument-dependent lookup.
static std::ostream&
operator<<(std::ostream& aStream, Level aLevel)
{
  return aStream << NameOf(aLevel);
}

namespace {

namespace logging = boost::log;

/** Output limit per second. Further lines below warning level are dropped. */
constexpr std::size_t kMaxBytesPerSecond = 512 * 1024;
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
    if (second != second_) {
      BeginSecond(second);
    }
    if (bytesThisSecond_ > kMaxBytesPerSecond && aLevel < Level::kWarning) {
      ++droppedLines_;
      return;
    }
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now - second);
    std::array<char, 64> prefix{};
    const int length = std::snprintf(prefix.data(),
                                     prefix.size(),
                                     "%lld.%06lld ",
                                     static_cast<long long>(second.count()),
                                     static_cast<long long>(micros.count()));
    const std::size_t sizeBefore = batch_.size();
    batch_.append(prefix.data(), static_cast<std::size_t>(length)).append(process_);
    batch_.append(" ").append(NameOf(aLevel)).append(" ").append(aPart).append(": ");
    batch_.append(aText).append("\n");
    bytesThisSecond_ += batch_.size() - sizeBefore;
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
      // The reader of the pipe is too slow, so the oldest lines are dropped. All lines dropped here
      // are counted as one line.
      const std::size_t end = batch_.find('\n', batch_.size() - kMaxBatchBytes);
      batch_.erase(0, end == std::string::npos ? batch_.size() : end + 1);
      ++droppedLines_;
    }
  }

private:
  void BeginSecond(std::chrono::seconds aSecond)
  {
    second_ = aSecond;
    bytesThisSecond_ = 0;
    if (droppedLines_ > 0) {
      const std::size_t dropped = droppedLines_;
      droppedLines_ = 0;
      Add(Level::kWarning, "log", "event=log-dropped lines=" + std::to_string(dropped));
    }
  }

  std::string process_;
  std::string batch_;
  std::chrono::seconds second_{ 0 };
  std::size_t bytesThisSecond_ = 0;
  std::size_t droppedLines_ = 0;
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
