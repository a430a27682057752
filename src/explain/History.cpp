#include "include/quetzal/explain/History.h"

#include <algorithm>
#include <array>

namespace quetzal::explain {
namespace {

constexpr std::size_t kJobIdLength = 16;
constexpr std::array<std::string_view, 4> kHostKeys{ "host", "worker", "peer", "machine" };
constexpr std::array<std::string_view, 8> kWorkerTroubles{
  "worker-silent", "worker-back",  "worker-restart-noticed", "worker-reborn",
  "worker-gone",   "lease-lapsed", "runs-terminated",        "worker-given-up"
};
constexpr std::array<std::string_view, 2> kOwnerChanges{ "cell-begun", "cell-dropped" };
constexpr std::string_view kReleased = "released";
constexpr std::string_view kLinesDropped = "log-dropped";
constexpr char kKeySeparator = '/';
constexpr char kTaskSeparator = '.';

template<typename Range>
bool
Contains(const Range& aRange, std::string_view aValue)
{
  return std::find(aRange.begin(), aRange.end(), aValue) != aRange.end();
}

bool
IsJobId(const std::string& aName)
{
  return aName.size() == kJobIdLength &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
           return std::isxdigit(aByte) != 0;
         });
}

/** Returns whether a name is a job's id, followed by the numbers of a task. */
bool
IsTaskId(const std::string& aName)
{
  return aName.size() > kJobIdLength && aName[kJobIdLength] == kTaskSeparator &&
         IsJobId(aName.substr(0, kJobIdLength));
}

/** Returns whether a record names one task, or all of its step or job. */
bool
ConcernsTask(const LogRecord& aRecord, const std::string& aTask)
{
  const std::string task = ValueOf(aRecord, "task");
  const std::string step = ValueOf(aRecord, "step");
  if (!task.empty() || !step.empty()) {
    return task == aTask || (!step.empty() && aTask.starts_with(step + kTaskSeparator));
  }
  return ValueOf(aRecord, "job") == aTask.substr(0, kJobIdLength);
}

bool
IsEarlier(const LogRecord& aLeft, const LogRecord& aRight)
{
  return aLeft.timeUs_ < aRight.timeUs_;
}

/** Returns whether a record that does not name a job may explain what happened to the job. */
bool
IsCandidate(const LogRecord& aRecord)
{
  return !CellWhoseOwnerChanged(aRecord).empty() || Contains(kWorkerTroubles, aRecord.event_) ||
         IsGap(aRecord);
}

void
AddUnlessEmpty(std::set<std::string>& aNames, const std::string& aName)
{
  if (!aName.empty()) {
    aNames.insert(aName);
  }
}

} // namespace

Subject
MakeSubject(const std::string& aName)
{
  if (IsTaskId(aName)) {
    return { SubjectKind::kTask, aName };
  }
  return { IsJobId(aName) ? SubjectKind::kJob : SubjectKind::kHost, aName };
}

bool
Concerns(const LogRecord& aRecord, const Subject& aSubject)
{
  if (aSubject.kind_ == SubjectKind::kTask) {
    return ConcernsTask(aRecord, aSubject.name_);
  }
  if (aSubject.kind_ == SubjectKind::kJob) {
    return ValueOf(aRecord, "job") == aSubject.name_ ||
           ValueOf(aRecord, "task").starts_with(aSubject.name_ + ".") ||
           ValueOf(aRecord, "step").starts_with(aSubject.name_ + ".");
  }
  return aRecord.process_ == aSubject.name_ ||
         std::any_of(kHostKeys.begin(), kHostKeys.end(), [&](std::string_view aKey) {
           return ValueOf(aRecord, aKey) == aSubject.name_;
         });
}

std::string
CellWhoseOwnerChanged(const LogRecord& aRecord)
{
  if (Contains(kOwnerChanges, aRecord.event_)) {
    return ValueOf(aRecord, "cell");
  }
  if (aRecord.event_ != kReleased) {
    return {};
  }
  const std::string key = ValueOf(aRecord, "key");
  return key.substr(key.find_last_of(kKeySeparator) + 1);
}

bool
IsGap(const LogRecord& aRecord)
{
  return aRecord.event_ == kLinesDropped;
}

HistoryBuilder::HistoryBuilder(Subject aSubject)
  : subject_(std::move(aSubject))
{
}

HistoryBuilder&
HistoryBuilder::Add(const LogRecord& aRecord)
{
  lastTimeUs_ = std::max(lastTimeUs_, aRecord.timeUs_);
  if (Concerns(aRecord, subject_)) {
    own_.push_back(aRecord);
    AddUnlessEmpty(cells_, ValueOf(aRecord, "cell"));
    AddUnlessEmpty(workers_, ValueOf(aRecord, "worker"));
    processes_.insert(aRecord.process_);
  } else if (subject_.kind_ != SubjectKind::kHost && IsCandidate(aRecord)) {
    candidates_.push_back(aRecord);
  }
  return *this;
}

bool
HistoryBuilder::IsRelated(const LogRecord& aRecord) const
{
  return cells_.contains(CellWhoseOwnerChanged(aRecord)) ||
         workers_.contains(ValueOf(aRecord, "worker")) ||
         (IsGap(aRecord) && processes_.contains(aRecord.process_));
}

History
HistoryBuilder::Build() const
{
  History history{ subject_, {}, lastTimeUs_ };
  if (own_.empty()) {
    return history;
  }
  const auto [first, last] = std::minmax_element(own_.begin(), own_.end(), IsEarlier);
  const bool hasEnded = std::any_of(own_.begin(), own_.end(), [](const LogRecord& aRecord) {
    return aRecord.event_ == "job-ended";
  });
  const std::int64_t end = hasEnded ? last->timeUs_ : lastTimeUs_;
  for (const LogRecord& candidate : candidates_) {
    if (IsRelated(candidate) && candidate.timeUs_ >= first->timeUs_ && candidate.timeUs_ <= end) {
      history.records_.push_back(candidate);
    }
  }
  // At the same time, what happened to a worker comes before what follows for its runs.
  history.records_.insert(history.records_.end(), own_.begin(), own_.end());
  std::stable_sort(history.records_.begin(), history.records_.end(), IsEarlier);
  return history;
}

} // namespace quetzal::explain
