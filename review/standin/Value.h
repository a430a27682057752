#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/** Stand-ins of the review: the platform, its minions and its clients, on loopback addresses. */
namespace review {

class Value;
using List = std::vector<Value>;
using Map = std::map<std::string, Value>;

/** One value of a message. A value whose type is not the requested one reads as absent. */
class Value
{
public:
  Value() = default;
  Value(bool aValue) // NOLINT
    : value_(aValue)
  {
  }
  Value(int aValue) // NOLINT
    : value_(static_cast<std::int64_t>(aValue))
  {
  }
  Value(std::int64_t aValue) // NOLINT
    : value_(aValue)
  {
  }
  Value(const char* aValue) // NOLINT
    : value_(std::string(aValue))
  {
  }
  Value(std::string aValue) // NOLINT
    : value_(std::move(aValue))
  {
  }
  Value(List aValue) // NOLINT
    : value_(std::move(aValue))
  {
  }
  Value(Map aValue) // NOLINT
    : value_(std::move(aValue))
  {
  }

  std::int64_t Integer(std::int64_t aDefault = 0) const;
  std::string Text() const;
  bool Bool() const;
  const List& Items() const;
  const Map& Entries() const;

  /** Returns the value of a map's key; an absent value if there is none. */
  const Value& operator[](const std::string& aKey) const;

  /** Returns the value as MessagePack. */
  std::string Encode() const;

  /** Returns the value in MessagePack bytes; an absent value if they cannot be read. */
  static Value Decode(const std::string& aBytes);

  using Variant = std::variant<std::monostate, bool, std::int64_t, std::string, List, Map>;
  const Variant& Content() const { return value_; }

private:
  Variant value_;
};

std::string
EncodeBase64(const std::string& aBytes);
std::string
DecodeBase64(const std::string& aText);

} // namespace review
