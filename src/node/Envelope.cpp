#include "src/node/Envelope.h"

#include "include/quetzal/wire/Frame.h"

namespace quetzal::node {

std::string
Pack(const Envelope& aEnvelope)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aEnvelope);
  return { buffer.data(), buffer.size() };
}

Envelope
UnpackEnvelope(const std::string& aPayload)
{
  try {
    return msgpack::unpack(aPayload.data(), aPayload.size()).get().as<Envelope>();
  } catch (const std::exception& error) {
    throw wire::WireError(std::string("message is neither a call nor an answer: ") + error.what());
  }
}

} // namespace quetzal::node
