#pragma once

#include <QtCore/QByteArray>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

/** msgpack over framed TCP, between the system's own processes. */
namespace quetzal::wire {

/** The largest payload that is taken. */
inline constexpr std::uint32_t kMaxFrameBytes = 4 * 1024 * 1024;

/** The other end sent something that is no message of this protocol. */
class WireError : public std::runtime_error
{
public:
  explicit WireError(const std::string& aWhat);
};

/** Returns a payload behind its length. */
QByteArray
MakeFrame(const std::string& aPayload);

/** Takes the first whole frame's payload off the front; nothing while it is incomplete.
 * @throws WireError where the frame is too large. */
std::optional<std::string>
TakeFrame(QByteArray& aBytes);

} // namespace quetzal::wire
