#pragma once

#include "review/standin-3/Site.h"

/** The cases. Each returns whether the rule was broken, or throws CannotRun. */
namespace review {

/** Thrown if a case could not be brought about. */
class CannotRun : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** A scheduled job whose first time is a day ago. */
bool
RunPastJob(Record& aRecord, bool aTrouble);

/** A worker is cut off one way as it receives a subtask that lasts. */
bool
RunOneWayCut(Record& aRecord, bool aTrouble);

/** A queue goes to another service while its jobs wait. */
bool
RunMovedQueue(Record& aRecord, bool aTrouble);

/** A minion crashes and starts again under its id as one of another kind. */
bool
RunOtherKind(Record& aRecord, bool aTrouble);

/** The only minion with room refuses all starts while jobs wait. */
bool
RunRefusedStarts(Record& aRecord, bool aTrouble);

} // namespace review
