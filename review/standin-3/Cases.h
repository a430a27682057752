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

/** A late order outlives its subtask's end and its minion's life. */
bool
RunOrderAfterEnd(Record& aRecord, bool aTrouble);

/** A late order of a killed owner outlives its minion's life. */
bool
RunOrderOfPredecessor(Record& aRecord, bool aTrouble);

/** A worker is cut off one way as it receives a subtask that lasts. */
bool
RunOneWayCut(Record& aRecord, bool aTrouble);

/** A minion is lost for good as it is sent a subtask that lasts. */
bool
RunLostMinion(Record& aRecord, bool aTrouble);

/** A minion crashes and starts again under its id as one of another kind. */
bool
RunOtherKind(Record& aRecord, bool aTrouble);

} // namespace review
