#pragma once

#include "include/quetzal/explain/LogRecord.h"

#include <set>
#include <string>
#include <vector>

namespace quetzal::explain {

enum class SubjectKind : std::uint8_t
{
  kJob,
  kTask, ///< One task of a job, with what concerns the whole job.
  kHost, ///< An entry host or a worker.
};

/** What an operator asks about. */
struct Subject
{
  SubjectKind kind_ = SubjectKind::kHost;
  std::string name_; ///< The id of a job or task, or a host's name.

  bool operator==(const Subject&) const = default;
};

/** Returns the subject of this name: a job or a task if it has the form of their ids, else a host.
 */
Subject
MakeSubject(const std::string& aName);

/** Returns whether a record names the subject. */
bool
Concerns(const LogRecord& aRecord, const Subject& aSubject);

/** What the logs of all processes say about a subject, oldest first. */
struct History
{
  Subject subject_;
  /** Records that name the subject; for a job or task also the changes of its cell's owner, what
   * happened to the workers that ran its tasks, and where lines of its owners are missing, while it
   * lasted.
   */
  std::vector<LogRecord> records_;
  std::int64_t lastTimeUs_ = 0; ///< Of the last record of all logs; 0 if there is none.

  bool operator==(const History&) const = default;
};

/** Collects a History from records of all processes, in any order. */
class HistoryBuilder
{
public:
  explicit HistoryBuilder(Subject aSubject);

  HistoryBuilder& Add(const LogRecord& aRecord);
  History Build() const;

private:
  bool IsRelated(const LogRecord& aRecord) const;

  Subject subject_;
  std::vector<LogRecord> own_;
  std::vector<LogRecord> candidates_; ///< Related if what they name occurs in own records.
  std::set<std::string> cells_;
  std::set<std::string> workers_;
  std::set<std::string> processes_;
  std::int64_t lastTimeUs_ = 0;
};

/** Returns the cell that a record says got or lost its owner; empty if it says neither. */
std::string
CellWhoseOwnerChanged(const LogRecord& aRecord);

/** Returns whether a record says that its process has dropped lines. */
bool
IsGap(const LogRecord& aRecord);

} // namespace quetzal::explain
