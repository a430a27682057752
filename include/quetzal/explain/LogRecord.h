#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal::explain {

/** One value of a log record, such as cell=quotes. */
struct LogField
{
  std::string key_;
  std::string value_; ///< Without quotation marks.

  bool operator==(const LogField&) const = default;
};

/** One structured line of a process's log. */
struct LogRecord
{
  std::int64_t timeUs_ = 0; ///< Microseconds since 1970.
  std::string process_;
  std::string level_;
  std::string part_;
  std::string event_;
  std::vector<LogField> fields_;

  bool operator==(const LogRecord&) const = default;
};

/** Reads a line that log::Write has written; whatever a collector has put before its time is
 * ignored. @return nothing for a line without time, process and event. */
std::optional<LogRecord>
ParseLogRecord(std::string_view aLine);

/** Returns the value of a field; empty if the record does not have the field. */
std::string
ValueOf(const LogRecord& aRecord, std::string_view aKey);

} // namespace quetzal::explain
