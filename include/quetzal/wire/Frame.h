#pragma once

#include <QtCore/QByteArray>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

/** The protocol between the system's own processes: msgpack messages in length-prefixed frames over
 * TCP. */
namespace quetzal::wire {

/** The largest payload that a frame may carry. */
inline constexpr std::uint32_t kMaxFrameBytes = 4 * 1024 * 1024;

/** Thrown if received bytes are not a valid message of this protocol. */
class WireError : public std::runtime_error
{
public:
  explicit WireError(const std::string& aWhat);
};

/** Returns a payload preceded by its length. */
QByteArray
MakeFrame(const std::string& aPayload);

/** Removes the first frame from the front of the buffer and returns its payload, or nothing while
 * the frame is incomplete. @throws WireError if the frame is larger than kMaxFrameBytes. */
std::optional<std::string>
TakeFrame(QByteArray& aBytes);

} // namespace quetzal::wire
