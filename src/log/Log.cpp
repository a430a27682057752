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

// The library finds this by its argument's namespace only.
static std::ostream&
operator<<(std::ostream& aStream, Level aLevel)
{
  return aStream << NameOf(aLevel);
}

namespace {

namespace logging = boost::log;

/** Written to standard output in one second at most; further lines are dropped. */
constexpr std::size_t kMostBytesPerSecond = 512 * 1024;
/** Written at once; a pipe takes as much without splitting it. */
constexpr std::size_t kPieceBytes = 4'096;
/** Gathered at most before it is written. */
constexpr std::size_t kBatchBytes = 16 * 1024;

/** Gathers lines and writes them to standard output, which is set not to block. */
class BoundedOutput
{
public:
  void Open(const std::string& aProcess, Level aLeast)
  {
    process_ = aProcess;
    least_ = aLeast;
    isOpen_ = true;
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  }

  bool IsOpen() const { return isOpen_; }

  void Add(Level aLevel, const char* aPart, const std::string& aText)
  {
    if (aLevel < least_) {
      return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now);
    if (second != second_) {
      BeginSecond(second);
    }
    if (written_ > kMostBytesPerSecond && aLevel < Level::kWarning) {
      ++dropped_;
      return;
    }
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now - second);
    std::array<char, 64> head{};
    const int length = std::snprintf(head.data(),
                                     head.size(),
                                     "%lld.%06lld ",
                                     static_cast<long long>(second.count()),
                                     static_cast<long long>(micros.count()));
    const std::size_t before = batch_.size();
    batch_.append(head.data(), static_cast<std::size_t>(length)).append(process_);
    batch_.append(" ").append(NameOf(aLevel)).append(" ").append(aPart).append(": ");
    batch_.append(aText).append("\n");
    written_ += batch_.size() - before;
    if (batch_.size() > kBatchBytes) {
      Write();
    }
  }

  void Write()
  {
    std::size_t done = 0;
    while (done < batch_.size()) {
      // Whole lines in pieces that a pipe takes at once.
      std::size_t end = std::min(done + kPieceBytes, batch_.size());
      if (const std::size_t line = batch_.rfind('\n', end - 1);
          line != std::string::npos && line >= done) {
        end = line + 1;
      }
      const auto count = ::write(STDOUT_FILENO, batch_.data() + done, end - done);
      if (count <= 0) {
        break;
      }
      done += static_cast<std::size_t>(count);
    }
    batch_.erase(0, done);
    if (batch_.size() > kBatchBytes) {
      // Nobody reads: what has waited longest goes, up to the end of a line.
      const std::size_t end = batch_.find('\n', batch_.size() - kBatchBytes);
      batch_.erase(0, end == std::string::npos ? batch_.size() : end + 1);
      ++dropped_;
    }
  }

private:
  void BeginSecond(std::chrono::seconds aSecond)
  {
    second_ = aSecond;
    written_ = 0;
    if (dropped_ > 0) {
      const std::size_t dropped = dropped_;
      dropped_ = 0;
      Add(Level::kWarning, "log", "event=log-dropped lines=" + std::to_string(dropped));
    }
  }

  std::string process_;
  std::string batch_;
  std::chrono::seconds second_{ 0 };
  std::size_t written_ = 0;
  std::size_t dropped_ = 0;
  Level least_ = Level::kInfo;
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
Start(const std::string& aProcess, Level aLeast)
{
  namespace expr = logging::expressions;
  logging::add_common_attributes();
  logging::add_console_log(std::clog,
                           logging::keywords::auto_flush = true,
                           logging::keywords::format =
                             (expr::stream
                              << expr::format_date_time(TimeStamp, "%Y-%m-%dT%H:%M:%S.%f") << ' '
                              << aProcess << ' ' << Severity << ' ' << expr::smessage));
  logging::core::get()->set_filter(Severity >= aLeast);
}

void
StartBounded(const std::string& aProcess, Level aLeast)
{
  Output().Open(aProcess, aLeast);
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
