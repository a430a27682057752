#pragma once

#include "include/quetzal/membership/PeerMessages.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace quetzal::shares {

using membership::PeerMessage;

/** What one entry host says of one backend server. */
struct ShareRequestEntry
{
  std::string server_; ///< Service and host, as "service@host".
  int held_ = 0;
  int inUse_ = 0;
  int wanted_ = 0;

  MSGPACK_DEFINE_ARRAY(server_, held_, inUse_, wanted_)
};

/** Asks one granting entry host for shares of its backend servers. */
struct ShareRequest
{
  static constexpr PeerMessage kType = PeerMessage::kShareRequest;
  std::string from_;
  std::uint64_t number_ = 0; ///< Comes back in the answer.
  std::vector<ShareRequestEntry> entries_;

  MSGPACK_DEFINE_ARRAY(from_, number_, entries_)
};

/** One granted share. */
struct ShareAnswerEntry
{
  std::string server_;
  int granted_ = 0; ///< -1: the receiver does not grant this backend server's slots.

  MSGPACK_DEFINE_ARRAY(server_, granted_)
};

/** Answers a request. */
struct ShareAnswer
{
  static constexpr PeerMessage kType = PeerMessage::kShareAnswer;
  std::string from_;
  std::uint64_t number_ = 0;
  std::vector<ShareAnswerEntry> entries_;

  MSGPACK_DEFINE_ARRAY(from_, number_, entries_)
};

/** Asks every entry host to report what it holds of some backend servers, nothing included: once
 * all have, the sender can grant without waiting out what a predecessor may have granted. */
struct ShareReportRequest
{
  static constexpr PeerMessage kType = PeerMessage::kReportCall;
  std::vector<std::string> servers_;

  MSGPACK_DEFINE_ARRAY(servers_)
};

inline constexpr int kNotGranting = -1;

} // namespace quetzal::shares
