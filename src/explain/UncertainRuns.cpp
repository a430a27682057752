#include "include/quetzal/explain/UncertainRuns.h"

#include <algorithm>
#include <array>
#include <map>

namespace quetzal::explain {
namespace {

/** Events that say why an owner takes runs on a worker for ended. */
constexpr std::array<std::string_view, 5> kJudgements{ "lease-lapsed",
                                                       "runs-terminated",
                                                       "worker-gone",
                                                       "worker-reborn",
                                                       "worker-given-up" };
/** Number of an end that the worker has not listed. */
constexpr std::string_view kNotListed = "0";

/** Names a run; the tasks of a gang have the same run number. */
struct RunName
{
  std::string task_;
  std::string run_;

  auto operator<=>(const RunName&) const = default;
};

/** Names a worker as one owner sees it. */
struct WorkerOfOwner
{
  std::string process_;
  std::string worker_;

  auto operator<=>(const WorkerOfOwner&) const = default;
};

/** Reads records in the order of time. */
class Reader
{
public:
  void Read(const LogRecord& aRecord)
  {
    const RunName name{ ValueOf(aRecord, "task"), ValueOf(aRecord, "run") };
    const std::string& event = aRecord.event_;
    if (std::find(kJudgements.begin(), kJudgements.end(), event) != kJudgements.end()) {
      judgements_[{ aRecord.process_, ValueOf(aRecord, "worker") }] = aRecord;
      ReadNextIncarnation(aRecord);
    } else if (event == "task-start") {
      bornAtStart_[name] = ValueOf(aRecord, "born");
    } else if (event == "start-repeated") {
      Entry(name, aRecord).repeats_ = ValueOf(aRecord, "repeats");
    } else if (event == "order-in-doubt") {
      UncertainRun& run = Entry(name, aRecord);
      run.doubtBorn_ = ValueOf(aRecord, "born");
      run.nextBorn_ = ValueOf(aRecord, "next_born");
    } else if (event == "second-run-found") {
      ReadSecondRun(aRecord);
    } else if (event == "task-ended" && ValueOf(aRecord, "number") == kNotListed) {
      ReadUnlistedEnd(name, aRecord);
    }
  }

  const std::vector<UncertainRun>& Runs() const { return runs_; }

private:
  /** Returns the run of this name, which a record shows to be uncertain. */
  UncertainRun& Entry(const RunName& aName, const LogRecord& aRecord)
  {
    const auto found = std::find_if(runs_.begin(), runs_.end(), [&aName](const UncertainRun& aRun) {
      return aRun.task_ == aName.task_ && aRun.run_ == aName.run_;
    });
    if (found != runs_.end()) {
      return *found;
    }
    UncertainRun& run = runs_.emplace_back();
    run.task_ = aName.task_;
    run.run_ = aName.run_;
    run.worker_ = ValueOf(aRecord, "worker");
    run.born_ = bornAtStart_[aName];
    return run;
  }

  void ReadUnlistedEnd(const RunName& aName, const LogRecord& aRecord)
  {
    UncertainRun& run = Entry(aName, aRecord);
    run.takenForEnded_ = true;
    const auto judgement = judgements_.find({ aRecord.process_, run.worker_ });
    if (judgement != judgements_.end()) {
      run.judgedBy_ = judgement->second.event_;
      run.judgedBorn_ = ValueOf(judgement->second, "born");
      run.heardMsAgo_ = ValueOf(judgement->second, "heard_ms_ago");
    }
  }

  /** Notes for which runs the judged incarnation may have been over before they were judged. */
  void ReadNextIncarnation(const LogRecord& aRecord)
  {
    const std::string nextBorn = ValueOf(aRecord, "next_born");
    for (UncertainRun& run : runs_) {
      if (run.takenForEnded_ && run.seenLater_.empty() &&
          run.worker_ == ValueOf(aRecord, "worker") &&
          run.judgedBorn_ == ValueOf(aRecord, "born")) {
        run.seenLater_ = nextBorn;
      }
    }
  }

  void ReadSecondRun(const LogRecord& aRecord)
  {
    const RunName known{ ValueOf(aRecord, "task"), ValueOf(aRecord, "known_run") };
    UncertainRun& run = Entry(known, aRecord);
    run.worker_ = ValueOf(aRecord, "known_worker");
    run.secondRun_ = ValueOf(aRecord, "run");
    run.secondOn_ = ValueOf(aRecord, "worker");
  }

  std::map<RunName, std::string> bornAtStart_;
  std::map<WorkerOfOwner, LogRecord> judgements_; ///< The latest of each.
  std::vector<UncertainRun> runs_;
};

/** Returns a text about an incarnation; empty if it is not known. */
std::string
OnIncarnation(const std::string& aBorn)
{
  return aBorn.empty() ? "" : " on the incarnation born " + aBorn;
}

std::string
JudgementOf(const UncertainRun& aRun)
{
  if (aRun.judgedBy_.empty()) {
    return "; taken for ended, and these logs do not say why";
  }
  const std::string heard =
    aRun.heardMsAgo_.empty() ? "" : ", heard " + aRun.heardMsAgo_ + " ms before";
  const std::string later =
    aRun.seenLater_.empty() ? "" : "; the worker was seen later as born " + aRun.seenLater_;
  return "; taken for ended by " + aRun.judgedBy_ + OnIncarnation(aRun.judgedBorn_) + heard + later;
}

} // namespace

std::vector<UncertainRun>
UncertainRunsOf(const History& aHistory)
{
  Reader reader;
  for (const LogRecord& record : aHistory.records_) {
    reader.Read(record);
  }
  return reader.Runs();
}

std::string
ToText(const UncertainRun& aRun)
{
  std::string text = "Run " + aRun.run_ + " of " + aRun.task_ + " on " + aRun.worker_;
  text += aRun.born_.empty() ? "" : ", ordered" + OnIncarnation(aRun.born_);
  if (!aRun.repeats_.empty()) {
    text += "; start repeated, " + aRun.repeats_ + " in all";
  }
  if (!aRun.doubtBorn_.empty()) {
    text += "; in doubt after the incarnation born " + aRun.doubtBorn_;
    text += aRun.nextBorn_.empty() ? "" : ", followed by " + aRun.nextBorn_;
  }
  if (aRun.takenForEnded_) {
    text += JudgementOf(aRun);
  }
  if (!aRun.secondRun_.empty()) {
    text += "; run " + aRun.secondRun_ + " was found beside it on " + aRun.secondOn_;
  }
  return text + ".";
}

} // namespace quetzal::explain
