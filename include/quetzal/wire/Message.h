#pragma once

#include "include/quetzal/wire/Frame.h"

#include <msgpack.hpp>
#include <string>

namespace quetzal::wire {

/** The protocol version that every message carries; messages of another version are rejected. */
inline constexpr int kProtocolVersion = 1;

/** Returns the bytes of a message: an array of version, type and content. */
template<typename Content>
std::string
Pack(const Content& aContent)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(3);
  packer.pack(kProtocolVersion);
  packer.pack(static_cast<int>(Content::kType));
  packer.pack(aContent);
  return { buffer.data(), buffer.size() };
}

/** One received message. Its content stays packed until As() converts it. */
class Message
{
public:
  /** @throws WireError if the bytes are not a message of this protocol version. */
  explicit Message(const std::string& aPayload);

  int Type() const { return type_; }

  /** Returns the content. @throws WireError if it does not have the type @p Content. */
  template<typename Content>
  Content As() const
  {
    try {
      return content_.as<Content>();
    } catch (const msgpack::type_error&) {
      throw WireError("message content does not match the message type");
    }
  }

private:
  msgpack::object_handle handle_;
  msgpack::object content_;
  int type_ = 0;
};

} // namespace quetzal::wire
