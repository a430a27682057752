#pragma once

#include <string>
#include <string_view>
#include <vector>

/** HTTP/1.1 messages, their parsers and serializers, and a server. */
namespace quetzal::http {

/** One header field. FindField() and RemoveField() compare names without regard to case. */
struct Field
{
  std::string name_;
  std::string value_;

  bool operator==(const Field&) const = default;
};

using Fields = std::vector<Field>;

struct Request
{
  std::string method_;
  std::string target_;
  Fields fields_;
  std::string body_;
  bool keepAlive_ = true;

  bool operator==(const Request&) const = default;
};

struct Response
{
  unsigned status_ = 200;
  Fields fields_;
  std::string body_;
  bool keepAlive_ = true;

  bool operator==(const Response&) const = default;
};

/** Returns the value of the first field of that name, or null if there is none. */
const std::string*
FindField(const Fields& aFields, std::string_view aName);

/** Removes every field of that name. */
void
RemoveField(Fields& aFields, std::string_view aName);

/** Returns the fields that are forwarded to the next hop: all but hop-by-hop fields, fields that
 * Connection names, Content-Length and Expect. */
Fields
EndToEndFields(const Fields& aFields);

/** Returns a request's bytes; adds the Content-Length and Connection fields that it needs. */
std::string
Serialize(const Request& aRequest);

/** Returns a request's bytes with one additional field. */
std::string
Serialize(const Request& aRequest, const Field& aLast);

/** Returns a response's bytes. @param aIsHead the request was HEAD: the body is left out. */
std::string
Serialize(const Response& aResponse, bool aIsHead);

} // namespace quetzal::http
