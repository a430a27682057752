#pragma once

#include "include/quetzal/workers/LeaseTimes.h"
#include "include/quetzal/workers/WorkerState.h"

/** Until when a run may still begin, or be alive, on a worker.
 *
 * A worker that starts again under its id takes calls that were meant for its earlier incarnation:
 * they name only the id, the new incarnation has seen no fence, and deadlines on the earlier clock
 * lie far ahead on its own. What is known of one incarnation therefore says nothing about the next
 * one, and a start order that got no answer may be carried out by either. Everyone who ends a run
 * without its end being listed, or gives an order up, asks the functions here. */
namespace quetzal::workers {

/** Returns whether an answer's clock can be that of the incarnation that state.clock_ was read
 * from. Each incarnation's clock begins anew, so that another one's reading lies elsewhere.
 * @param aSentAt when the call was sent.
 * @param aClockMs the clock in the answer; 0 where there was none. */
bool
IsOfPresentIncarnation(const WorkerState& aState,
                       clock::Moment aSentAt,
                       clock::Moment aReceivedAt,
                       std::int64_t aClockMs);

/** Returns whether an answer proves that the order was carried out by that incarnation. */
bool
ProvesPresentIncarnation(const WorkerState& aState,
                         clock::Moment aSentAt,
                         clock::Moment aReceivedAt,
                         std::int64_t aClockMs);

/** Returns whether a start order without an answer may still be carried out at a moment. */
bool
MayStillBegin(const Run& aRun, clock::Moment aAt, const LeaseTimes& aTimes);

/** Returns whether a run may be alive, or may still begin, on a worker that has not answered since
 * its clock was read. */
bool
MayBeAlive(const WorkerState& aState,
           const Run& aRun,
           clock::Moment aNow,
           const LeaseTimes& aTimes);

/** Removes and returns the runs that are certainly not alive on a worker that does not answer;
 * orphans, whose ends nobody waits for, are removed with them. */
std::map<jobs::TaskId, Run>
TakeLapsedRuns(WorkerState& aState, clock::Moment aNow, const LeaseTimes& aTimes);

/** Removes and returns the runs that have ended because the worker was seen to be gone. It may be
 * back under its id, so that orders without an answer stay, and all runs if it has answered since.
 * @param aSeenGoneAt the latest moment at which it was certainly gone. */
std::map<jobs::TaskId, Run>
TakeTerminatedRuns(WorkerState& aState, clock::Moment aSeenGoneAt, const LeaseTimes& aTimes);

/** Removes and returns the runs that have ended with a worker's incarnation, and removes all
 * orphans, which that incarnation had listed. The others stay, unconfirmed and with no confirmed
 * stop: their orders may have been, or may still be, carried out by the next incarnation.
 * @param aPolledAt when the poll was sent that showed the next incarnation. An order that was
 * answered after it may have been answered by the next incarnation. */
std::map<jobs::TaskId, Run>
TakeConfirmedRuns(WorkerState& aState, clock::Moment aPolledAt, const LeaseTimes& aTimes);

/** Removes a run that has ended on the worker. If it is not done, its task is not over, and an
 * order without an answer stays open: the worker's next incarnation may carry it out. */
void
RemoveEndedRun(WorkerState& aState, const RunKey& aKey, jobs::EndKind aKind);

/** Forgets the orders without an answer that can no longer be carried out, and have not been: the
 * worker does not list their runs, or lists them as its present incarnation's.
 * @param aPolledAt when the poll was sent that showed these lists. */
void
SettleOrders(WorkerState& aState, clock::Moment aPolledAt, const LeaseTimes& aTimes);

/** Removes the open orders of a worker that does not answer once no run that was begun on them can
 * be alive. */
void
ExpireOrders(WorkerState& aState, clock::Moment aNow, const LeaseTimes& aTimes);

/** Returns the longest lease that may be in force on a worker whose first answer an owner reads.
 * @param aAge of the worker's incarnation; nothing if it is not known. */
clock::Milliseconds
LeaseAtFirstAnswer(std::optional<clock::Milliseconds> aAge, const LeaseTimes& aTimes);

/** Returns for how long a predecessor's runs may be alive on a worker that has never answered this
 * owner, counted from the predecessor's last call. What is registered of the worker proves nothing:
 * it may have restarted since. */
clock::Milliseconds
LongestLifeOfPredecessorsRuns(const LeaseTimes& aTimes);

} // namespace quetzal::workers
