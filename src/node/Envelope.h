#pragma once

#include "include/quetzal/node/PeerCall.h"

#include <msgpack.hpp>

namespace quetzal::node {

/** A call between entry hosts, or its answer. */
struct Envelope
{
  std::int64_t number_ = 0;
  int method_ = 0; ///< A PeerMethod, perhaps of another version of this program.
  std::string body_;

  MSGPACK_DEFINE_ARRAY(number_, method_, body_)
};

std::string
Pack(const Envelope& aEnvelope);

/** @throws wire::WireError if the bytes are not an envelope. */
Envelope
UnpackEnvelope(const std::string& aPayload);

/** Returns a ping. Versions without pings take it for a call about an unknown cell, and answer. */
Envelope
MakePing(std::int64_t aNumber);

} // namespace quetzal::node
