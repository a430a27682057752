#include "include/quetzal/explain/Conclusion.h"

#include "include/quetzal/explain/UncertainRuns.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace quetzal::explain {
namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
constexpr double kMicrosecondsPerSecond = 1e6;
/** Shorter waits are not explained. */
constexpr std::int64_t kMinWaitUs = 500'000;
/** Further uncertain runs of a job are only counted. */
constexpr std::size_t kMaxRunsShown = 10;
constexpr int kTimeWidth = 9;
constexpr int kProcessWidth = 16;

/** The time between two records that follow each other. */
struct Wait
{
  std::size_t begin_ = 0; ///< Index of the earlier record.
  std::int64_t lengthUs_ = 0;
};

std::string
Milliseconds(std::int64_t aMicroseconds)
{
  return std::to_string(aMicroseconds / kMicrosecondsPerMillisecond) + " ms";
}

const LogRecord*
FindLast(const History& aHistory, std::string_view aEvent)
{
  const auto found =
    std::find_if(aHistory.records_.rbegin(),
                 aHistory.records_.rend(),
                 [aEvent](const LogRecord& aRecord) { return aRecord.event_ == aEvent; });
  return found == aHistory.records_.rend() ? nullptr : &*found;
}

/** Returns the longest wait between two records that name the job. Records of its cell and of
 * workers in between do not end the wait: they explain it. */
Wait
LongestWait(const History& aHistory)
{
  Wait longest;
  std::optional<std::size_t> previous;
  for (std::size_t i = 0; i < aHistory.records_.size(); ++i) {
    const LogRecord& record = aHistory.records_[i];
    if (!Concerns(record, aHistory.subject_)) {
      continue;
    }
    const std::int64_t length =
      previous ? record.timeUs_ - aHistory.records_[*previous].timeUs_ : 0;
    if (length > longest.lengthUs_) {
      longest = { *previous, length };
    }
    previous = i;
  }
  const std::int64_t untilEnd =
    previous ? aHistory.lastTimeUs_ - aHistory.records_[*previous].timeUs_ : 0;
  const bool hasEnded = FindLast(aHistory, "job-ended") != nullptr;
  return !hasEnded && untilEnd > longest.lengthUs_ ? Wait{ *previous, untilEnd } : longest;
}

/** What happened during a wait beside the job's own records; empty where nothing did. */
struct Circumstances
{
  std::string cell_;       ///< Whose owner changed.
  std::string worker_;     ///< That had trouble.
  bool restarted_ = false; ///< That worker has started again under its id.
  std::string gapsOf_;     ///< The process whose lines are missing.
};

Circumstances
CircumstancesOf(const History& aHistory, const Wait& aWait)
{
  const std::int64_t end = aHistory.records_[aWait.begin_].timeUs_ + aWait.lengthUs_;
  Circumstances result;
  for (std::size_t i = aWait.begin_ + 1; i < aHistory.records_.size(); ++i) {
    const LogRecord& record = aHistory.records_[i];
    if (record.timeUs_ > end || Concerns(record, aHistory.subject_)) {
      break;
    }
    if (IsGap(record)) {
      result.gapsOf_ = record.process_;
    } else if (const std::string cell = CellWhoseOwnerChanged(record); !cell.empty()) {
      result.cell_ = cell;
    } else {
      result.worker_ = ValueOf(record, "worker");
      result.restarted_ = result.restarted_ || record.event_ == "worker-reborn";
    }
  }
  return result;
}

/** Returns why nothing happened to a job after a record, as far as its history shows. */
std::string
CauseOf(const LogRecord& aBegin, const Circumstances& aCircumstances)
{
  if (!aCircumstances.cell_.empty()) {
    return "its cell " + aCircumstances.cell_ + " changed its owner";
  }
  if (aCircumstances.restarted_) {
    return "worker " + aCircumstances.worker_ + " started again under its id";
  }
  if (!aCircumstances.worker_.empty()) {
    return "worker " + aCircumstances.worker_ + " did not answer or was lost";
  }
  if (aBegin.event_ == "job-accepted") {
    return "no worker had room for it";
  }
  if (aBegin.event_ == "start-ended") {
    return "a start had failed (" + ValueOf(aBegin, "why") + ")";
  }
  if (aBegin.event_ == "task-start" || aBegin.event_ == "task-adopted") {
    return "its tasks were running on " + ValueOf(aBegin, "worker");
  }
  return "the logs do not say";
}

