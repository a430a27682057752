#pragma once

#include "include/quetzal/entry/Dispatcher.h"

namespace quetzal::entry {

/** A request, or why the request cannot become one. */
struct ServiceRequestResult
{
  outcome::Reason refusal_ = outcome::Reason::kNone;
  ServiceRequest request_;
};

/** Builds the request of a caller's request for /v1/services/<service>/<path>.
 * @param aDocument the document in force, or null. */
ServiceRequestResult
MakeServiceRequest(std::uint64_t aId,
                   const http::Request& aRequest,
                   const document::Document* aDocument,
                   clock::Moment aNow);

} // namespace quetzal::entry
