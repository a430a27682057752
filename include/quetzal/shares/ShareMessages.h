#pragma once

#include "include/quetzal/membership/PeerMessages.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace quetzal::shares {

using membership::PeerMessage;

/** An entry host's report on its share of one backend server's slots, and its request for slots. */
struct ShareRequestEntry
{
  std::string server_; ///< Service and host, as "service@host".
  int held_ = 0;
  int inUse_ = 0;
  int wanted_ = 0;

  MSGPACK_DEFINE_ARRAY(server_, held_, inUse_, wanted_)
};

/** Requests shares of the backend servers whose slots the receiver grants. */
struct ShareRequest
{
  static constexpr PeerMessage kType = PeerMessage::kShareRequest;
  std::string from_;
  std::uint64_t number_ = 0; ///< Repeated in the answer.
  std::vector<ShareRequestEntry> entries_;

  MSGPACK_DEFINE_ARRAY(from_, number_, entries_)
};

/** A granted share. */
struct ShareAnswerEntry
{
  std::string server_;
  int granted_ = 0; ///< kNotGranting where the sender does not grant the server's slots.

  MSGPACK_DEFINE_ARRAY(server_, granted_)
};

/** The answer to a ShareRequest. */
struct ShareAnswer
{
  static constexpr PeerMessage kType = PeerMessage::kShareAnswer;
  std::string from_;
  std::uint64_t number_ = 0;
  std::vector<ShareAnswerEntry> entries_;

  MSGPACK_DEFINE_ARRAY(from_, number_, entries_)
};

/** Asks every entry host to report its shares of some backend servers, even if it holds none. Once
 * every entry host has reported, the sender can grant slots without waiting until the shares that a
 * predecessor granted expire. */
struct ShareReportRequest
{
  static constexpr PeerMessage kType = PeerMessage::kReportCall;
  std::vector<std::string> servers_;

  MSGPACK_DEFINE_ARRAY(servers_)
};

inline constexpr int kNotGranting = -1;

} // namespace quetzal::shares