std::string
FateOf(const History& aHistory)
{
  if (const LogRecord* ended = FindLast(aHistory, "job-ended")) {
    return "The job ended as " + ValueOf(*ended, "state") + " after " +
           ValueOf(*ended, "after_ms") + " ms.";
  }
  if (FindLast(aHistory, "job-accepted") != nullptr) {
    return "The job was accepted, and its end is not in these logs.";
  }
  if (const LogRecord* answered = FindLast(aHistory, "request-answered")) {
    return "The job was not accepted; its last answer was " + ValueOf(*answered, "verdict") + ".";
  }
  return "These logs do not say whether the job was accepted.";
}

std::string
ConclusionOfJob(const History& aHistory)
{
  const Wait wait = LongestWait(aHistory);
  if (wait.lengthUs_ < kMinWaitUs) {
    return FateOf(aHistory);
  }
  const LogRecord& begin = aHistory.records_[wait.begin_];
  const Circumstances circumstances = CircumstancesOf(aHistory, wait);
  std::string text = FateOf(aHistory) + " Its longest wait, " + Milliseconds(wait.lengthUs_) +
                     " from " + begin.event_ +
                     ", has this likely cause: " + CauseOf(begin, circumstances) + ".";
  if (!circumstances.gapsOf_.empty()) {
    text += " " + circumstances.gapsOf_ + " dropped lines in that time.";
  }
  return text;
}

/** Returns a line for each run, as far as there is room. */
std::string
TextOfRuns(const std::vector<UncertainRun>& aRuns)
{
  std::string text;
  for (std::size_t i = 0; i < std::min(aRuns.size(), kMaxRunsShown); ++i) {
    text.append("\n").append(ToText(aRuns[i]));
  }
  if (aRuns.size() > kMaxRunsShown) {
    text.append("\nOther uncertain runs: ")
      .append(std::to_string(aRuns.size() - kMaxRunsShown))
      .append(".");
  }
  return text;
}

std::string
ConclusionOfHost(const History& aHistory)
{
  std::map<std::string, int> warnings;
  for (const LogRecord& record : aHistory.records_) {
    if (record.level_ == "warning" || record.level_ == "error") {
      ++warnings[record.event_];
    }
  }
  std::ostringstream text;
  if (const LogRecord* end = FindLast(aHistory, "end")) {
    text << "The process stopped with " << ValueOf(*end, "open") << " open requests. ";
  }
  const auto most =
    std::max_element(warnings.begin(), warnings.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  if (most == warnings.end()) {
    text << "No warning names the host.";
  } else {
    text << "The most frequent warning is " << most->first << " (" << most->second << ").";
  }
  return text.str();
}

void
PrintRecord(std::ostream& aOutput,
            const LogRecord& aRecord,
            std::int64_t aFirstUs,
            std::int64_t aPreviousUs)
{
  const auto seconds = [](std::int64_t aMicroseconds) {
    return static_cast<double>(aMicroseconds) / kMicrosecondsPerSecond;
  };
  aOutput << std::right << std::setw(kTimeWidth) << seconds(aRecord.timeUs_ - aFirstUs)
          << std::setw(kTimeWidth) << seconds(aRecord.timeUs_ - aPreviousUs) << "  " << std::left
          << std::setw(kProcessWidth) << aRecord.process_ << ' ' << aRecord.event_;
  for (const LogField& field : aRecord.fields_) {
    aOutput << ' ' << field.key_ << '=' << field.value_;
  }
  aOutput << '\n';
}

} // namespace

std::string
ConclusionOf(const History& aHistory)
{
  if (aHistory.records_.empty()) {
    return "No line of these logs names " + aHistory.subject_.name_ + ".";
  }
  if (aHistory.subject_.kind_ == SubjectKind::kHost) {
    return ConclusionOfHost(aHistory);
  }
  return ConclusionOfJob(aHistory) + TextOfRuns(UncertainRunsOf(aHistory));
}

std::string
ToText(const History& aHistory)
{
  std::ostringstream output;
  output << std::fixed << std::setprecision(3);
  const std::int64_t first = aHistory.records_.empty() ? 0 : aHistory.records_.front().timeUs_;
  std::int64_t previous = first;
  for (const LogRecord& record : aHistory.records_) {
    PrintRecord(output, record, first, previous);
    previous = record.timeUs_;
  }
  output << ConclusionOf(aHistory) << '\n';
  return output.str();
}

} // namespace quetzal::explain
