#pragma once

#include <msgpack.hpp>
#include <string>

namespace quetzal::membership {

/** The types of messages between entry hosts. */
enum class PeerMessage : int
{
  kHeartbeat = 1,
  kShareRequest = 2,
  kShareAnswer = 3,
  kReportCall = 4,
};

/** Shows that its sender is alive; answered with a Heartbeat. */
struct Heartbeat
{
  static constexpr PeerMessage kType = PeerMessage::kHeartbeat;
  std::string sender_;

  MSGPACK_DEFINE_ARRAY(sender_)
};

} // namespace quetzal::membership
