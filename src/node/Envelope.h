#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace quetzal::node {

/** A call between entry hosts, or its answer. */
struct Envelope
{
  std::int64_t number_ = 0;
  int method_ = 0; ///< 0 marks an answer.
  std::string body_;

  MSGPACK_DEFINE_ARRAY(number_, method_, body_)
};

std::string
Pack(const Envelope& aEnvelope);

/** @throws wire::WireError if the bytes are not an envelope. */
Envelope
UnpackEnvelope(const std::string& aPayload);

} // namespace quetzal::node
