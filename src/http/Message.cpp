#include "include/quetzal/http/Message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

namespace quetzal::http {
namespace {

/** Space reserved for the header of a message. Most headers fit. */
constexpr std::size_t kTypicalHeaderBytes = 512;

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

bool
IsConnectionField(std::string_view aName)
{
  static constexpr std::array<std::string_view, 10> kNames = {
    "Connection", "Keep-Alive",          "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Proxy-Authorization", "Upgrade",          "Content-Length",    "Expect",
  };
  return std::any_of(kNames.begin(), kNames.end(), [aName](std::string_view aKnown) {
    return SameName(aName, aKnown);
  });
}

/** Returns whether a comma-separated list, such as the value of Connection, contains a name. */
bool
IsNamedBy(const std::string& aList, const std::string& aName)
{
  const std::string& list = aList;
  std::size_t begin = 0;
  while (begin <= list.size()) {
    const std::size_t end = std::min(list.find(',', begin), list.size());
    std::string_view item(list.data() + begin, end - begin);
    item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
    item = item.substr(0, item.find_last_not_of(" \t") + 1);
    if (SameName(item, aName)) {
      return true;
    }
    begin = end + 1;
  }
  return false;
}

void
AppendFields(std::string& aText, const Fields& aFields)
{
  for (const Field& field : aFields) {
    aText.append(field.name_).append(": ").append(field.value_).append("\r\n");
  }
}

bool
HasNoBody(unsigned aStatus)
{
  return aStatus < 200 || aStatus == 204 || aStatus == 304;
}

} // namespace

const std::string*
FindField(const Fields& aFields, std::string_view aName)
{
  for (const Field& field : aFields) {
    if (SameName(field.name_, aName)) {
      return &field.value_;
    }
  }
  return nullptr;
}

void
RemoveField(Fields& aFields, std::string_view aName)
{
  std::erase_if(aFields, [aName](const Field& aField) { return SameName(aField.name_, aName); });
}

Fields
EndToEndFields(const Fields& aFields)
{
  // Several Connection fields are equivalent to one with their values joined (RFC 9110, 5.3).
  std::string connection;
  for (const Field& field : aFields) {
    if (SameName(field.name_, "Connection")) {
      connection += field.value_ + ",";
    }
  }
  Fields result;
  for (const Field& field : aFields) {
    if (!IsConnectionField(field.name_) && !IsNamedBy(connection, field.name_)) {
      result.push_back(field);
    }
  }
  return result;
}

std::string
Serialize(const Request& aRequest)
{
  return Serialize(aRequest, Field{});
}

std::string
Serialize(const Request& aRequest, const Field& aLast)
{
  std::string text;
  text.reserve(kTypicalHeaderBytes + aRequest.body_.size());
  text.append(aRequest.method_).append(" ").append(aRequest.target_).append(" HTTP/1.1\r\n");
  AppendFields(text, aRequest.fields_);
  if (!aLast.name_.empty()) {
    AppendFields(text, { aLast });
  }
  const bool mayHaveBody = aRequest.method_ != "GET" && aRequest.method_ != "HEAD";
  if (mayHaveBody || !aRequest.body_.empty()) {
    text.append("Content-Length: ").append(std::to_string(aRequest.body_.size())).append("\r\n");
  }
  if (!aRequest.keepAlive_) {
    text.append("Connection: close\r\n");
  }
  return text.append("\r\n").append(aRequest.body_);
}

std::string
Serialize(const Response& aResponse, bool aIsHead)
{
  const auto reason =
    boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(aResponse.status_));
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.status_) + " ";
  text.append(reason.data(), reason.size()).append("\r\n");
  AppendFields(text, aResponse.fields_);
  if (!aResponse.keepAlive_) {
    text += "Connection: close\r\n";
  }
  if (HasNoBody(aResponse.status_)) {
    return text + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aResponse.body_.size()) + "\r\n\r\n";
  return aIsHead ? text : text + aResponse.body_;
}

} // namespace quetzal::http
