#include "include/quetzal/wire/Message.h"

#include "include/quetzal/wire/UnpackLimit.h"

namespace quetzal::wire {
namespace {

constexpr std::uint32_t kPartCount = 3;

} // namespace

Message::Message(const std::string& aPayload)
{
  try {
    handle_ = msgpack::unpack(
      aPayload.data(), aPayload.size(), nullptr, nullptr, LimitFor(aPayload.size()));
    const msgpack::object& object = handle_.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != kPartCount) {
      throw WireError("message is not an array of version, type and content");
    }
    const msgpack::object* parts = object.via.array.ptr;
    if (parts[0].as<int>() != kProtocolVersion) {
      throw WireError("message has an unsupported protocol version");
    }
    type_ = parts[1].as<int>();
    content_ = parts[2];
  } catch (const msgpack::unpack_error&) {
    throw WireError("message is not valid msgpack");
  } catch (const msgpack::type_error&) {
    throw WireError("message version or type is not an integer");
  }
}

} // namespace quetzal::wire
