#pragma once

#include <string>
#include <string_view>
#include <vector>

/** HTTP/1.1 messages, and the codec that reads and writes them. */
namespace quetzal::http {

/** One header field. Names compare without regard to case. */
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

/** Returns a field's value, or null where no field has that name. */
const std::string*
FindField(const Fields& aFields, std::string_view aName);

/** Takes out every field of that name. */
void
RemoveField(Fields& aFields, std::string_view aName);

/** Returns the fields that pass on to the next hop: all but those about one connection. */
Fields
EndToEndFields(const Fields& aFields);

/** Returns a request's bytes, with Content-Length and Connection fields of their own. */
std::string
Serialize(const Request& aRequest);

/** Returns a request's bytes with one field more. */
std::string
Serialize(const Request& aRequest, const Field& aLast);

/** Returns an answer's bytes. @param aIsHead the request was HEAD: no body follows. */
std::string
Serialize(const Response& aResponse, bool aIsHead);

} // namespace quetzal::http
