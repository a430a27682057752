#include "include/quetzal/entry/ServiceRequestBuilder.h"

#include "include/quetzal/document/DocumentQueries.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace quetzal::entry {
namespace {

using outcome::Reason;

constexpr std::string_view kPrefix = "/v1/services/";
constexpr std::size_t kMaxKeyBytes = 128;

/** The service that a request's target names, and the path within it. */
struct Target
{
  std::string service_;
  std::string path_;
};

std::optional<Target>
ParseTarget(const std::string& aTarget)
{
  if (!aTarget.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const std::size_t end = std::min(aTarget.find_first_of("/?", kPrefix.size()), aTarget.size());
  Target target;
  target.service_ = aTarget.substr(kPrefix.size(), end - kPrefix.size());
  target.path_ = aTarget.substr(end);
  if (!target.path_.starts_with('/')) {
    target.path_.insert(target.path_.begin(), '/');
  }
  return target;
}

/** Returns the deadline that the caller's header field sets, limited to the service's longest
 * deadline. Returns the route's deadline if the field is absent, or nothing if the field is not
 * valid. */
std::optional<clock::Milliseconds>
ReadDeadline(const http::Request& aRequest,
             const document::Service& aService,
             const document::Route& aRoute)
{
  const std::string* text = http::FindField(aRequest.fields_, "Quetzal-Deadline-Ms");
  if (text == nullptr) {
    return aRoute.deadline_;
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(text->data(), end, value);
  const bool usable = error == std::errc{} && rest == end && value >= 1;
  if (!usable) {
    return std::nullopt;
  }
  return std::min(clock::Milliseconds(value), aService.longestDeadline_);
}

bool
IsUsableKey(const std::string& aKey)
{
  return !aKey.empty() && aKey.size() <= kMaxKeyBytes &&
         std::all_of(
           aKey.begin(), aKey.end(), [](char aByte) { return aByte > ' ' && aByte < '\x7f'; });
}

} // namespace

ServiceRequestResult
MakeServiceRequest(std::uint64_t aId,
                   const http::Request& aRequest,
                   const document::Document* aDocument,
                   clock::Moment aNow)
{
  const auto target = ParseTarget(aRequest.target_);
  if (!target) {
    return { Reason::kNoSuchService, {} };
  }
  if (aDocument == nullptr) {
    return { Reason::kNoDocument, {} };
  }
  const document::Service* service = document::FindService(*aDocument, target->service_);
  if (service == nullptr) {
    return { Reason::kNoSuchService, {} };
  }
  ServiceRequest request;
  request.id_ = aId;
  request.service_ = service->name_;
  request.route_ = document::RouteOf(*service, aRequest.method_, target->path_);
  const auto time = ReadDeadline(aRequest, *service, request.route_);
  if (!time) {
    return { Reason::kBadDeadline, {} };
  }
  request.deadline_ = aNow + *time;
  const std::string* key = http::FindField(aRequest.fields_, "Idempotency-Key");
  if (key != nullptr) {
    if (!IsUsableKey(*key)) {
      return { Reason::kBadKey, {} };
    }
    request.key_ = *key;
  }
  request.httpRequest_.method_ = aRequest.method_;
  request.httpRequest_.target_ = target->path_;
  request.httpRequest_.fields_ = http::EndToEndFields(aRequest.fields_);
  http::RemoveField(request.httpRequest_.fields_, "Quetzal-Deadline-Ms");
  request.httpRequest_.body_ = aRequest.body_;
  return { Reason::kNone, std::move(request) };
}

} // namespace quetzal::entry
