#pragma once

#include <sstream>
#include <string>

/** Structured logs: one line a record, with time, level and the part's prefix. */
namespace quetzal::log {

enum class Level : int
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/** Starts logging to standard error; records below @p aLeast are dropped. */
void
Start(const std::string& aProcess, Level aLeast);

/** Starts logging to standard output for a program under load: lines are gathered and written
 * without ever blocking, and beyond a bound for each second they are dropped and counted. */
void
StartBounded(const std::string& aProcess, Level aLeast);

/** Writes what has been gathered. To be called from the event loop several times a second. */
void
Flush();

/** Writes one record. @param aPart the fixed prefix of the part, such as "claims". */
void
Write(Level aLevel, const char* aPart, const std::string& aText);

/** Writes one record from several values. */
template<typename... Values>
void
Info(const char* aPart, const Values&... aValues)
{
  std::ostringstream text;
  (text << ... << aValues);
  Write(Level::kInfo, aPart, text.str());
}

template<typename... Values>
void
Warn(const char* aPart, const Values&... aValues)
{
  std::ostringstream text;
  (text << ... << aValues);
  Write(Level::kWarning, aPart, text.str());
}

} // namespace quetzal::log
