#include "src/node/Envelope.h"

#include "include/quetzal/wire/Frame.h"
#include "include/quetzal/wire/UnpackLimit.h"

namespace quetzal::node {
namespace {

/** An empty array, which is a valid call of every method: fields that are missing are unset. */
constexpr const char* kEmptyCall = "\x90";

} // namespace

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
    const auto limit = wire::LimitFor(aPayload.size());
    return msgpack::unpack(aPayload.data(), aPayload.size(), nullptr, nullptr, limit)
      .get()
      .as<Envelope>();
  } catch (const std::exception& error) {
    throw wire::WireError(std::string("message is neither a call nor an answer: ") + error.what());
  }
}

Envelope
MakePing(std::int64_t aNumber)
{
  return { aNumber, static_cast<int>(PeerMethod::kPing), kEmptyCall };
}

} // namespace quetzal::node
