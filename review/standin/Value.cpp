#include "review/standin/Value.h"

#include <msgpack.hpp>
#include <string_view>

namespace review {
namespace {

constexpr std::string_view kBase64Digits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

Value
FromObject(const msgpack::object& aObject)
{
  switch (aObject.type) {
    case msgpack::type::BOOLEAN:
      return aObject.via.boolean;
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<std::int64_t>(aObject.via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return aObject.via.i64;
    case msgpack::type::STR:
      return std::string(aObject.via.str.ptr, aObject.via.str.size);
    case msgpack::type::BIN:
      return std::string(aObject.via.bin.ptr, aObject.via.bin.size);
    case msgpack::type::ARRAY: {
      List items;
      for (std::uint32_t i = 0; i < aObject.via.array.size; ++i) {
        items.push_back(FromObject(aObject.via.array.ptr[i]));
      }
      return items;
    }
    case msgpack::type::MAP: {
      Map entries;
      for (std::uint32_t i = 0; i < aObject.via.map.size; ++i) {
        const msgpack::object_kv& entry = aObject.via.map.ptr[i];
        entries[FromObject(entry.key).Text()] = FromObject(entry.val);
      }
      return entries;
    }
    default:
      return {};
  }
}

} // namespace

std::int64_t
Value::Integer(std::int64_t aDefault) const
{
  const auto* number = std::get_if<std::int64_t>(&value_);
  return number == nullptr ? aDefault : *number;
}

std::string
Value::Text() const
{
  const auto* text = std::get_if<std::string>(&value_);
  return text == nullptr ? std::string() : *text;
}

bool
Value::Bool() const
{
  const auto* flag = std::get_if<bool>(&value_);
  return flag != nullptr && *flag;
}

const List&
Value::Items() const
{
  static const List kNone;
  const auto* items = std::get_if<List>(&value_);
  return items == nullptr ? kNone : *items;
}

const Map&
Value::Entries() const
{
  static const Map kNone;
  const auto* entries = std::get_if<Map>(&value_);
  return entries == nullptr ? kNone : *entries;
}

const Value&
Value::operator[](const std::string& aKey) const
{
  static const Value kAbsent;
  const Map& entries = Entries();
  const auto entry = entries.find(aKey);
  return entry == entries.end() ? kAbsent : entry->second;
}

namespace {

void
Pack(msgpack::packer<msgpack::sbuffer>& aPacker, const Value& aValue)
{
  const auto pack = [&aPacker](const auto& aContent) {
    using Content = std::decay_t<decltype(aContent)>;
    if constexpr (std::is_same_v<Content, std::monostate>) {
      aPacker.pack_nil();
    } else if constexpr (std::is_same_v<Content, List>) {
      aPacker.pack_array(static_cast<std::uint32_t>(aContent.size()));
      for (const Value& item : aContent) {
        Pack(aPacker, item);
      }
    } else if constexpr (std::is_same_v<Content, Map>) {
      aPacker.pack_map(static_cast<std::uint32_t>(aContent.size()));
      for (const auto& [key, entry] : aContent) {
        aPacker.pack(key);
        Pack(aPacker, entry);
      }
    } else {
      aPacker.pack(aContent);
    }
  };
  std::visit(pack, aValue.Content());
}

} // namespace

std::string
Value::Encode() const
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  Pack(packer, *this);
  return { buffer.data(), buffer.size() };
}

Value
Value::Decode(const std::string& aBytes)
{
  try {
    return FromObject(msgpack::unpack(aBytes.data(), aBytes.size()).get());
  } catch (const std::exception&) {
    return {};
  }
}

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      group = group << 8U | (j < aBytes.size() ? static_cast<unsigned char>(aBytes[j]) : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool isPadding = i + digit > aBytes.size();
      text += isPadding ? '=' : kBase64Digits[group >> (18U - 6U * digit) & 63U];
    }
  }
  return text;
}

std::string
DecodeBase64(const std::string& aText)
{
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char digit : aText) {
    const std::size_t value = kBase64Digits.find(digit);
    if (value == std::string_view::npos) {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> count & 255U);
    }
  }
  return bytes;
}

} // namespace review
