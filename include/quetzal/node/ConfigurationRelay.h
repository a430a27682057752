#pragma once

#include "include/quetzal/jobs/Records.h"
#include "include/quetzal/metrics/Registry.h"
#include "include/quetzal/node/PeerLinks.h"
#include "include/quetzal/node/PlatformState.h"

#include <QtCore/QObject>
#include <functional>
#include <map>
#include <string>

namespace quetzal::node {

/** What decides whether a host asks another one for the configuration. */
struct RelayState
{
  clock::Moment confirmedAt_{}; ///< When the store last confirmed the own copy.
  bool isWatchFailing_ = false; ///< The last call to the store that follows the copy has failed.
  clock::Moment askedAt_{};     ///< When another host was last asked.
  bool isPeerConfirmed_ = true; ///< The copy of the host that answered last was confirmed.
};

/** Returns whether a copy of the configuration may be out of date. */
bool
IsUnconfirmed(const RelayState& aState, clock::Moment aNow);

/** Returns whether it is time to ask another host for the configuration. This answers a store that
 * turns away some hosts while the operators change the configuration. */
bool
IsRelayDue(const RelayState& aState, clock::Moment aNow);

using HostRecords = std::map<std::string, jobs::HostRecord>; ///< By name.

/** Returns the host to ask; null if there is no other host. Successive attempts go to different
 * hosts, of all availability zones in turn, as a whole availability zone may be out of reach.
 * @param aSelf the asking host, by which hosts begin at different places. */
const jobs::HostRecord*
HostToAsk(const HostRecords& aHosts, const std::string& aSelf, std::size_t aAttempt);

/** Gets the newest configuration from other entry hosts while the store does not confirm the own
 * copy, and answers such hosts. */
class ConfigurationRelay : public QObject
{
  Q_OBJECT

public:
  /** @param aHosts returns the entry hosts that may be asked. */
  ConfigurationRelay(std::string aSelf,
                     PlatformState& aPlatformState,
                     PeerLinks& aLinks,
                     std::function<HostRecords()> aHosts,
                     metrics::Registry& aMetrics);

  /** Asks another host if it is time. */
  void AskIfDue();

  /** Returns the answer to another host's question. */
  std::string AnswerTo(const std::string& aBody) const;

private:
  void Ask(const jobs::HostRecord& aHost);
  void OnAnswer(const CallResult& aResult);
  RelayState State() const;

  std::string self_;
  PlatformState& platformState_;
  PeerLinks& links_;
  std::function<HostRecords()> hosts_;
  metrics::Registry& metrics_;
  clock::Moment askedAt_{};
  bool isPeerConfirmed_ = true;
  std::size_t attempts_ = 0;
  int openQuestions_ = 0;
  std::int64_t rejectedRevision_ = 0; ///< The newest that could not be taken; not asked for again.
};

} // namespace quetzal::node
