#pragma once

#include "include/quetzal/log/Level.h"

#include <sstream>
#include <string>

/** Structured logging: one line per record, with time, level and the part of the program. */
namespace quetzal::log {

/** Starts logging to standard error; records below @p aMinLevel are dropped. */
void
Start(const std::string& aProcess, Level aMinLevel);

/** Starts logging to standard output for a program under load. Lines are buffered and written
 * without blocking. If the lines of one second exceed the limit of their level, they are dropped
 * and counted. If the reader is too slow, the oldest lines are dropped. */
void
StartBounded(const std::string& aProcess, Level aMinLevel);

/** Writes the lines that StartBounded() buffers. Must be called from the event loop several times a
 * second. */
void
Flush();

/** Writes one record. @param aPart the part of the program, such as "claims". */
void
Write(Level aLevel, const char* aPart, const std::string& aText);

/** Writes one record whose text is the concatenation of several values. */
template<typename... Values>
void
Detail(const char* aPart, const Values&... aValues)
{
  std::ostringstream text;
  (text << ... << aValues);
  Write(Level::kDetail, aPart, text.str());
}

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
