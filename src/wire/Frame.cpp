#include "include/quetzal/wire/Frame.h"

#include <QtCore/QtEndian>

namespace quetzal::wire {
namespace {

constexpr qsizetype kLengthBytes = sizeof(std::uint32_t);

} // namespace

WireError::WireError(const std::string& aWhat)
  : std::runtime_error(aWhat)
{
}

QByteArray
MakeFrame(const std::string& aPayload)
{
  Q_ASSERT(aPayload.size() <= kMaxFrameBytes);
  QByteArray frame(kLengthBytes, '\0');
  qToBigEndian(static_cast<std::uint32_t>(aPayload.size()), frame.data());
  frame.append(aPayload.data(), static_cast<qsizetype>(aPayload.size()));
  return frame;
}

std::optional<std::string>
TakeFrame(QByteArray& aBytes)
{
  if (aBytes.size() < kLengthBytes) {
    return std::nullopt;
  }
  const auto length = qFromBigEndian<std::uint32_t>(aBytes.constData());
  if (length > kMaxFrameBytes) {
    throw WireError("frame of " + std::to_string(length) + " bytes exceeds the frame size limit");
  }
  const auto size = static_cast<qsizetype>(length);
  if (aBytes.size() < kLengthBytes + size) {
    return std::nullopt;
  }
  std::string payload(aBytes.constData() + kLengthBytes, static_cast<std::size_t>(size));
  aBytes.remove(0, kLengthBytes + size);
  return payload;
}

} // namespace quetzal::wire
