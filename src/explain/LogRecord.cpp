#include "include/quetzal/explain/LogRecord.h"

#include <algorithm>
#include <charconv>

namespace quetzal::explain {
namespace {

constexpr std::string_view kEventKey = "event=";
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::size_t kFractionDigits = 6;

/** Removes and returns the last word of a text. */
std::string_view
TakeLastWord(std::string_view& aText)
{
  const std::size_t end = aText.find_last_not_of(' ');
  aText = aText.substr(0, end == std::string_view::npos ? 0 : end + 1);
  const std::size_t space = aText.find_last_of(' ');
  const std::size_t begin = space == std::string_view::npos ? 0 : space + 1;
  const std::string_view word = aText.substr(begin);
  aText = aText.substr(0, begin);
  return word;
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

/** Parses a time such as 1789313308.045043 into microseconds. */
std::optional<std::int64_t>
ParseTime(std::string_view aText)
{
  const std::size_t point = aText.find('.');
  if (point == std::string_view::npos || aText.size() - point - 1 != kFractionDigits) {
    return std::nullopt;
  }
  const auto seconds = ParseNumber(aText.substr(0, point));
  const auto fraction = ParseNumber(aText.substr(point + 1));
  if (!seconds || !fraction || *seconds < 0 || *fraction < 0) {
    return std::nullopt;
  }
  return *seconds * kMicrosecondsPerSecond + *fraction;
}

/** Removes and returns the first field of a text. */
LogField
TakeField(std::string_view& aText)
{
  const std::size_t equals = aText.find('=');
  LogField field;
  field.key_ = aText.substr(0, equals);
  aText.remove_prefix(equals + 1);
  const bool isQuoted = !aText.empty() && aText.front() == '"';
  aText.remove_prefix(isQuoted ? 1 : 0);
  const std::size_t end = std::min(aText.find(isQuoted ? '"' : ' '), aText.size());
  field.value_ = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return field;
}

std::vector<LogField>
ParseFields(std::string_view aText)
{
  std::vector<LogField> fields;
  while (true) {
    aText.remove_prefix(std::min(aText.find_first_not_of(' '), aText.size()));
    const std::size_t equals = aText.find('=');
    if (equals == std::string_view::npos) {
      return fields;
    }
    const std::size_t space = aText.find(' ');
    if (space < equals) {
      aText.remove_prefix(space); // A word that is no field.
      continue;
    }
    fields.push_back(TakeField(aText));
  }
}

} // namespace

std::optional<LogRecord>
ParseLogRecord(std::string_view aLine)
{
  const std::size_t event = aLine.find(kEventKey);
  if (event == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view before = aLine.substr(0, event);
  std::string_view part = TakeLastWord(before);
  if (!part.ends_with(':')) {
    return std::nullopt;
  }
  part.remove_suffix(1);
  LogRecord record;
  record.part_ = part;
  record.level_ = TakeLastWord(before);
  record.process_ = TakeLastWord(before);
  const auto time = ParseTime(TakeLastWord(before));
  if (!time || record.process_.empty()) {
    return std::nullopt;
  }
  record.timeUs_ = *time;
  std::vector<LogField> fields = ParseFields(aLine.substr(event));
  record.event_ = fields.front().value_;
  record.fields_.assign(fields.begin() + 1, fields.end());
  return record;
}

std::string
ValueOf(const LogRecord& aRecord, std::string_view aKey)
{
  const auto field = std::find_if(aRecord.fields_.begin(),
                                  aRecord.fields_.end(),
                                  [aKey](const LogField& aField) { return aField.key_ == aKey; });
  return field == aRecord.fields_.end() ? std::string() : field->value_;
}

} // namespace quetzal::explain
